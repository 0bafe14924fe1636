#pragma once

#include <array>
#include <cstdint>
#include <mutex>

#include "core/clock.hpp"

namespace dragonflywell::policy {

struct retry_budget_options {
    /// Number of retries that each request of the window allows.
    double retries_per_request{0.2};
    /// Number of retries allowed in a window in addition, so that a host with few requests can retry too.
    double base_retries{200.0};
    /// Length of the sliding window. The budget holds for any interval of this length.
    duration window{std::chrono::seconds(10)};
};

/// Limits the retries of one daemon in any window to a share of its requests, so that retries do not amplify the load
/// of a fleet that already fails. The whole budget of a window may be spent at once, since many engines can fail
/// together.
///
/// The additional retries become available gradually during the first window, because a process that has just started
/// does not know how many its predecessor has made. Thread safe.
class retry_budget {
public:
    /// `started_at`: when the process started. Pass a time one window before now to grant the full budget at once.
    retry_budget(retry_budget_options options, steady_time started_at);

    /// Replaces the limits. Precondition: the length of the window is unchanged.
    void set_options(const retry_budget_options& options);

    /// Records a new request.
    void add_request(steady_time now);

    /// Returns whether a retry may be made now, and counts it if so.
    [[nodiscard]] bool try_acquire_retry(steady_time now);

private:
    /// Number of buckets of a window.
    static constexpr std::size_t bucket_count = 20;

    /// Counts of one bucket of the window.
    struct bucket {
        std::int64_t number{-1};
        std::uint32_t requests{0};
        std::uint32_t retries{0};
    };

    [[nodiscard]] bucket& get_bucket(steady_time now);
    [[nodiscard]] std::int64_t get_bucket_number(steady_time now) const;
    [[nodiscard]] double get_allowed(steady_time now) const;

    retry_budget_options m_options;
    steady_time m_started_at;
    std::mutex m_mutex;
    /// Ring of one bucket more than a window has, so that a retry counts for at least the length of the window.
    std::array<bucket, bucket_count + 1> m_buckets{};
};

} // namespace dragonflywell::policy
