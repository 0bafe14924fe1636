#include "servers/serving_state.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <random>

#include "core/hash.hpp"
#include "core/log.hpp"
#include "core/log_event.hpp"
#include "servers/backend_exchange.hpp"
#include "servers/server_speed_sharing.hpp"
#include "servers/thread_random.hpp"
#include "servers/tracked_exchange.hpp"

namespace dragonflywell::servers {

namespace {

/// Shares of the retry budget of the fleet that are used: of the part that requests add, and of the base part. The rest
/// is a reserve, because a restarted host does not know what it spent before. If all hosts restart within one window,
/// the retries for the requests of half a window more and twice the base still stay within the whole budget.
constexpr double per_request_share = 0.7;
constexpr double base_share = 0.4;
/// Number of hosts of the group that must have seen a server fail before the server counts as degraded. A failure on
/// this host counts as much as an ejection on another host.
constexpr std::uint32_t min_failure_witnesses = 2;
/// Ejection time that this host reports for a stalled server. It covers the time until one or two digests later.
constexpr duration stalled_ejection_time = std::chrono::seconds(1);
/// Number of records of crashes that are announced again for hosts that may not know them.
constexpr std::size_t max_reannounced_crashes = 64;
/// Number of requests that one crash makes suspects.
constexpr std::size_t max_suspects_per_crash = 64;

/// Returns parts for a log line: the first ones, and how many more there are.
std::string format_parts(std::span<const policy::prompt_part_id> parts) {
    constexpr std::size_t max_logged_parts = 16;
    const std::span<const policy::prompt_part_id> logged = parts.first(std::min(parts.size(), max_logged_parts));
    std::string text = fmt::format("{:x}", fmt::join(logged, ","));
    if (logged.size() < parts.size()) {
        text += fmt::format(",+{}", parts.size() - logged.size());
    }
    return text;
}

} // namespace

serving_state::serving_state(asio::any_io_executor loop, const clock_source& clock, backend_connection_pool& pool,
                             const backend_codec& backend_protocol, metrics_registry& metrics,
                             serving_options initial_options)
    : executor(std::move(loop)), time(clock), connections(pool), codec(backend_protocol),
      options(std::move(initial_options)), peers(clock, policy::host_groups(options.own_host, options.own_zone, {})),
      usage(options.usage_window), quotas(executor, clock, metrics,
                                          {.host = options.own_host,
                                           .incarnation = options.incarnation,
                                           .tolerance = options.quota_tolerance,
                                           .is_first_start = options.is_first_start,
                                           .started_at = clock.now_with_suspension()}),
      limits(executor, clock, metrics,
             {.host = options.own_host,
              .incarnation = options.incarnation,
              .tolerance = {},
              .is_first_start = false,
              .started_at = clock.now_with_suspension()}),
      counters(metrics), log(get_logger("request")),
      m_corrected_offset(clock.wall_now().time_since_epoch() - clock.now_with_suspension().time_since_epoch()) {
    limits.on_limit_change = [this] { notify_load_change(); };
}

wall_time serving_state::get_corrected_time() const {
    return wall_time(time.now_with_suspension().time_since_epoch() + m_corrected_offset);
}

bool serving_state::may_accept(duration time_left) const {
    return !m_stop || m_stop->may_accept(time.now_with_suspension(), time_left);
}

duration serving_state::get_work_time_left() const {
    return m_stop ? m_stop->get_work_end() - time.now_with_suspension() : duration::max();
}

void serving_state::end_work() {
    for (backend_exchange* exchange : m_running_exchanges) {
        exchange->cancel();
    }
}

serving_state::running_exchange::running_exchange(serving_state& state, backend_exchange& exchange)
    : m_state(&state), m_exchange(&exchange) {
    m_state->m_running_exchanges.insert(m_exchange);
}

serving_state::running_exchange::~running_exchange() {
    m_state->m_running_exchanges.erase(m_exchange);
    m_state->counters.count_foreign_responses(m_exchange->get_skipped_responses());
}

void serving_state::set_view(std::shared_ptr<const fleet::serving_view> view) {
    m_view = std::move(view);
    quotas.set_configuration(m_view->get_configuration());
    eligibility.get_list().set_named_services(m_view->get_named_services());
    refresh_servers();
}

void serving_state::refresh_servers() {
    std::map<backend_server_name, std::uint64_t> incarnations;
    for (const auto& [id, server] : eligibility.get_list().get_servers()) {
        incarnations.emplace(id, static_cast<std::uint64_t>(server.record.started_at_ms));
    }
    limits.retain(std::move(incarnations));
    if (m_view == nullptr) {
        return;
    }
    std::map<service_name, std::map<backend_server_name, policy::engine_attributes>> attributes;
    for (const auto& [id, server] : eligibility.get_list().get_servers()) {
        const fleet::server_record& record = server.record;
        const fleet::service_description* service = m_view->find_service(record.service);
        const bool is_engine = service != nullptr && service->engine && record.stage;
        if (!is_engine || !eligibility.is_staying(id, time.now())) {
            continue;
        }
        attributes[record.service].emplace(
            id, policy::engine_attributes{.zone = record.zone,
                                          .stage = *record.stage,
                                          .slots = record.slots,
                                          .memory_tokens = service->engine->kv_capacity_tokens,
                                          .is_cheap = record.is_cheap,
                                          .started_at_ms = record.started_at_ms});
    }
    for (const fleet::service_description& service : m_view->get_configuration().services) {
        if (service.engine) {
            service_engines& engines = m_engines[service.name];
            engines.set_description(*service.engine);
            engines.speeds.set_enabled(options.learns_server_speeds);
            engines.load_tracker.set_engines(attributes[service.name]);
        }
    }
}

service_engines* serving_state::find_engines(const service_name& service) {
    const auto found = m_engines.find(service);
    return found == m_engines.end() ? nullptr : &found->second;
}

bool serving_state::may_get_work(const backend_server_name& server) const {
    return eligibility.may_get_work(server, time.now()) && !is_changing_stage(server);
}

void serving_state::apply_notice(const backend_server_name& server, std::uint64_t incarnation,
                                 const server_notice& notice, steady_time sent_at) {
    if (!notice.is_leaving) {
        eligibility.record_response(server, incarnation, sent_at);
    } else if (eligibility.record_leaving(server, incarnation)) {
        counters.count_leaving_server();
        log_event("server_notice")
            .add("server", server.value())
            .add("says", "leaving")
            .add("started_at", incarnation)
            .write(*log, spdlog::level::info);
        notify_load_change();
    }
    limits.apply_notice(server, incarnation, notice, sent_at);
    if (!notice.asks_for_pause) {
        return;
    }
    const double spread = hash_to_unit_interval(options.own_host, get_stable_hash(server.value()));
    const duration pause = eligibility.record_pause(server, notice.pause, spread, time.now());
    counters.count_server_pause();
    const bool is_valid = eligibility.is_valid_pause(notice.pause);
    log_event("server_notice")
        .add("server", server.value())
        .add("says", is_valid ? "retry_after" : "invalid_retry_after")
        .add("pause_ms", pause)
        .write(*log, is_valid ? spdlog::level::info : spdlog::level::err);
}

duration serving_state::get_retry_after(const service_name& service, duration fallback,
                                        std::optional<duration> limited) const {
    constexpr double spread_fraction = 0.5;
    std::optional<steady_time> first_end;
    for (const auto& [id, server] : eligibility.get_list().get_servers()) {
        const std::optional<steady_time> end = eligibility.get_pause_end(id, time.now());
        if (server.record.service == service && end) {
            first_end = std::min(first_end.value_or(*end), *end);
        }
    }
    if (!first_end) {
        return limited.value_or(fallback);
    }
    const duration remaining = std::max(*first_end - time.now(), fallback);
    const double spread = std::uniform_real_distribution<double>(0, spread_fraction)(get_thread_random());
    const duration after_pause = remaining + std::chrono::duration_cast<duration>(remaining * spread);
    return std::min(limited.value_or(after_pause), after_pause);
}

bool serving_state::is_usable(const backend_server_name& server) const {
    return may_get_work(server) && health.is_usable(server, time.now());
}

bool serving_state::is_degraded(const backend_server_name& server) const {
    if (stalls.is_stalled(server, time.now())) {
        return true;
    }
    return peers.count_ejecting_hosts(server) + (health.has_failed_last(server) ? 1 : 0) >= min_failure_witnesses;
}

std::map<backend_server_name, duration> serving_state::get_ejected() const {
    std::map<backend_server_name, duration> ejected = health.get_ejected(time.now());
    for (const backend_server_name& server : stalls.get_stalled(time.now())) {
        duration& left = ejected[server];
        left = std::max(left, stalled_ejection_time);
    }
    return ejected;
}

void serving_state::begin_stage_change(const backend_server_name& engine, fleet::engine_stage stage,
                                       steady_time until) {
    m_stage_changes[engine] = {.stage = stage, .until = until};
    notify_load_change();
}

bool serving_state::is_changing_stage(const backend_server_name& engine) const {
    std::optional<fleet::engine_stage> stage = peers.get_transition(engine);
    if (const auto own = m_stage_changes.find(engine); own != m_stage_changes.end() && time.now() < own->second.until) {
        stage = own->second.stage;
    }
    const fleet::listed_server* listed = eligibility.get_list().find(engine);
    return stage && listed != nullptr && listed->record.stage != stage;
}

std::map<backend_server_name, digest_transition> serving_state::get_own_transitions() const {
    const steady_time now = time.now();
    std::map<backend_server_name, digest_transition> transitions;
    for (const auto& [engine, transition] : m_stage_changes) {
        // Another host may have ordered a change of the same engine since, so that the engine is still changing
        // although this order has expired.
        if (now < transition.until && is_changing_stage(engine)) {
            transitions.emplace(engine,
                                digest_transition{.stage = transition.stage, .remaining = transition.until - now});
        }
    }
    return transitions;
}

bool serving_state::is_own_group_server(const backend_server_name& server) const {
    const fleet::listed_server* listed = eligibility.get_list().find(server);
    return listed != nullptr && peers.groups.is_own_group_server(server, listed->record.zone);
}

policy::retry_budget& serving_state::get_retry_budget(const service_name& service) {
    std::unique_ptr<policy::retry_budget>& budget = m_retry_budgets[service];
    if (budget == nullptr) {
        budget = std::make_unique<policy::retry_budget>(get_budget_options(), options.started_at);
    }
    return *budget;
}

void serving_state::set_host_count(std::size_t hosts) {
    if (hosts == m_host_count || hosts == 0) {
        return;
    }
    m_host_count = hosts;
    for (auto& [service, budget] : m_retry_budgets) {
        budget->set_options(get_budget_options());
    }
}

policy::retry_budget_options serving_state::get_budget_options() const {
    // The base budget is divided among all hosts. Until their number is known, no host uses any of it.
    const double base_retries =
        m_host_count == 0 ? 0 : base_share * options.base_retries / static_cast<double>(m_host_count);
    return {.retries_per_request = per_request_share * options.retries_per_request,
            .base_retries = base_retries,
            .window = options.retry_window};
}

std::uint32_t serving_state::get_in_flight(const backend_server_name& server) const {
    const auto own = m_own_in_flight.find(server);
    return peers.get_in_flight(server) + (own == m_own_in_flight.end() ? 0 : own->second);
}

duration serving_state::get_prefill_demand(const service_name& service) const {
    return get_group_prefill_demand(service) + peers.get_remote_prefill_demand(service);
}

duration serving_state::get_group_prefill_demand(const service_name& service) const {
    duration demand{};
    if (const auto own = m_engines.find(service); own != m_engines.end()) {
        demand += own->second.get_prefill_demand();
    }
    return demand + peers.get_group_prefill_demand(service);
}

policy::group_load serving_state::get_group_load(const service_name& service) const {
    const auto found = m_engines.find(service);
    if (found == m_engines.end()) {
        return {};
    }
    const auto is_counted = [this](const backend_server_name& name) {
        return is_own_group_server(name) && is_usable(name);
    };
    return policy::get_group_load(found->second.load_tracker, is_counted, time.now());
}

double serving_state::get_running(const service_name& service) const {
    double running = peers.get_remote_running(service);
    if (const auto own = m_engines.find(service); own != m_engines.end()) {
        for (const auto& [name, engine] : own->second.load_tracker.get_engines()) {
            running += policy::count_generating(own->second.load_tracker, name, engine.attributes.stage);
        }
    }
    return running;
}

void serving_state::remove_host(const std::string& host) {
    peers.remove_host(host);
    for_each_speed_estimator(*this, [&host](policy::server_speed_estimator& speeds) { speeds.remove_host(host); });
    for (auto& [service, engines] : m_engines) {
        engines.load_tracker.remove_host(host);
    }
}

serving_state::in_flight_guard::in_flight_guard(serving_state& state, backend_server_name server)
    : m_state(&state), m_server(std::move(server)) {
    ++m_state->m_own_in_flight[m_server];
    m_state->notify_load_change();
}

serving_state::in_flight_guard::~in_flight_guard() {
    const auto found = m_state->m_own_in_flight.find(m_server);
    if (found != m_state->m_own_in_flight.end() && --found->second == 0) {
        m_state->m_own_in_flight.erase(found);
    }
    m_state->notify_load_change();
}

std::vector<policy::crash_suspect> serving_state::take_crash_suspects(const backend_server_name& server,
                                                                      policy::down_proof proof) {
    std::vector<policy::crash_suspect> running;
    if (const auto found = tracked_exchanges.find(server); found != tracked_exchanges.end()) {
        for (tracked_exchange* exchange : found->second) {
            const bool counts = proof == policy::down_proof::ended || exchange->is_broken();
            if (std::optional<policy::crash_suspect> suspect = counts ? exchange->take_suspect() : std::nullopt) {
                running.push_back(std::move(*suspect));
            }
        }
    }
    std::vector<policy::crash_suspect> taken =
        crashes.take_crash_suspects(server, proof, std::move(running), time.now());
    const wall_time wall_now = get_corrected_time();
    std::stable_partition(taken.begin(), taken.end(), [&](const policy::crash_suspect& suspect) {
        return suspects.is_suspect(suspect.request, wall_now);
    });
    taken.resize(std::min(taken.size(), max_suspects_per_crash));
    return taken;
}

void serving_state::record_server_down(const backend_server_name& server, policy::down_proof proof) {
    const steady_time now = time.now();
    for (const policy::crash_suspect& suspect : take_crash_suspects(server, proof)) {
        // Whatever was answered since then was harmless.
        const wall_time moment = get_corrected_time() - (now - suspect.sent_at);
        const policy::engine_crash crash{
            .fingerprint = suspect.request, .crash_id = suspect.server_incarnation, .moment = moment};
        suspects.record_crash(crash);
        group_announcements.crashes.add(crash, now);
        intergroup_announcements.crashes.add(crash, now);
        counters.count_suspect();
        log_event("request_suspected")
            .add("fingerprint", suspect.request)
            .add("server", server.value())
            .add("waiting_parts", format_parts(suspect.waiting_parts))
            .write(*log, spdlog::level::warn);
        const policy::part_crash part_crash{
            .crash_id = suspect.server_incarnation, .parts = suspect.waiting_parts, .moment = moment};
        if (part_suspects.record_crash(part_crash)) {
            announce_part_crash(part_suspects.shorten(part_crash));
        }
    }
    if (log_blamed_parts()) {
        // The records of long prompts were announced without most of their parts.
        for (const policy::part_crash& crash : get_blamed_crashes()) {
            announce_part_crash(crash);
        }
    }
}

void serving_state::announce_part_crash(const policy::part_crash& crash) {
    group_announcements.part_crashes.add(crash, time.now());
    intergroup_announcements.part_crashes.add(crash, time.now());
}

void serving_state::record_prompt_answer(std::span<const policy::prompt_part_id> parts) {
    const steady_time now = time.now();
    for (const policy::part_clearance& clearance : part_suspects.record_answer(parts, get_corrected_time())) {
        group_announcements.part_clearances.add(clearance, now);
        intergroup_announcements.part_clearances.add(clearance, now);
    }
}

void serving_state::apply_crashes(const host_digest& digest, bool is_own_group) {
    const steady_time now = time.now();
    for (const policy::engine_crash& crash : digest.crashes) {
        if (suspects.record_crash(crash) && is_own_group) {
            intergroup_announcements.crashes.add(crash, now);
        }
    }
    for (const policy::part_clearance& clearance : digest.part_clearances) {
        if (part_suspects.record_clearance(clearance) && is_own_group) {
            intergroup_announcements.part_clearances.add(clearance, now);
        }
    }
    for (const policy::part_crash& crash : digest.part_crashes) {
        if (part_suspects.record_crash(crash) && is_own_group) {
            intergroup_announcements.part_crashes.add(crash, now);
        }
    }
    log_blamed_parts();
}

void serving_state::announce_refused_to_group() {
    for (const policy::engine_crash& crash :
         suspects.get_refused_crashes(get_corrected_time(), max_reannounced_crashes)) {
        group_announcements.crashes.add(crash, time.now());
    }
    for (const policy::part_crash& crash : get_blamed_crashes()) {
        group_announcements.part_crashes.add(crash, time.now());
    }
}

std::vector<policy::part_crash> serving_state::get_blamed_crashes() {
    return part_suspects.get_blamed_crashes(get_corrected_time(), max_reannounced_crashes);
}

bool serving_state::log_blamed_parts() {
    bool is_new = false;
    std::set<policy::part_quarantine::part_group> blamed;
    for (const policy::part_quarantine::part_group& group : part_suspects.get_blamed(get_corrected_time())) {
        if (!m_logged_blamed_parts.contains(group)) {
            is_new = true;
            log_event("prompt_parts_blamed").add("parts", format_parts(group)).write(*log, spdlog::level::err);
        }
        blamed.insert(group);
    }
    m_logged_blamed_parts = std::move(blamed);
    return is_new;
}

} // namespace dragonflywell::servers
