#include "daemon/digest_builder.hpp"

#include <utility>

namespace dragonflywell::daemon {

namespace {

/// Number of usage windows whose counts are sent: the current one and those that may not be reported yet.
constexpr std::int64_t sent_windows = 3;
/// Age up to which an engine crash is sent: several heartbeats, so that a lost datagram does no harm.
constexpr duration max_crash_age = std::chrono::seconds(3);
/// Largest number of crashes in a digest, so that it fits into one datagram.
constexpr std::size_t max_crashes = 64;

} // namespace

digest_builder::digest_builder(servers::serving_state& state, const configuration_follower& configuration,
                               const server_list_follower& servers, const lease_keeper& lease,
                               const group_usage_recorder& usage, servers::host_incarnation own, zone_name zone)
    : m_state(&state), m_configuration(&configuration), m_servers(&servers), m_lease(&lease), m_group_usage(&usage),
      m_own(std::move(own)), m_zone(std::move(zone)) {}

servers::host_digest digest_builder::make_header(const digest_scope& scope) {
    servers::host_digest digest;
    digest.host = m_own.host;
    digest.zone = m_zone;
    digest.group = m_state->peers.groups.get_name();
    digest.incarnation = m_own.incarnation;
    digest.sequence = ++m_sequence;
    digest.corrected_time = m_state->get_corrected_time();
    digest.is_stopping = m_state->is_stopping();
    digest.is_cut_off = scope.is_cut_off;
    digest.holds_lease = m_lease->is_held();
    if (scope.is_heartbeat) {
        const wall_time now = digest.corrected_time;
        digest.crashes = m_state->suspects.get_newest_crashes(now, max_crash_age, max_crashes);
        digest.part_crashes = m_state->part_suspects.get_crashes(now, max_crash_age, max_crashes);
        digest.part_clearances = m_state->part_suspects.get_clearances(now, max_crash_age, max_crashes);
    }
    digest.transitions = m_state->get_own_transitions();
    return digest;
}

servers::host_digest digest_builder::make_group_digest(const digest_scope& scope) {
    servers::host_digest digest = make_header(scope);
    digest.instances = m_state->get_own_in_flight();
    digest.ejections = m_state->get_ejected();
    digest.prefix_accesses = std::exchange(m_state->prefix_accesses, {});
    add_engines(digest);
    if (scope.is_heartbeat) {
        add_usage(digest);
        digest.recorded_usage = m_group_usage->get_recorded();
    }
    if (scope.is_group_leader) {
        digest.configuration = m_configuration->get_read_position();
        digest.servers = m_servers->get_read_position();
    }
    return digest;
}

servers::host_digest digest_builder::make_intergroup_digest(const digest_scope& scope) {
    servers::host_digest digest = make_header(scope);
    if (scope.is_group_leader) {
        add_summaries(digest);
        digest.prefix_accesses = m_shared_prefixes.take(m_state->time.now());
    }
    return digest;
}

void digest_builder::add_usage(servers::host_digest& digest) const {
    const std::int64_t current = m_state->usage.get_window(m_state->get_corrected_time());
    const auto& windows = m_state->usage.get_windows();
    digest.usage = {windows.lower_bound(current - sent_windows + 1), windows.end()};
}

void digest_builder::add_engines(servers::host_digest& digest) const {
    const steady_time now = m_state->time.now();
    for (const auto& [service, engines] : m_state->get_engines()) {
        digest.prefill_demand.emplace(service, engines.get_prefill_demand());
        for (const auto& [name, engine] : engines.load_tracker.get_engines()) {
            if (engine.own.running == 0 && engine.own.prompts.empty()) {
                continue;
            }
            servers::digest_engine& entry = digest.engines[name];
            entry.running = engine.own.running;
            entry.running_tokens = engine.own.running_tokens;
            for (const policy::prefill_job& job : engine.own.prompts) {
                entry.prompts.push_back(
                    {.number = job.number, .age = now - job.sent_at, .cost = job.cost, .urgency = job.urgency});
            }
        }
    }
}

void digest_builder::add_summaries(servers::host_digest& digest) const {
    for (const auto& [service, engines] : m_state->get_engines()) {
        digest.prefill_demand.emplace(service, m_state->get_group_prefill_demand(service));
        digest.summaries.emplace(service, m_state->get_group_summary(service));
    }
}

void digest_builder::share_prompts(const std::vector<servers::digest_prefix_access>& prefix_accesses) {
    for (const servers::digest_prefix_access& touch : prefix_accesses) {
        m_shared_prefixes.add(touch, m_state->time.now());
    }
}

bool digest_builder::has_new_transitions() {
    std::map<backend_server_name, fleet::engine_stage> transitions;
    for (const auto& [engine, transition] : m_state->get_own_transitions()) {
        transitions.emplace(engine, transition.stage);
    }
    const bool has_changed = transitions != m_last_transitions;
    m_last_transitions = std::move(transitions);
    return has_changed;
}

} // namespace dragonflywell::daemon
