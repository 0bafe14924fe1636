#include "soak/invariant_checker.hpp"

#include <algorithm>
#include <fmt/format.h>

namespace dragonflywell::soak {

namespace {

/// Relative error that the platform's interface permits for a report.
constexpr double usage_tolerance = 0.05;
/// Number of requests near the bounds of a window that the system and the backend servers may count in different
/// windows.
constexpr double usage_tolerance_requests = 2;

} // namespace

std::string make_expected_event(const std::string& id, int number) {
    return fmt::format("id: {}\ndata: {} {}\n\n", number, id, number);
}

std::string make_expected_body(request_kind kind, const std::string& id) {
    if (kind == request_kind::idempotent || kind == request_kind::at_most_once) {
        return "answer to " + id;
    }
    std::string body;
    for (int number = 1; number <= events_per_stream; ++number) {
        body += make_expected_event(id, number);
    }
    return body;
}

void invariant_checker::add_request(const std::string& id, request_kind kind, const std::string& organisation,
                                    bool is_owed) {
    m_requests[id] = {.kind = kind,
                      .organisation = organisation,
                      .runs = 0,
                      .has_started = false,
                      .is_guaranteed_not_run = false,
                      .is_owed = is_owed};
    m_owed += is_owed ? 1 : 0;
}

void invariant_checker::add_run(const std::string& id, const std::string& organisation) {
    const auto found = m_requests.find(id);
    if (found == m_requests.end()) {
        add_violation(fmt::format("a backend server runs {}, which no caller has sent", id));
        return;
    }
    request_state& state = found->second;
    ++state.runs;
    if (state.organisation != organisation) {
        add_violation(fmt::format("{} of organisation {} runs on behalf of {}", id, state.organisation, organisation));
    }
    if (state.runs > 1 && !may_run_again(state.kind)) {
        add_violation(fmt::format("{} runs {} times", id, state.runs));
    }
    if (state.is_guaranteed_not_run && !may_run_again(state.kind)) {
        add_violation(fmt::format("{} runs after its caller received a response that it has not run", id));
    }
}

void invariant_checker::add_start(const std::string& id, const std::string& organisation, std::int64_t window) {
    const auto found = m_requests.find(id);
    if (found == m_requests.end() || found->second.has_started) {
        return;
    }
    found->second.has_started = true;
    ++m_actual_counts[window][organisation];
}

void invariant_checker::add_not_run_guarantee(const std::string& id) {
    request_state& state = m_requests[id];
    state.is_guaranteed_not_run = true;
    if (state.runs > 0 && !may_run_again(state.kind)) {
        add_violation(fmt::format("the caller of {} received a response that it has not run, but it has", id));
    }
}

bool invariant_checker::has_run(const std::string& id) const {
    const auto found = m_requests.find(id);
    return found != m_requests.end() && found->second.runs > 0;
}

void invariant_checker::add_served(const std::string& id) {
    ++m_served;
    m_owed_served += m_requests[id].is_owed ? 1 : 0;
}

void invariant_checker::add_report(std::int64_t window, const std::map<std::string, std::uint64_t>& counts) {
    const auto [found, is_new] = m_reports.emplace(window, counts);
    if (!is_new && found->second != counts) {
        add_violation(fmt::format("window {} is reported twice with different figures", window));
    }
}

void invariant_checker::add_fence(const std::string& subject, std::uint64_t fence, const std::string& holder) {
    const auto [found, is_new] = m_fences.emplace(std::pair(subject, fence), holder);
    if (!is_new && found->second != holder) {
        add_violation(fmt::format("{} and {} both use fencing token {} for {}", found->second, holder, fence, subject));
    }
}

void invariant_checker::add_violation(const std::string& what) {
    constexpr std::size_t most = 40;
    if (m_violations.size() < most) {
        m_violations.push_back(fmt::format("at {:.2f} s: {}", get_seconds(), what));
    }
}

void invariant_checker::check_end() {
    if (m_reports.empty()) {
        add_violation("no usage report was accepted");
    }
}

void invariant_checker::check_usage(std::int64_t first_window, std::int64_t last_window) {
    for (std::int64_t window = first_window; window <= last_window; ++window) {
        const auto report = m_reports.find(window);
        if (report == m_reports.end()) {
            add_violation(fmt::format("window {} of the final fault-free period was not reported in time", window));
            continue;
        }
        for (const auto& [organisation, actual] : m_actual_counts[window]) {
            const auto reported = report->second.find(organisation);
            const double figure = reported == report->second.end() ? 0 : static_cast<double>(reported->second);
            const double tolerance = std::max(usage_tolerance_requests, static_cast<double>(actual) * usage_tolerance);
            if (std::abs(figure - static_cast<double>(actual)) > tolerance) {
                add_violation(fmt::format("window {} reports {} requests for {}, but the backend servers ran {}",
                                          window, figure, organisation, actual));
            }
        }
    }
}

double invariant_checker::take_served_fraction() {
    const std::size_t owed = m_owed - m_marked_owed;
    const std::size_t served = m_owed_served - m_marked_served;
    m_marked_owed = m_owed;
    m_marked_served = m_owed_served;
    return owed == 0 ? 0 : static_cast<double>(served) / static_cast<double>(owed);
}

} // namespace dragonflywell::soak
