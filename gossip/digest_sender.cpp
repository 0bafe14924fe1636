#include "gossip/digest_sender.hpp"

#include <algorithm>

namespace dragonflywell::gossip {

namespace {

/// Interval over which changes are batched into one digest. A prefill takes about ten times as long.
constexpr duration change_interval = std::chrono::milliseconds(25);
/// Longer interval for a large fleet, where each host has to process the digests of all others.
constexpr duration large_fleet_change_interval = std::chrono::milliseconds(50);
/// Number of other hosts above which the longer interval is used.
constexpr std::size_t large_fleet_hosts = 10;
/// Time between two parts of a round.
constexpr duration round_step = std::chrono::milliseconds(50);

/// What a host receives from the leaders of all other groups together.
constexpr double max_received_bytes_per_second = 64'000;
/// Time within which a round should reach all hosts, and the part of this host's budget that it may use.
constexpr double max_round_seconds = 1;
constexpr double round_budget_share = 0.5;

/// How long an announcement waits to be sent by the leader of the group, and how long another host keeps it in case
/// that it becomes the leader.
constexpr duration max_announcement_age = std::chrono::seconds(10);
constexpr duration max_reserve_announcement_age = std::chrono::seconds(3);

} // namespace

digest_sender::digest_sender(servers::serving_state& state, const digest_source& source, digest_builder& builder,
                             datagram_queue& queue, metrics_registry& metrics)
    : m_state(&state), m_source(&source), m_builder(&builder), m_queue(&queue),
      m_dropped_announcements(&metrics.get_gauge("dragonflywell_crash_announcements_dropped")),
      m_delayed(&metrics.get_counter("dragonflywell_digests_delayed_total")) {}

void digest_sender::set_receivers(datagram_receivers group, datagram_receivers remote) {
    m_group = std::move(group);
    m_remote = std::move(remote);
}

bool digest_sender::note_change() {
    if (m_change_due_at) {
        return false;
    }
    const bool is_large = m_group.size() + m_remote.size() > large_fleet_hosts;
    m_change_due_at = m_state->time.now() + (is_large ? large_fleet_change_interval : change_interval);
    return true;
}

void digest_sender::note_heartbeat() {
    const digest_facts facts = m_source->get_digest_facts();
    m_is_heartbeat_due = true;
    m_is_round_due = m_is_round_due || facts.is_group_leader || facts.holds_lease;
    discard_old_announcements(m_state->time.now());
    if (!note_change() && m_queue->is_waiting(datagram_kind::group_digest)) {
        m_delayed->add();
    }
}

void digest_sender::discard_old_announcements(steady_time now) {
    const bool is_leader = m_source->get_digest_facts().is_group_leader;
    const duration max_age = is_leader ? max_announcement_age : max_reserve_announcement_age;
    m_state->intergroup_announcements.discard_before(now - max_age);
    m_state->group_announcements.discard_before(now - max_announcement_age);
    m_dropped_announcements->set(static_cast<std::int64_t>(m_state->intergroup_announcements.get_dropped() +
                                                           m_state->group_announcements.get_dropped()));
}

std::optional<duration> digest_sender::run() {
    const steady_time now = m_state->time.now();
    if (m_change_due_at && now >= *m_change_due_at && !m_queue->is_waiting(datagram_kind::group_digest)) {
        send_to_group();
    }
    if (m_is_round_due && !m_round) {
        begin_round();
    }
    if (m_round && now >= m_round->next_at && !m_queue->is_waiting(datagram_kind::intergroup_digest)) {
        continue_round(now);
    }
    return get_next_wait(m_queue->flush());
}

void digest_sender::send_to_group() {
    const servers::host_digest digest = m_builder->make_group_digest(m_is_heartbeat_due);
    m_is_heartbeat_due = false;
    m_change_due_at.reset();
    if (m_source->get_digest_facts().is_group_leader && !m_remote.empty()) {
        m_builder->share_prompts(digest.prefix_accesses);
    }
    m_queue->put(datagram_kind::group_digest, servers::encode_host_digest(digest), m_group);
    // An engine refuses requests as soon as it starts to change its stage, so a new transition is sent to other groups
    // without waiting for the next heartbeat.
    if (m_builder->has_new_transitions()) {
        m_is_round_due = true;
        m_is_round_urgent = true;
    }
}

void digest_sender::begin_round() {
    const std::size_t steps = m_is_round_urgent ? 1 : static_cast<std::size_t>(heartbeat_interval / round_step);
    m_is_round_due = false;
    m_is_round_urgent = false;
    if (m_remote.empty()) {
        return;
    }
    m_round = round{.digest = m_builder->make_intergroup_digest(get_max_intergroup_bytes()),
                    .receivers = m_remote,
                    .receivers_at_once = (m_remote.size() + steps - 1) / steps,
                    .next_at = m_state->time.now()};
}

void digest_sender::continue_round(steady_time now) {
    const std::size_t end = std::min(m_round->next_receiver + m_round->receivers_at_once, m_round->receivers.size());
    const auto get_receiver = [&](std::size_t index) {
        return m_round->receivers.begin() + static_cast<std::ptrdiff_t>(index);
    };
    m_builder->refresh(m_round->digest);
    m_queue->put(datagram_kind::intergroup_digest, servers::encode_host_digest(m_round->digest),
                 {get_receiver(m_round->next_receiver), get_receiver(end)});
    m_round->next_receiver = end;
    m_round->next_at = now + round_step;
    if (end == m_round->receivers.size()) {
        m_round.reset();
    }
}

std::size_t digest_sender::get_max_intergroup_bytes() const {
    const double interval = std::chrono::duration<double>(heartbeat_interval).count();
    const double received = max_received_bytes_per_second * interval / m_state->peers.groups.count_groups();
    const double sent =
        m_queue->get_bytes_per_second() * round_budget_share * max_round_seconds / static_cast<double>(m_remote.size());
    return static_cast<std::size_t>(std::min(received, sent));
}

std::optional<duration> digest_sender::get_next_wait(std::optional<duration> queue_wait) const {
    std::optional<duration> next = queue_wait;
    const steady_time now = m_state->time.now();
    const auto consider = [&](steady_time due_at) {
        const duration wait = std::max(due_at - now, duration::zero());
        next = next ? std::min(*next, wait) : wait;
    };
    // What is due while an older digest of its kind waits is covered by the time of the queue.
    if (m_change_due_at && !m_queue->is_waiting(datagram_kind::group_digest)) {
        consider(*m_change_due_at);
    }
    if (m_round && !m_queue->is_waiting(datagram_kind::intergroup_digest)) {
        consider(m_round->next_at);
    }
    if (m_is_round_due && !m_round) {
        consider(now);
    }
    return next;
}

} // namespace dragonflywell::gossip
