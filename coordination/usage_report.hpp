#pragma once

#include "coordination/order_dispatcher.hpp"
#include "coordination/usage_window.hpp"

namespace dragonflywell::coordination {

inline constexpr std::string_view reporting_scope = "reporting";

struct usage_reporter_options {
    std::chrono::seconds window_length{std::chrono::hours(1)};
    /// How long after its end a window waits for hosts that have not closed it. Their use then comes as late lines.
    std::chrono::seconds max_wait{std::chrono::minutes(10)};
};

/// Seals windows and reports them while it holds the lease.
///
/// The figures are a function of the log up to the seal; the intent that carries them is read back before it is sent,
/// and every repetition sends what was logged. Not thread safe.
class usage_reporter {
public:
    /// Preconditions: the arguments outlive the reporter; `stream` folds the usage stream and was not polled yet.
    usage_reporter(folded_stream& stream, const clock_source& time, order_receiver& reporting,
                   const host_liveness& hosts, const usage_reporter_options& options);

    /// Takes the next step: renews the lease, resolves what is unresolved, reports or seals one window.
    /// Throws `log_unavailable_error`; the next call goes on where the log stands.
    void tick();

    /// Hands the lease over on a graceful stop. Throws `log_unavailable_error`.
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
    order_dispatcher m_ledger;
};

} // namespace dragonflywell::coordination
