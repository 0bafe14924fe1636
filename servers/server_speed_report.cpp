#include "servers/server_speed_report.hpp"

#include <algorithm>
#include <cmath>

#include "core/log.hpp"
#include "core/log_event.hpp"
#include "servers/server_speed_sharing.hpp"

namespace dragonflywell::servers {

namespace {

/// Change of a speed, as a factor, and of a limit, as a difference, that is logged.
constexpr double logged_factor = 1.25;
constexpr double logged_difference = 0.2;
/// Speeds that count as slower and faster in the gauges.
constexpr double slower_speed = 0.9;
constexpr double faster_speed = 1.1;
constexpr double percent = 100;
/// Load at which a server is reported that this host has not observed itself.
constexpr double assumed_load = 0.5;
/// Log lines of one run.
constexpr std::size_t max_lines = 2;
/// Time between two runs, by the clock that counts suspension, from which on this host counts as frozen.
constexpr duration freeze_time = std::chrono::seconds(2);

} // namespace

server_speed_report::server_speed_report(serving_state& state, metrics_registry& metrics)
    : m_state(&state), m_log(get_logger("speeds")), m_slower(&metrics.get_gauge("dragonflywell_slower_servers")),
      m_faster(&metrics.get_gauge("dragonflywell_faster_servers")),
      m_limited(&metrics.get_gauge("dragonflywell_limited_servers")),
      m_lowest_speed(&metrics.get_gauge("dragonflywell_lowest_server_speed_percent")),
      m_lowest_limit(&metrics.get_gauge("dragonflywell_lowest_server_limit_percent")),
      m_changes(&metrics.get_counter("dragonflywell_server_speed_changes_total")) {}

void server_speed_report::run() {
    if (!m_state->options.learns_server_speeds) {
        return;
    }
    forget_after_freeze();
    m_usual_loads.clear();
    for_each_speed_estimator(*m_state, [this](policy::server_speed_estimator& estimator) {
        const steady_time now = m_state->time.now();
        estimator.refresh(now);
        for (const auto& [server, sums] : estimator.get_own_sums(now)) {
            if (sums.weight > 0) {
                m_usual_loads.insert_or_assign(server, sums.load / sums.weight);
            }
        }
    });
    std::int64_t slower = 0;
    std::int64_t faster = 0;
    std::int64_t limited = 0;
    double lowest_speed = 1;
    double lowest_limit = 1;
    std::size_t lines = 0;
    const auto& servers = m_state->eligibility.get_list().get_servers();
    for (const auto& [server, listed] : servers) {
        const std::optional<current_estimate> estimate = get_estimate(server, listed.record);
        if (!estimate) {
            continue;
        }
        slower += estimate->speed < slower_speed ? 1 : 0;
        faster += estimate->speed > faster_speed ? 1 : 0;
        limited += estimate->limit < 1 ? 1 : 0;
        lowest_speed = std::min(lowest_speed, estimate->speed);
        lowest_limit = std::min(lowest_limit, estimate->limit);
        if (lines < max_lines && log_change(server, *estimate)) {
            ++lines;
        }
    }
    std::erase_if(m_logged, [&](const auto& item) { return !servers.contains(item.first); });
    m_slower->set(slower);
    m_faster->set(faster);
    m_limited->set(limited);
    m_lowest_speed->set(std::llround(lowest_speed * percent));
    m_lowest_limit->set(std::llround(lowest_limit * percent));
}

void server_speed_report::forget_after_freeze() {
    const steady_time now = m_state->time.now_with_suspension();
    if (m_last_run_at && now - *m_last_run_at >= freeze_time) {
        for_each_speed_estimator(*m_state, [](policy::server_speed_estimator& estimator) { estimator.clear(); });
    }
    m_last_run_at = now;
}

std::optional<server_speed_report::current_estimate>
server_speed_report::get_estimate(const backend_server_name& server, const fleet::server_record& record) {
    const policy::server_speed_estimator* estimator = find_speed_estimator(*m_state, server);
    if (estimator == nullptr) {
        return std::nullopt;
    }
    current_estimate estimate;
    if (const service_engines* engines = m_state->find_engines(record.service); engines != nullptr) {
        const bool is_prefill = record.stage == fleet::engine_stage::prefill;
        estimate.in_flight =
            is_prefill ? engines->load_tracker.get_prompts(server) : engines->load_tracker.get_running(server);
    } else {
        estimate.in_flight = m_state->get_in_flight(server);
    }
    const auto usual = m_usual_loads.find(server);
    estimate.speed = estimator->get_speed(server, usual == m_usual_loads.end() ? assumed_load : usual->second);
    estimate.limit = estimator->get_limit(server);
    return estimate;
}

bool server_speed_report::log_change(const backend_server_name& server, const current_estimate& estimate) {
    logged_estimate& logged = m_logged[server];
    const double factor = estimate.speed / logged.speed;
    const double difference = estimate.limit - logged.limit;
    const bool has_speed_changed = factor >= logged_factor || factor <= 1 / logged_factor;
    if (!has_speed_changed && std::abs(difference) < logged_difference) {
        return false;
    }
    const char* reason = difference < 0 ? "slows_under_load" : "takes_full_load";
    if (has_speed_changed) {
        reason = factor < 1 ? "slower" : "faster";
    }
    logged = {.speed = estimate.speed, .limit = estimate.limit};
    m_changes->add();
    log_event("server_speed")
        .add("server", server.value())
        .add("speed", estimate.speed)
        .add("limit", estimate.limit)
        .add("in_flight", estimate.in_flight)
        .add("reason", reason)
        .write(*m_log, spdlog::level::info);
    return true;
}

} // namespace dragonflywell::servers
