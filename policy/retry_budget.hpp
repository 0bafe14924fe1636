#pragma once

#include <mutex>

#include "core/clock.hpp"

namespace dragonflywell::policy {

struct retry_budget_options {
    /// Retries that each new request pays for.
    double per_request{0.2};
    /// Retries per second that are permitted besides, so that a quiet host can retry too.
    double per_second{5.0};
    /// Most retries saved up: enough for all that runs on a few engines that are lost at once.
    double most_saved{200.0};
};

/// Bounds the retries of one daemon to a share of its requests, so that a fleet in trouble is not given more work
/// by those who retry. Thread safe.
class retry_budget {
public:
    retry_budget(retry_budget_options options, steady_time now);

    /// Puts other limits in force; what was saved beyond them is lost.
    void set_options(const retry_budget_options& options);

    /// Notes a new request.
    void add_request();

    /// Returns whether a retry may be made now, and spends it.
    [[nodiscard]] bool take_retry(steady_time now);

private:
    retry_budget_options m_options;
    std::mutex m_mutex;
    double m_saved;
    steady_time m_refilled;
};

} // namespace dragonflywell::policy
