#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <tuple>
#include <vector>

#include "core/clock.hpp"

namespace dragonflywell::policy {

struct announcement_queue_options {
    /// How often a record is sent. With one at each heartbeat this takes longer than a host may be silent unnoticed, so
    /// that a host misses all of them only if it is known to have been away.
    std::uint32_t repeats{6};
    /// Maximum number of records that wait. Beyond it, the one that was sent most often, and of these the oldest, is
    /// dropped.
    std::size_t max_records{512};
};

/// Records that a host sends to others, each a limited number of times and as many at once as fit. Not thread safe.
template <typename Record>
class announcement_queue {
public:
    explicit announcement_queue(announcement_queue_options options = {}) noexcept : m_options(options) {}

    /// Adds a record. One that waits already is sent the full number of times again.
    void add(const Record& record, steady_time now) {
        const auto is_same = [&](const entry& waiting) { return waiting.record == record; };
        std::erase_if(m_entries, is_same);
        if (m_entries.size() >= m_options.max_records) {
            const auto was_sent_less = [](const entry& left, const entry& right) { return left.sent < right.sent; };
            m_entries.erase(std::max_element(m_entries.begin(), m_entries.end(), was_sent_less));
            ++m_dropped;
        }
        m_entries.push_back({.record = record, .added_at = now, .number = ++m_added});
    }

    /// Returns the records to send now: the urgent ones first, then those sent least often, then the oldest.
    /// `take(record)` returns whether there is room for one more; those without room keep waiting.
    template <typename IsUrgent, typename Take>
    void take(IsUrgent is_urgent, Take take) {
        for (entry& waiting : m_entries) {
            waiting.is_urgent = is_urgent(waiting.record);
        }
        std::sort(m_entries.begin(), m_entries.end(), [](const entry& left, const entry& right) {
            return std::tuple(!left.is_urgent, left.sent, left.number) <
                   std::tuple(!right.is_urgent, right.sent, right.number);
        });
        for (entry& waiting : m_entries) {
            if (take(waiting.record)) {
                ++waiting.sent;
            }
        }
        std::erase_if(m_entries, [&](const entry& waiting) { return waiting.sent >= m_options.repeats; });
    }

    /// Discards the records that were added before a time.
    void discard_before(steady_time time) {
        std::erase_if(m_entries, [&](const entry& waiting) { return waiting.added_at < time; });
    }

    [[nodiscard]] std::size_t get_waiting() const noexcept { return m_entries.size(); }
    /// Returns how many records were dropped because too many waited.
    [[nodiscard]] std::uint64_t get_dropped() const noexcept { return m_dropped; }

private:
    struct entry {
        Record record;
        steady_time added_at{};
        /// Increases in the order of addition.
        std::uint64_t number{};
        std::uint32_t sent{0};
        bool is_urgent{false};
    };

    announcement_queue_options m_options;
    std::vector<entry> m_entries;
    std::uint64_t m_added{0};
    std::uint64_t m_dropped{0};
};

} // namespace dragonflywell::policy
