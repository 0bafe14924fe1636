#pragma once

#include <map>
#include <string>
#include <vector>

#include "coordination/append_log.hpp"

namespace dragonflywell::testing {

/// The platform's log in memory, with faults that a test asks for. Not thread safe.
class fake_log final : public coordination::append_log {
public:
    coordination::log_offset append(std::string_view stream, std::span<const std::string> records) override {
        if (is_down) {
            throw coordination::log_unavailable_error("log is down");
        }
        if (holds_next_append) {
            holds_next_append = false;
            m_held[std::string(stream)] = {records.begin(), records.end()};
            throw coordination::log_unavailable_error("append is on its way");
        }
        std::vector<std::string>& target = streams[std::string(stream)];
        const coordination::log_offset first = target.size();
        target.insert(target.end(), records.begin(), records.end());
        ++appends;
        if (drops_next_answer) {
            drops_next_answer = false;
            throw coordination::log_unavailable_error("answer lost after the effect");
        }
        return first;
    }

    coordination::log_batch read(std::string_view stream, coordination::log_offset from, std::size_t most) override {
        if (is_down) {
            throw coordination::log_unavailable_error("log is down");
        }
        const std::vector<std::string>& source = streams[std::string(stream)];
        coordination::log_batch batch{.entries = {}, .oldest = 0, .end = source.size()};
        for (coordination::log_offset offset = from; offset < source.size() && batch.entries.size() < most; ++offset) {
            batch.entries.push_back({.offset = offset, .data = source[offset]});
        }
        return batch;
    }

    /// Lets the append that was held take effect.
    void deliver_held() {
        for (const auto& [stream, records] : m_held) {
            streams[stream].insert(streams[stream].end(), records.begin(), records.end());
        }
        m_held.clear();
    }

    std::map<std::string, std::vector<std::string>> streams;
    std::uint64_t appends{0};
    bool is_down{false};
    bool drops_next_answer{false};
    /// Fails the next append and keeps it, so that it can take effect late.
    bool holds_next_append{false};

private:
    std::map<std::string, std::vector<std::string>> m_held;
};

} // namespace dragonflywell::testing
