#include "gossip/digest_builder.hpp"

#include <algorithm>
#include <utility>

namespace dragonflywell::gossip {

namespace {

/// Number of usage windows whose counts are sent: the current one and those that may not be reported yet.
constexpr std::int64_t sent_windows = 3;
/// Largest part of a digest to the group that announces crashes.
constexpr std::size_t max_group_crash_bytes = 4000;
/// Largest number of prefix accesses in a digest to the group, so that it fits into one datagram.
constexpr std::size_t max_prefix_accesses = 150;

/// Largest digest to other groups, whatever the budget.
constexpr std::size_t max_intergroup_bytes = 12'000;
/// Names and brackets of the lists that are left out of a digest while they are empty.
constexpr std::size_t list_overhead = 32;

/// Moves as many announcements into a digest as there is room for. Returns the room that is left, in bytes.
template <typename Record, typename IsUrgent>
std::size_t move_announcements(policy::announcement_queue<Record>& from, std::vector<Record>& to, std::size_t room,
                               IsUrgent is_urgent) {
    from.take(is_urgent, [&](const Record& record) {
        const std::size_t size = servers::get_encoded_size(record);
        if (size > room) {
            return false;
        }
        room -= size;
        to.push_back(record);
        return true;
    });
    return room;
}

} // namespace

digest_builder::digest_builder(servers::serving_state& state, const digest_source& source,
                               digest_builder_options options)
    : m_state(&state), m_source(&source), m_options(std::move(options)) {}

void digest_builder::set_header(servers::host_digest& digest, const digest_facts& facts) {
    digest.host = m_options.own.host;
    digest.zone = m_options.zone;
    digest.group = m_state->peers.groups.get_name();
    digest.incarnation = m_options.own.incarnation;
    digest.sequence = ++m_sequence;
    digest.corrected_time = m_state->get_corrected_time();
    digest.capacity = m_options.capacity;
    digest.is_stopping = m_state->is_stopping();
    digest.is_cut_off = facts.is_cut_off;
    digest.holds_lease = facts.holds_lease;
    digest.transitions = m_state->get_own_transitions();
}

servers::host_digest digest_builder::make_group_digest(bool is_heartbeat) {
    const digest_facts facts = m_source->get_digest_facts();
    servers::host_digest digest;
    set_header(digest, facts);
    digest.instances = m_state->get_own_in_flight();
    digest.ejections = m_state->get_ejected();
    add_prefix_accesses(digest);
    add_engines(digest);
    // A change is told at once, since all hosts together are to be below a limit half a second after it was named.
    if (is_heartbeat || m_state->limits.count_changes() != m_sent_limit_changes) {
        m_sent_limit_changes = m_state->limits.count_changes();
        digest.limits = m_state->limits.take_reports(servers::limit_announcer::max_servers);
    }
    if (is_heartbeat) {
        add_usage(digest);
        add_crashes(digest, m_state->group_announcements, max_group_crash_bytes);
        digest.speeds = m_speeds.take(*m_state);
        digest.recorded_usage = facts.recorded_usage;
    }
    digest.missing_servers_from = facts.missing_servers_from;
    if (facts.is_group_leader) {
        digest.configuration = facts.configuration;
        digest.servers = facts.servers;
    }
    return digest;
}

servers::host_digest digest_builder::make_intergroup_digest(std::size_t max_bytes) {
    servers::host_digest digest;
    refresh(digest);
    if (!m_source->get_digest_facts().is_group_leader) {
        return digest;
    }
    const std::size_t limit = std::clamp(max_bytes, min_digest_bytes, max_intergroup_bytes);
    const std::size_t used = servers::encode_host_digest(digest).size() + list_overhead;
    std::size_t room = limit > used ? limit - used : 0;
    room = add_limits(digest, room);
    room = add_crashes(digest, m_state->intergroup_announcements, room);
    digest.prefix_accesses = m_shared_prefixes.take(m_state->time.now(), room);
    return digest;
}

void digest_builder::refresh(servers::host_digest& digest) {
    const digest_facts facts = m_source->get_digest_facts();
    set_header(digest, facts);
    age_limits(digest);
    if (facts.is_group_leader) {
        add_loads(digest);
    }
}

std::size_t digest_builder::add_limits(servers::host_digest& digest, std::size_t room) {
    // Crashes always have some room.
    const std::size_t part = room / 2;
    m_limits_at = m_state->time.now();
    digest.limits = m_limits.take(m_state->limits.get_all_reports(), part);
    for (const policy::server_limit_report& report : digest.limits) {
        room -= std::min(room, servers::get_encoded_size(report));
    }
    return room;
}

void digest_builder::age_limits(servers::host_digest& digest) {
    const steady_time now = m_state->time.now();
    const duration passed = now - m_limits_at;
    m_limits_at = now;
    for (policy::server_limit_report& report : digest.limits) {
        report.named_age += passed;
        if (report.ended_age) {
            *report.ended_age += passed;
        }
    }
}

std::size_t digest_builder::add_crashes(servers::host_digest& digest, servers::crash_announcements& from,
                                        std::size_t room) {
    const wall_time now = m_state->get_corrected_time();
    // A request whose next crash may be its last one, or a blamed part, goes before those that only stood beside it.
    room = move_announcements(from.crashes, digest.crashes, room, [&](const policy::engine_crash& crash) {
        return m_state->suspects.is_repeated(crash.fingerprint, now);
    });
    room = move_announcements(from.part_crashes, digest.part_crashes, room, [&](const policy::part_crash& crash) {
        return m_state->part_suspects.is_of_blamed_part(crash, now);
    });
    return move_announcements(from.part_clearances, digest.part_clearances, room,
                              [](const policy::part_clearance& /*clearance*/) { return false; });
}

void digest_builder::add_prefix_accesses(servers::host_digest& digest) {
    digest.prefix_accesses = std::exchange(m_state->prefix_accesses, {});
    if (digest.prefix_accesses.size() > max_prefix_accesses) {
        const auto excess = static_cast<std::ptrdiff_t>(digest.prefix_accesses.size() - max_prefix_accesses);
        digest.prefix_accesses.erase(digest.prefix_accesses.begin(), digest.prefix_accesses.begin() + excess);
    }
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

void digest_builder::add_loads(servers::host_digest& digest) const {
    for (const auto& [service, engines] : m_state->get_engines()) {
        digest.prefill_demand.insert_or_assign(service, m_state->get_group_prefill_demand(service));
        digest.loads.insert_or_assign(service, m_state->get_group_load(service));
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

} // namespace dragonflywell::gossip
