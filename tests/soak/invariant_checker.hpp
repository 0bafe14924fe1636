#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/clock.hpp"

namespace dragonflywell::soak {

/// What a request asks for, which decides what may be repeated.
enum class request_kind : std::uint8_t { idempotent, at_most_once, stream, resumable_stream };

[[nodiscard]] inline bool may_run_again(request_kind kind) {
    return kind == request_kind::idempotent || kind == request_kind::resumable_stream;
}

/// Returns the body of the answer to a request, so that caller and server agree on it without having spoken.
[[nodiscard]] std::string make_expected_body(request_kind kind, const std::string& id);
/// Returns the event of a stream with that number, from 1 on.
[[nodiscard]] std::string make_expected_event(const std::string& id, int number);

inline constexpr int events_per_stream = 6;

/// Everything that callers, backend servers and the platform have seen, and the promises that were broken. Used on one
/// event loop.
class invariant_checker {
public:
    explicit invariant_checker(const clock_source& time) : m_time(&time), m_started_at(time.now()) {}

    /// Notes a request that a caller sends; it is owed an answer unless its key was revoked.
    void add_request(const std::string& id, request_kind kind, const std::string& organisation, bool is_owed);
    /// Notes that a backend server begins to run a request, on behalf of that organisation.
    void add_run(const std::string& id, const std::string& organisation, std::int64_t window);
    /// Notes that a caller was told that its request has not run.
    void add_promise_not_run(const std::string& id);
    void add_served(const std::string& id);
    /// Notes a usage report that the platform took.
    void add_report(std::int64_t window, const std::map<std::string, std::uint64_t>& counts);
    /// Notes who used a fence for a subject.
    void add_fence(const std::string& subject, std::uint64_t fence, const std::string& holder);

    /// Notes a broken promise.
    void add_violation(const std::string& what);
    /// Notes that something unplanned begins or ends.
    void note_disturbance() { m_disturbed_at = m_time->now(); }
    /// Returns whether nothing unplanned has happened for that long.
    [[nodiscard]] bool is_calm(duration length) const { return m_time->now() - m_disturbed_at > length; }

    /// Checks what can only be told at the end.
    void check_end();
    /// Compares the reports of windows that lie in a calm span with the truth.
    void check_usage(std::int64_t first_window, std::int64_t last_window);

    /// Returns the share of the requests owed since the mark that were served, and sets the mark anew.
    [[nodiscard]] double take_served_share();

    [[nodiscard]] const std::vector<std::string>& get_violations() const noexcept { return m_violations; }
    [[nodiscard]] std::size_t get_requests() const noexcept { return m_requests.size(); }
    [[nodiscard]] std::size_t get_served() const noexcept { return m_served; }
    [[nodiscard]] std::size_t get_reports() const noexcept { return m_reports.size(); }
    [[nodiscard]] double get_seconds() const {
        return std::chrono::duration<double>(m_time->now() - m_started_at).count();
    }

private:
    struct request_fate {
        request_kind kind{};
        std::string organisation;
        int runs{0};
        bool is_promised_not_run{false};
        bool is_owed{true};
    };
    using window_counts = std::map<std::string, std::uint64_t>;

    const clock_source* m_time;
    steady_time m_started_at;
    steady_time m_disturbed_at{};
    std::map<std::string, request_fate> m_requests;
    std::map<std::int64_t, window_counts> m_truth;
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
