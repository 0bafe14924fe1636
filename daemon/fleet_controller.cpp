#include "daemon/fleet_controller.hpp"

#include <algorithm>

#include "core/log_event.hpp"
#include "daemon/generation_plan.hpp"
#include "servers/sleep.hpp"

namespace dragonflywell::daemon {

namespace {

constexpr duration tick = std::chrono::milliseconds(500);
/// Factor by which the peak of the running requests decays in each tick, so that it halves in about 20 seconds.
constexpr double peak_decay = 0.98;
/// How long servers that are no longer needed are kept. The load usually rises again sooner, and a newly ordered server
/// starts with an empty cache.
constexpr duration hold_time = std::chrono::seconds(30);
/// How long to wait before an order that was not accepted is sent again.
constexpr duration retry_delay = std::chrono::seconds(3);
/// How long ordered servers may take to start and to register in the server list.
constexpr duration arrival_time = std::chrono::seconds(7);

std::string_view get_answer_name(platform::duty_call_result answer) {
    switch (answer) {
    case platform::duty_call_result::accepted:
        return "accepted";
    case platform::duty_call_result::superseded:
        return "superseded";
    case platform::duty_call_result::refused:
        return "refused";
    case platform::duty_call_result::no_capacity:
        return "not_available";
    case platform::duty_call_result::unknown:
        break;
    }
    return "unknown";
}

} // namespace

fleet_controller::fleet_controller(platform::cloud_client& cloud, lease_keeper& lease, servers::serving_state& state,
                                   std::string host)
    : m_cloud(&cloud), m_lease(&lease), m_state(&state), m_host(std::move(host)), m_log(get_logger("fleet")) {}

servers::asio::awaitable<void> fleet_controller::run() {
    for (;;) {
        co_await servers::sleep_for(tick);
        observe_demand();
        const std::optional<std::uint64_t> fence = m_lease->get_fencing_number();
        if (fence != m_fence) {
            m_fence = fence;
            m_orders.clear();
        }
        if (fence && m_state->get_view() != nullptr) {
            co_await control(*fence);
        }
    }
}

void fleet_controller::observe_demand() {
    const steady_time now = m_state->time.now();
    for (const auto& [service, engines] : m_state->get_engines()) {
        const auto peak = m_prefill_demand.try_emplace(service, policy::decaying_peak_rate::options{}).first;
        peak->second.observe(std::chrono::duration<double>(m_state->get_prefill_demand(service)).count(), now);
        const double running = m_state->get_running(service);
        double& running_peak = m_running[service];
        running_peak = std::max(running, running_peak * peak_decay);
    }
}

policy::fleet_demand fleet_controller::get_demand(const service_name& service, std::size_t max_servers) const {
    policy::fleet_demand demand;
    if (const auto prefill = m_prefill_demand.find(service); prefill != m_prefill_demand.end()) {
        const std::optional<double> peak = prefill->second.get();
        // There were no requests yet, so the demand is unknown.
        demand.prefill_engines = peak && *peak > 0 ? peak : std::nullopt;
    }
    const fleet::service_description* description = m_state->get_view()->find_service(service);
    const double slots = description->engine ? description->engine->slots : 1;
    const auto running = m_running.find(service);
    const double peak = running == m_running.end() ? 0 : running->second;
    const std::size_t decode_engines =
        policy::split_engines(max_servers, slots, {.running = peak, .prefill_engines = demand.prefill_engines},
                              make_stage_plan_options(*m_state, service));
    demand.decode_engines = static_cast<std::uint32_t>(decode_engines);
    return demand;
}

servers::asio::awaitable<void> fleet_controller::control(std::uint64_t fence) {
    const std::shared_ptr<const fleet::serving_view> view = m_state->get_view();
    for (const fleet::service_description& service : view->get_configuration().services) {
        if (!service.scaling) {
            continue;
        }
        const std::map<zone_name, policy::zone_server_counts> present = get_present(service.name);
        const std::size_t max_servers = present.size() * service.scaling->max_servers;
        const std::map<zone_name, policy::zone_server_counts> targets =
            policy::plan_servers(*service.scaling, present, get_demand(service.name, max_servers), {});
        for (const auto& [zone, target] : targets) {
            const server_pool regular{.service = service.name, .zone = zone, .is_cheap = false};
            const server_pool cheap{.service = service.name, .zone = zone, .is_cheap = true};
            const steady_time now = m_state->time.now();
            const std::uint32_t wanted_regular =
                m_targets.try_emplace(regular, hold_time).first->second.observe(target.regular, now);
            const std::uint32_t wanted_cheap =
                m_targets.try_emplace(cheap, hold_time).first->second.observe(target.cheap, now);
            const std::uint32_t cheap_limit = service.scaling->max_servers - wanted_regular;
            const policy::zone_server_counts& current = present.at(zone);
            co_await order(fence, regular, wanted_regular, current.regular);
            co_await order(fence, cheap, std::min(wanted_cheap, cheap_limit), current.cheap);
        }
    }
}

std::map<zone_name, policy::zone_server_counts> fleet_controller::get_present(const service_name& service) const {
    std::map<zone_name, policy::zone_server_counts> present;
    for (const auto& [id, server] : m_state->eligibility.get_list().get_servers()) {
        if (server.record.service != service) {
            continue;
        }
        policy::zone_server_counts& zone = present[server.record.zone];
        if (!m_state->eligibility.is_leaving(id)) {
            ++(server.record.is_cheap ? zone.cheap : zone.regular);
        }
    }
    return present;
}

servers::asio::awaitable<void> fleet_controller::order(std::uint64_t fence, server_pool pool, std::uint32_t wanted,
                                                       std::uint32_t present) {
    const steady_time now = m_state->time.now();
    const auto before = m_orders.find(pool);
    if (before != m_orders.end()) {
        const bool is_same = before->second.wanted == wanted;
        const duration age = now - before->second.sent_at;
        // Servers that were reclaimed or that crashed do not return without a new order.
        const bool is_carried_out = before->second.is_accepted && (present >= wanted || age < arrival_time);
        if (is_same && (is_carried_out || age < retry_delay)) {
            co_return;
        }
    }
    if (m_lease->get_fencing_number() != fence) {
        co_return;
    }
    const platform::duty_credentials authority = m_lease->make_credentials(m_host, fence);
    const platform::scaling_request message{
        .service = pool.service, .zone = pool.zone, .desired_count = wanted, .is_cheap = pool.is_cheap};
    const platform::duty_call_result answer = co_await m_cloud->request_scaling(authority, message);
    m_orders[pool] = {.wanted = wanted, .is_accepted = answer == platform::duty_call_result::accepted, .sent_at = now};
    log_event("servers_ordered")
        .add("service", pool.service.value())
        .add("zone", pool.zone.value())
        .add("cheap", pool.is_cheap)
        .add("wanted", wanted)
        .add("fence", fence)
        .add("answer", get_answer_name(answer))
        .write(*m_log, spdlog::level::info);
    if (answer == platform::duty_call_result::superseded) {
        m_lease->on_superseded();
    }
}

} // namespace dragonflywell::daemon
