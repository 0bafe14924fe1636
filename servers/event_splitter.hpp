#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace dragonflywell::servers {

/// Splits a stream of server-sent events at the ends of events without changing a byte. Not thread safe.
class event_splitter {
public:
    void add_bytes(std::string_view bytes) { m_pending += bytes; }

    /// Removes and returns all complete events, unchanged; empty when there is none.
    [[nodiscard]] std::string take_events();

    /// Returns the id of the last returned event that had one; empty when none had one.
    [[nodiscard]] const std::string& get_last_id() const noexcept { return m_last_id; }

    /// Returns how many events with an id were returned.
    [[nodiscard]] std::uint64_t count_ids() const noexcept { return m_ids; }

    /// Discards an incomplete event after a stream was interrupted.
    void drop_partial_event() {
        m_pending.clear();
        m_searched = 0;
    }

    /// Returns whether the incomplete event exceeds the size limit of an event.
    [[nodiscard]] bool is_event_too_long() const noexcept { return m_pending.size() > max_event_bytes; }

    /// Returns the number of bytes that have not been taken yet.
    [[nodiscard]] std::size_t get_pending_bytes() const noexcept { return m_pending.size(); }

    /// Returns whether there is an incomplete event.
    [[nodiscard]] bool has_partial_event() const noexcept { return !m_pending.empty(); }

private:
    static constexpr std::size_t max_event_bytes = 1024UL * 1024;

    void record_last_id(std::string_view events);

    std::string m_pending;
    /// Number of bytes at the beginning in which no event ends, so that a long event is not searched again with each
    /// piece.
    std::size_t m_searched{0};
    std::string m_last_id;
    std::uint64_t m_ids{0};
};

} // namespace dragonflywell::servers
