#include "servers/serving_state.hpp"

#include <algorithm>

#include "core/log.hpp"

namespace dragonflywell::servers {

namespace {

/// Part of the fleet's budget for repeats that is spent: the windows of the hosts do not begin together, and a host
/// that starts anew knows nothing of what it spent before.
constexpr double budget_share = 0.6;

/// Windows for which the counts of other hosts are kept: older ones are reported, or too late to be.
constexpr std::int64_t kept_usage_windows = 6;

} // namespace

serving_state::serving_state(asio::any_io_executor loop, const clock_source& clock, backend_connection_pool& pool,
                             const server_dialect& wire, metrics_registry& metrics, serving_options chosen)
    : executor(std::move(loop)), time(clock), connections(pool), dialect(wire), options(std::move(chosen)),
      usage(options.usage_window), counters(metrics), log(get_logger("request")),
      m_true_offset(clock.wall_now().time_since_epoch() - clock.now_with_suspension().time_since_epoch()) {}

wall_time serving_state::get_true_time() const {
    return wall_time(time.now_with_suspension().time_since_epoch() + m_true_offset);
}

void serving_state::set_view(std::shared_ptr<const fleet::serving_view> view) {
    m_view = std::move(view);
    refresh_servers();
}

void serving_state::refresh_servers() {
    if (m_view == nullptr) {
        return;
    }
    std::map<service_name, std::map<backend_server_name, policy::engine_facts>> facts;
    for (const auto& [id, server] : directory.get_servers()) {
        const fleet::server_record& record = server.record;
        const fleet::service_description* service = m_view->find_service(record.service);
        if (service == nullptr || !service->engine || !record.stage || !fleet::server_directory::is_usable(server)) {
            continue;
        }
        facts[record.service].emplace(id, policy::engine_facts{.zone = record.zone,
                                                               .stage = *record.stage,
                                                               .slots = record.slots,
                                                               .memory_tokens = service->engine->memory_tokens,
                                                               .is_cheap = record.is_cheap,
                                                               .started_at_ms = record.started_at_ms});
    }
    for (const fleet::service_description& service : m_view->get_configuration().services) {
        if (service.engine) {
            service_engines& engines = m_engines[service.name];
            engines.set_description(*service.engine);
            engines.board.set_engines(facts[service.name]);
        }
    }
}

service_engines* serving_state::find_engines(const service_name& service) {
    const auto found = m_engines.find(service);
    return found == m_engines.end() ? nullptr : &found->second;
}

bool serving_state::is_listed(const backend_server_name& server) const {
    const fleet::listed_server* listed = directory.find(server);
    return listed != nullptr && fleet::server_directory::is_usable(*listed) && !is_changing(server);
}

bool serving_state::is_usable(const backend_server_name& server) const {
    return is_listed(server) && health.is_usable(server, time.now());
}

void serving_state::set_changing(const backend_server_name& engine, fleet::engine_stage stage, steady_time until) {
    m_changing[engine] = {.stage = stage, .until = until};
    note_load_change();
}

void serving_state::set_other_changing(const std::string& host, stage_transitions transitions) {
    m_other_changing[host] = std::move(transitions);
}

bool serving_state::is_changing(const backend_server_name& engine) const {
    if (is_under_way(m_changing, engine)) {
        return true;
    }
    return std::any_of(m_other_changing.begin(), m_other_changing.end(),
                       [&](const auto& item) { return is_under_way(item.second, engine); });
}

bool serving_state::is_under_way(const stage_transitions& transitions, const backend_server_name& engine) const {
    const auto found = transitions.find(engine);
    if (found == transitions.end() || time.now() >= found->second.until) {
        return false;
    }
    const fleet::listed_server* listed = directory.find(engine);
    return listed != nullptr && listed->record.stage != found->second.stage;
}

policy::retry_budget& serving_state::get_retry_budget(const service_name& service) {
    std::unique_ptr<policy::retry_budget>& budget = m_budgets[service];
    if (budget == nullptr) {
        budget = std::make_unique<policy::retry_budget>(get_budget_options(), time.now());
    }
    return *budget;
}

void serving_state::set_hosts(std::size_t hosts) {
    if (hosts == m_hosts || hosts == 0) {
        return;
    }
    m_hosts = hosts;
    for (auto& [service, budget] : m_budgets) {
        budget->set_options(get_budget_options());
    }
}

policy::retry_budget_options serving_state::get_budget_options() const {
    const double share = budget_share * options.repeats_besides / static_cast<double>(m_hosts);
    const double window_seconds = std::chrono::duration<double>(options.repeat_window).count();
    return {.per_request = budget_share * options.repeats_per_request,
            .per_second = share / 2 / window_seconds,
            .most_saved = std::max(1.0, share / 2)};
}

std::uint32_t serving_state::get_in_flight(const backend_server_name& server) const {
    std::uint32_t count = 0;
    if (const auto own = m_own_in_flight.find(server); own != m_own_in_flight.end()) {
        count += own->second;
    }
    for (const auto& [host, counts] : m_other_in_flight) {
        if (const auto other = counts.find(server); other != counts.end()) {
            count += other->second;
        }
    }
    return count;
}

void serving_state::set_other_in_flight(const std::string& host, instance_counts counts) {
    m_other_in_flight[host] = std::move(counts);
}

void serving_state::set_other_read_demand(const std::string& host, std::uint64_t incarnation,
                                          const std::map<service_name, duration>& demand) {
    other_demand& before = m_other_demand[host];
    if (before.incarnation == incarnation) {
        for (const auto& [service, total] : demand) {
            const duration told = before.told[service];
            m_others_read_demand[service] += std::max(duration::zero(), total - told);
        }
    }
    before = {.incarnation = incarnation, .told = demand};
}

void serving_state::set_other_usage(const std::string& host, std::uint64_t incarnation,
                                    const std::map<std::int64_t, policy::window_counts>& windows) {
    for (const auto& [window, counts] : windows) {
        m_other_usage[{host, incarnation}][window] = counts;
    }
    const std::int64_t oldest = usage.get_window(get_true_time()) - kept_usage_windows;
    for (auto& [owner, told] : m_other_usage) {
        told.erase(told.begin(), told.lower_bound(oldest));
    }
    std::erase_if(m_other_usage, [](const auto& item) { return item.second.empty(); });
}

duration serving_state::get_read_demand(const service_name& service) const {
    duration demand{};
    if (const auto own = m_engines.find(service); own != m_engines.end()) {
        demand += own->second.get_read_demand();
    }
    if (const auto others = m_others_read_demand.find(service); others != m_others_read_demand.end()) {
        demand += others->second;
    }
    return demand;
}

void serving_state::drop_other(const std::string& host) {
    m_other_in_flight.erase(host);
    m_other_changing.erase(host);
    for (auto& [service, engines] : m_engines) {
        engines.board.drop_other(host);
    }
}

serving_state::in_flight_token::in_flight_token(serving_state& state, backend_server_name server)
    : m_state(&state), m_server(std::move(server)) {
    ++m_state->m_own_in_flight[m_server];
    m_state->note_load_change();
}

serving_state::in_flight_token::~in_flight_token() {
    const auto found = m_state->m_own_in_flight.find(m_server);
    if (found != m_state->m_own_in_flight.end() && --found->second == 0) {
        m_state->m_own_in_flight.erase(found);
    }
    m_state->note_load_change();
}

} // namespace dragonflywell::servers
