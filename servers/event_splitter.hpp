#pragma once

#include <string>
#include <string_view>

namespace dragonflywell::servers {

/// Cuts a stream of server-sent events after whole events, without changing a byte. Not thread safe.
class event_splitter {
public:
    void add_bytes(std::string_view bytes) { m_pending += bytes; }

    /// Takes all whole events that are there, as they came; empty when there is none.
    [[nodiscard]] std::string take_events();

    /// Returns the id of the last event taken that had one; empty when none had.
    [[nodiscard]] const std::string& get_last_id() const noexcept { return m_last_id; }

    /// Drops the part of an event that is left over when a stream broke.
    void drop_partial_event() { m_pending.clear(); }

    /// Returns whether the part that is left over is longer than any event.
    [[nodiscard]] bool is_event_too_long() const noexcept { return m_pending.size() > most_event_bytes; }

    /// Returns whether part of an event is left over.
    [[nodiscard]] bool has_partial_event() const noexcept { return !m_pending.empty(); }

private:
    static constexpr std::size_t most_event_bytes = 1024UL * 1024;

    void note_ids(std::string_view events);

    std::string m_pending;
    std::string m_last_id;
};

} // namespace dragonflywell::servers
