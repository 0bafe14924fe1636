#pragma once

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "coordination/append_log.hpp"

namespace dragonflywell::testing {

/// In-memory append log with faults that a test selects. Not thread safe.
class fake_log final : public coordination::append_log {
public:
    coordination::log_offset append(std::string_view stream, std::span<const std::string> records) override {
        if (is_down) {
            throw coordination::log_unavailable_error("log is down");
        }
        if (delays_next_append) {
            delays_next_append = false;
            hidden.emplace_back(stream, std::vector<std::string>(records.begin(), records.end()));
            throw coordination::log_unavailable_error("append has no response and is applied later");
        }
        std::vector<std::string>& target = streams[std::string(stream)];
        const coordination::log_offset first = target.size();
        target.insert(target.end(), records.begin(), records.end());
        ++appends;
        if (drops_next_answer) {
            drops_next_answer = false;
            throw coordination::log_unavailable_error("response lost after the append was applied");
        }
        return first;
    }

    coordination::log_batch read(std::string_view stream, coordination::log_offset from,
                                 std::size_t max_records) override {
        if (is_down) {
            throw coordination::log_unavailable_error("log is down");
        }
        const std::vector<std::string>& source = streams[std::string(stream)];
        const coordination::log_offset oldest = oldest_kept[std::string(stream)];
        coordination::log_batch batch{.entries = {}, .oldest = oldest, .end = source.size()};
        for (coordination::log_offset offset = std::max(from, oldest);
             offset < source.size() && batch.entries.size() < max_records; ++offset) {
            batch.entries.push_back({.offset = offset, .data = source[offset]});
        }
        return batch;
    }

    /// Applies the delayed appends.
    void deliver_delayed_appends() {
        for (const auto& [stream, records] : std::exchange(hidden, {})) {
            std::vector<std::string>& target = streams[stream];
            target.insert(target.end(), records.begin(), records.end());
        }
    }

    std::map<std::string, std::vector<std::string>> streams;
    /// Offset of the oldest retained record of each stream.
    std::map<std::string, coordination::log_offset> oldest_kept;
    std::vector<std::pair<std::string, std::vector<std::string>>> hidden;
    std::uint64_t appends{0};
    bool is_down{false};
    bool drops_next_answer{false};
    bool delays_next_append{false};
};

} // namespace dragonflywell::testing
