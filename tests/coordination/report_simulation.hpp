#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "coordination/report_history.hpp"

namespace dragonflywell::testing {

/// Whether reporters recover a state of an earlier era, or continue from it as if nothing was lost.
enum class report_recovery : std::uint8_t { by_history, none };

/// Simulates hosts that report usage in turn, the topic of their report states, and appends in flight. Each finalized
/// window gets figures that no other finalization has. Each call to the store may be lost.
class report_simulation {
public:
    static constexpr std::size_t hosts = 3;

    /// The outcome of one append.
    enum class append_outcome : std::uint8_t { answered, lost, applied_without_response, applied_later };

    explicit report_simulation(report_recovery recovery) : m_recovery(recovery) {}

    /// The holder reads the state if necessary, stores what is due, and reports up to `max_reports` windows.
    void step(append_outcome outcome, std::size_t max_reports);
    void begin_window() { ++m_newest_due; }
    /// Gives the lease to a host, in a new term.
    void change_holder(std::size_t host);
    /// Replaces the topic by an older copy and begins a new era. `keeps_lease`: the holder acquires the lease
    /// anew before it expires.
    void restore_older_copy(std::size_t lost_states, bool keeps_lease);
    void restart(std::size_t host);
    /// Delivers the oldest append in flight to the store.
    void deliver_late();

    /// Returns the windows that were reported, and that none was reported with different figures.
    [[nodiscard]] const std::map<coordination::usage_window_number, coordination::usage_counts>& get_reported() const {
        return m_reported;
    }
    [[nodiscard]] const std::optional<std::string>& get_violation() const { return m_violation; }
    [[nodiscard]] coordination::usage_window_number get_newest_due() const { return m_newest_due; }

private:
    struct late_append {
        std::size_t at{};
        coordination::report_state state;
    };
    struct reporter {
        coordination::report_history history;
        std::optional<coordination::report_state> state;
        std::size_t end{0};
    };

    [[nodiscard]] reporter& get_holder() { return m_reporters.at(m_holder); }
    /// Returns whether the state is known afterwards.
    bool read(append_outcome outcome);
    /// Returns whether the state was stored for certain.
    bool store(const coordination::report_state& next, append_outcome outcome);
    void finalize(append_outcome outcome);
    void report(const coordination::window_usage& usage);

    report_recovery m_recovery;
    std::uint64_t m_era{0};
    std::uint64_t m_term{1};
    std::size_t m_holder{0};
    coordination::usage_window_number m_newest_due{10};
    std::uint64_t m_next_figure{1};
    std::vector<coordination::report_state> m_topic;
    std::vector<late_append> m_late_appends;
    std::array<reporter, hosts> m_reporters;
    std::map<coordination::usage_window_number, coordination::usage_counts> m_reported;
    std::optional<std::string> m_violation;
};

} // namespace dragonflywell::testing
