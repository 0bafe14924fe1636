#include "daemon/stage_controller.hpp"

#include <algorithm>
#include <utility>

#include "core/log_event.hpp"
#include "daemon/generation_plan.hpp"
#include "servers/server_call.hpp"
#include "servers/sleep.hpp"

namespace dragonflywell::daemon {

namespace {

constexpr duration tick = std::chrono::milliseconds(250);
/// Factor by which the peak of the load decays in each tick, so that it halves in about 20 seconds.
constexpr double peak_decay = 0.99;
/// How long a host that starts while the system is running observes the load before it plans with it.
constexpr duration observation_time = std::chrono::seconds(6);
/// How long an engine gets no order after one to it failed.
constexpr duration failure_cooldown = std::chrono::seconds(4);
/// Time for the other hosts to learn of an order before the engine gets it: two gossip send intervals and the network
/// delay.
constexpr duration notice_time = std::chrono::milliseconds(120);
/// Time beyond the stage change itself for the requests on the engine to end and for the server list to show the new
/// stage.
constexpr duration settle_time = std::chrono::seconds(5);

std::string_view get_answer_name(platform::engine_order_result answer) {
    switch (answer) {
    case platform::engine_order_result::accepted:
        return "accepted";
    case platform::engine_order_result::already_applied:
        return "holds_already";
    case platform::engine_order_result::busy:
        return "busy";
    case platform::engine_order_result::superseded:
        return "superseded";
    case platform::engine_order_result::rejected:
        return "rejected";
    case platform::engine_order_result::unknown:
        break;
    }
    return "unknown";
}

} // namespace

stage_controller::stage_controller(platform::engine_order_client& orders, lease_keeper& lease,
                                   servers::serving_state& state, std::string host, bool is_first_start)
    : m_orders(&orders), m_lease(&lease), m_state(&state), m_host(std::move(host)),
      m_is_before_first_request(is_first_start), m_started_at(state.time.now()), m_log(get_logger("stages")) {}

servers::asio::awaitable<void> stage_controller::run() {
    for (;;) {
        co_await servers::sleep_for(tick);
        observe_demand();
        const std::optional<std::uint64_t> fence = m_lease->get_fencing_number();
        if (!fence || m_state->get_view() == nullptr || !is_load_known()) {
            continue;
        }
        const std::shared_ptr<const fleet::serving_view> view = m_state->get_view();
        for (const fleet::service_description& service : view->get_configuration().services) {
            if (service.engine) {
                co_await control(*fence, service.name);
            }
        }
    }
}

void stage_controller::observe_demand() {
    for (const auto& [service, engines] : m_state->get_engines()) {
        const double running = m_state->get_running(service);
        double& peak = m_running[service];
        peak = std::max(running, peak * peak_decay);
        m_is_before_first_request = m_is_before_first_request && running == 0;
        const double prefill_seconds = std::chrono::duration<double>(m_state->get_prefill_demand(service)).count();
        m_prefill_demand.try_emplace(service, policy::decaying_peak_rate::options{})
            .first->second.observe(prefill_seconds, m_state->time.now());
    }
}

bool stage_controller::is_load_known() const {
    return m_is_before_first_request || m_state->time.now() - m_started_at >= observation_time;
}

std::vector<policy::staged_engine> stage_controller::get_engines(const service_name& service) const {
    std::vector<policy::staged_engine> engines;
    for (const auto& [id, server] : m_state->eligibility.get_list().get_servers()) {
        const fleet::server_record& record = server.record;
        const bool is_staying = m_state->eligibility.is_staying(id, m_state->time.now());
        if (record.service != service || !record.stage || !is_staying) {
            continue;
        }
        const auto cooldown = m_cooldowns.find(id);
        const bool is_cooling_down = cooldown != m_cooldowns.end() && m_state->time.now() < cooldown->second;
        engines.push_back({.name = id,
                           .zone = record.zone,
                           .stage = *record.stage,
                           .is_cheap = record.is_cheap,
                           .slots = record.slots,
                           .is_changing = is_cooling_down || m_state->is_changing_stage(id)});
    }
    return engines;
}

std::optional<double> stage_controller::get_prefill_demand(const service_name& service) const {
    const auto demand = m_prefill_demand.find(service);
    return demand == m_prefill_demand.end() ? std::nullopt : demand->second.get();
}

servers::asio::awaitable<void> stage_controller::control(std::uint64_t fence, service_name service) {
    const std::vector<policy::staged_engine> engines = get_engines(service);
    const policy::stage_plan_options options = make_stage_plan_options(*m_state, service);
    if (m_is_before_first_request && !engines.empty()) {
        m_running[service] = policy::assume_initial_running(engines.size(), policy::get_mean_slots(engines), options);
    }
    const std::vector<policy::stage_change> changes =
        policy::plan_stages(engines,
                            {.running = m_running[service],
                             .prefill_engines = get_prefill_demand(service),
                             .is_before_first_request = m_is_before_first_request},
                            options);
    for (const policy::stage_change& change : changes) {
        const servers::service_engines* state = m_state->find_engines(service);
        if (state == nullptr || m_lease->get_fencing_number() != fence) {
            co_return;
        }
        const duration change_time = state->get_description().stage_change_time;
        co_await order(fence, change, change_time, options.decode_fill);
    }
}

servers::asio::awaitable<std::optional<platform::engine_report>>
stage_controller::request_report(platform::engine_address engine) {
    std::optional<servers::server_call> call = servers::try_begin_call(*m_state, engine.name);
    if (!call) {
        co_return std::nullopt;
    }
    co_return co_await m_orders->request_report(engine, std::move(*call));
}

servers::asio::awaitable<void> stage_controller::order(std::uint64_t fence, policy::stage_change change,
                                                       duration change_time, double planned_fill) {
    const fleet::listed_server* listed = m_state->eligibility.get_list().find(change.engine);
    if (listed == nullptr || m_state->eligibility.get_pause_end(change.engine, m_state->time.now())) {
        co_return;
    }
    const platform::engine_address engine{.name = change.engine, .address = listed->record.address};
    // An engine whose limit leaves no room for the report or the order counts as busy.
    const std::optional<platform::engine_report> report = co_await request_report(engine);
    platform::engine_order_result answer = platform::engine_order_result::busy;
    if (report && !report->is_busy && m_lease->get_fencing_number() == fence) {
        const platform::duty_credentials authority = m_lease->make_credentials(m_host, fence);
        // Other hosts learn of the change before the engine starts to refuse requests.
        m_state->begin_stage_change(change.engine, change.stage, m_state->time.now() + change_time + settle_time);
        if (!m_is_before_first_request) {
            co_await servers::sleep_for(notice_time);
        }
        std::optional<servers::server_call> call = servers::try_begin_call(*m_state, change.engine);
        if (call && m_lease->get_fencing_number() == fence) {
            answer = co_await m_orders->order_stage_change(authority, engine, change.stage, report->accepted_orders,
                                                           std::move(*call));
        }
    }
    log_event("stage_ordered")
        .add("engine", change.engine.value())
        .add("stage", fleet::get_stage_name(change.stage))
        .add("planned_fill", planned_fill)
        .add("fence", fence)
        .add("reported", report.has_value())
        .add("answer", get_answer_name(answer))
        .write(*m_log, spdlog::level::info);
    switch (answer) {
    case platform::engine_order_result::accepted:
    case platform::engine_order_result::unknown:
        break;
    case platform::engine_order_result::superseded:
        m_lease->on_superseded();
        [[fallthrough]];
    case platform::engine_order_result::already_applied:
    case platform::engine_order_result::busy:
    case platform::engine_order_result::rejected:
        m_state->end_stage_change(change.engine);
        m_cooldowns[change.engine] = m_state->time.now() + failure_cooldown;
        break;
    }
}

} // namespace dragonflywell::daemon
