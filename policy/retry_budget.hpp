#pragma once

#include <array>
#include <cstdint>
#include <mutex>

#include "core/clock.hpp"

namespace dragonflywell::policy {

struct retry_budget_options {
    /// Retries that each request of the window pays for.
    double retries_per_request{0.2};
    /// Retries in a window that are permitted besides, so that a quiet host can retry too.
    double base_retries{200.0};
    /// Any span of this length keeps the budget.
    duration window{std::chrono::seconds(10)};
};

/// Bounds the retries of one daemon in any window to a share of its requests in it, so that a fleet in trouble is not
/// given more work by those who retry. What the window allows may be spent at once: engines are lost many at a time.
///
/// What is permitted besides grows over the first window, since a process that has just started does not know what the
/// one before it has spent. Thread safe.
class retry_budget {
public:
    /// `started_at`: when the process started; a window before now where nothing was spent before it.
    retry_budget(retry_budget_options options, steady_time started_at);

    /// Puts other limits in force. Precondition: the window stays the same.
    void set_options(const retry_budget_options& options);

    /// Notes a new request.
    void add_request(steady_time now);

    /// Returns whether a retry may be made now, and spends it.
    [[nodiscard]] bool try_acquire_retry(steady_time now);

private:
    /// Parts of a window by which it slides.
    static constexpr std::size_t parts = 20;

    /// Counts of one part of the window.
    struct part {
        std::int64_t number{-1};
        std::uint32_t requests{0};
        std::uint32_t retries{0};
    };

    [[nodiscard]] part& get_part(steady_time now);
    [[nodiscard]] std::int64_t get_number(steady_time now) const;
    [[nodiscard]] double get_allowed(steady_time now) const;

    retry_budget_options m_options;
    steady_time m_started_at;
    std::mutex m_mutex;
    /// One more than a window has, so that a retry counts for at least as long as the window.
    std::array<part, parts + 1> m_parts{};
};

} // namespace dragonflywell::policy
