#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/clock.hpp"

namespace dragonflywell::soak {

/// Kind of a request, which decides whether it may be retried.
enum class request_kind : std::uint8_t { idempotent, at_most_once, stream, resumable_stream, long_stream };

[[nodiscard]] inline bool may_run_again(request_kind kind) {
    return kind == request_kind::idempotent || kind == request_kind::resumable_stream;
}

/// Returns the response body that the server must send and the caller must receive for a request.
[[nodiscard]] std::string make_expected_body(request_kind kind, const std::string& id);
/// Returns the event of a stream with that number. Numbers begin with 1.
[[nodiscard]] std::string make_expected_event(const std::string& id, int number);

inline constexpr int events_per_stream = 6;

/// Records what callers, backend servers and the platform observe, and collects the violations of the system's
/// guarantees. Not thread safe: it is used on one event loop.
class invariant_checker {
public:
    explicit invariant_checker(const clock_source& time) : m_time(&time), m_started_at(time.now()) {}

    /// Records a request that a caller sends. `is_owed`: the request must be served, because its key is valid.
    void add_request(const std::string& id, request_kind kind, const std::string& organisation, bool is_owed);
    /// Records that a backend server has taken a request of that organisation and will run it.
    void add_run(const std::string& id, const std::string& organisation);
    /// Records that a request of that organisation begins to run, for a stream with its first event, in that usage
    /// window. Only the first call for a request counts.
    void add_start(const std::string& id, const std::string& organisation, std::int64_t window);
    /// Records that a caller received a response that guarantees that its request has not run and never will.
    void add_not_run_guarantee(const std::string& id);
    void add_served(const std::string& id);
    /// Returns whether a backend server has begun to run the request.
    [[nodiscard]] bool has_run(const std::string& id) const;
    /// Records a usage report that the platform accepted.
    void add_report(std::int64_t window, const std::map<std::string, std::uint64_t>& counts);
    /// Records which host used a fencing token for a subject.
    void add_fence(const std::string& subject, std::uint64_t fence, const std::string& holder);

    /// Records a violation of a guarantee.
    void add_violation(const std::string& what);
    /// Records that an unplanned fault begins or ends.
    void record_unplanned_fault() { m_last_unplanned_at = m_time->now(); }
    /// Returns whether no unplanned fault has begun or ended for that long.
    [[nodiscard]] bool is_settled(duration length) const { return m_time->now() - m_last_unplanned_at > length; }

    /// Runs the checks that are possible only at the end of the run.
    void check_end();
    /// Compares the reports of the windows from `first_window` to `last_window` with the recorded requests.
    /// Precondition: no fault has occurred in these windows.
    void check_usage(std::int64_t first_window, std::int64_t last_window);

    /// Returns the fraction of owed requests that were served since the last call of this function.
    [[nodiscard]] double take_served_fraction();

    [[nodiscard]] const std::vector<std::string>& get_violations() const noexcept { return m_violations; }
    [[nodiscard]] std::size_t get_requests() const noexcept { return m_requests.size(); }
    [[nodiscard]] std::size_t get_served() const noexcept { return m_served; }
    [[nodiscard]] std::size_t get_reports() const noexcept { return m_reports.size(); }
    [[nodiscard]] double get_seconds() const {
        return std::chrono::duration<double>(m_time->now() - m_started_at).count();
    }

private:
    struct request_state {
        request_kind kind{};
        std::string organisation;
        int runs{0};
        bool has_started{false};
        bool is_guaranteed_not_run{false};
        bool is_owed{true};
    };
    using window_counts = std::map<std::string, std::uint64_t>;

    const clock_source* m_time;
    steady_time m_started_at;
    steady_time m_last_unplanned_at{};
    std::map<std::string, request_state> m_requests;
    std::map<std::int64_t, window_counts> m_actual_counts;
    std::map<std::int64_t, window_counts> m_reports;
    std::map<std::pair<std::string, std::uint64_t>, std::string> m_fences;
    std::vector<std::string> m_violations;
    std::size_t m_served{0};
    std::size_t m_owed{0};
    std::size_t m_owed_served{0};
    std::size_t m_marked_owed{0};
    std::size_t m_marked_served{0};
};

} // namespace dragonflywell::soak
