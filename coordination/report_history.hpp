#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "coordination/usage_state.hpp"

namespace dragonflywell::coordination {

/// The report state with which a new era of the store begins.
struct recovered_report_state {
    report_state state;
    /// Windows that may have been reported with figures that nobody knows any more. They are not reported again.
    std::vector<usage_window_number> skipped;
};

/// What this process knows of the figures that were made final, by any holder of the lease.
///
/// When the store returns from an older copy, the newest report states are gone, although their figures may have been
/// reported. A window must never be reported with two different figures, while a missing report is tolerable: figures
/// that are known are stored again, and windows whose figures may have been final before are left out. Pure state
/// without I/O; not thread safe.
class report_history {
public:
    /// Records a state that this process has stored or read as the holder of the lease. `term` identifies its
    /// uninterrupted holding of the lease, over changes of the era.
    void record(const report_state& state, std::uint64_t term);

    /// The holder that recovers a report state.
    struct new_holder {
        std::uint64_t term{};
        /// Era of the store.
        std::uint64_t era{};
        /// The newest window that any host can have made final by now.
        usage_window_number newest_due{};
    };

    /// Returns the state to store when the store returned `stored`, which was written in an earlier era than that of
    /// the holder.
    [[nodiscard]] recovered_report_state recover(const report_state& stored, const new_holder& holder) const;

private:
    /// Returns the figures that were certainly final, by window.
    [[nodiscard]] std::map<usage_window_number, usage_counts> get_known(const report_state& stored,
                                                                        usage_window_number settled) const;

    /// The last state recorded.
    report_state m_newest;
    /// The term in which it was recorded; no other host has stored a state since then while the term lasts.
    std::optional<std::uint64_t> m_term;
    /// Figures of the newest windows that were final in a recorded state, by window.
    std::map<usage_window_number, usage_counts> m_final;
};

} // namespace dragonflywell::coordination
