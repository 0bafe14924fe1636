#pragma once

#include "coordination/order_dispatcher.hpp"
#include "coordination/usage_window.hpp"

namespace dragonflywell::coordination {

/// Scope of the lease under which usage is reported.
inline constexpr std::string_view reporting_scope = "reporting";

struct usage_reporter_options {
    std::chrono::seconds window_length{std::chrono::hours(1)};
    /// Maximum time after the end of a window to wait for hosts that have not closed it. Their usage is then reported
    /// later in late lines.
    std::chrono::seconds max_wait{std::chrono::minutes(10)};
};

/// Seals windows and reports them to the platform while this process holds the lease. Sealing a window fixes the usage
/// that its report contains.
///
/// The contents of a report are a function of the log up to the seal. The intent that carries them is read back before
/// it is sent, and every repetition sends what was logged. Not thread safe.
class usage_reporter {
public:
    /// Preconditions: the arguments outlive the reporter; `stream` folds the usage stream and was not polled yet.
    usage_reporter(folded_stream& stream, const clock_source& time, order_receiver& reporting,
                   const host_liveness& hosts, const usage_reporter_options& options);

    /// Takes the next step: renews the lease, resolves unresolved orders, and reports or seals one window.
    /// Throws `log_unavailable_error`; the next call continues from the state in the log.
    void tick();

    /// Releases the lease for a graceful stop. Throws `log_unavailable_error`.
    void release() { m_lease.release(); }

    [[nodiscard]] const usage_window_fold& get_fold() const noexcept { return m_fold; }

private:
    void report(const window_report& report);
    void seal(const fencing_token& token);
    [[nodiscard]] bool is_complete(window_number window) const;

    folded_stream* m_stream;
    const clock_source* m_time;
    const host_liveness* m_hosts;
    usage_reporter_options m_options;
    usage_window_fold m_fold;
    lease_candidate m_lease;
    order_dispatcher m_dispatcher;
};

} // namespace dragonflywell::coordination
