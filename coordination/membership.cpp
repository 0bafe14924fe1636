#include "coordination/membership.hpp"

#include <algorithm>

#include "coordination/membership_neighbours.hpp"

namespace dragonflywell::coordination {

namespace {

// A gap between ticks of more than this many intervals means that the process was paused.
constexpr int pause_intervals = 3;
constexpr std::uint64_t rounds_between_seeds = 5;

std::uint64_t get_microseconds(wall_time time) {
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(time.time_since_epoch()).count());
}

} // namespace

membership::membership(const clock_source& time, std::uint64_t seed, membership_options options)
    : m_time(&time), m_random(seed), m_options(std::move(options)), m_self(m_options.self), m_items(m_options.items) {}

void membership::set_host_list(std::vector<listed_host> listed) {
    m_listed = std::move(listed);
}

void membership::publish(item_kind kind, std::string subject, item_scope scope, std::string value) {
    m_last_version = std::max(m_last_version + 1, get_microseconds(m_time->wall_now()));
    m_items.merge({.key = {.owner = m_self.host, .kind = kind, .subject = std::move(subject)},
                   .scope = scope,
                   .version = m_last_version,
                   .value = std::move(value)},
                  m_time->now(), get_rumour_times());
}

void membership::publish_shared(item_kind kind, std::string subject, std::uint64_t version, std::string value) {
    m_items.merge({.key = {.owner = {}, .kind = kind, .subject = std::move(subject)},
                   .scope = item_scope::fleet,
                   .version = version,
                   .value = std::move(value)},
                  m_time->now(), get_rumour_times());
}

std::vector<addressed_message> membership::tick() {
    std::vector<addressed_message> out;
    if (m_is_leaving) {
        return out;
    }
    const steady_time now = m_time->now();
    ++m_round;
    observe_pause(now);
    check_probes(now, out);
    expire_members(now);
    ping_neighbours(now, out);
    ping_links(now, out);
    ping_listed(out);
    return out;
}

std::vector<addressed_message> membership::receive(const gossip_message& message) {
    std::vector<addressed_message> out;
    if (m_is_leaving || message.sender.host == m_self.host) {
        return out;
    }
    const bool is_new = message.sender.zone == m_self.zone && !is_present(message.sender.host);
    observe_sender(message);
    for (const member& news : message.members) {
        merge_member(news);
    }
    for (const gossip_item& item : message.items) {
        merge_item(item);
    }
    if (message.kind == gossip_kind::ping) {
        gossip_message answer = make_message(gossip_kind::acknowledgement, message.sender.zone, &message.sender);
        answer.origin = message.origin;
        if (is_new) {
            add_contacts(answer, m_members.size());
        }
        answer_digest(message, answer);
        out.push_back({.to = message.sender.address, .message = std::move(answer)});
    } else if (message.kind == gossip_kind::ping_request && message.subject) {
        answer_ping_request(message, out);
    } else if (message.kind == gossip_kind::acknowledgement) {
        if (message.subject) {
            observe_life(*message.subject);
        }
        if (message.origin && *message.origin != m_self.address) {
            const member origin{.host = {}, .zone = m_self.zone, .address = *message.origin};
            out.push_back({.to = *message.origin,
                           .message = make_indirect_message(gossip_kind::acknowledgement, origin, message.sender, {})});
        }
        gossip_message answer{.kind = gossip_kind::delta,
                              .sender = m_self,
                              .subject = {},
                              .origin = {},
                              .members = {},
                              .items = {},
                              .digest = {}};
        answer_digest(message, answer);
        if (!answer.members.empty() || !answer.items.empty()) {
            answer.digest.clear();
            out.push_back({.to = message.sender.address, .message = std::move(answer)});
        }
    }
    return out;
}

std::vector<addressed_message> membership::leave() {
    m_self.state = member_state::left;
    std::vector<addressed_message> out;
    for (const host_name& host : choose_neighbours(m_self.host, get_present(), m_options.neighbours)) {
        const member& target = m_members.at(host).value;
        gossip_message message = make_message(gossip_kind::delta, target.zone, &target);
        message.members.push_back(m_self);
        out.push_back({.to = target.address, .message = std::move(message)});
    }
    m_is_leaving = true;
    return out;
}

std::vector<member> membership::get_zone_members() const {
    std::vector<member> members;
    for (const auto& [host, held] : m_members) {
        if (!is_removed(held.value.state)) {
            members.push_back(held.value);
        }
    }
    return members;
}

std::vector<member> membership::get_links() const {
    std::vector<member> members;
    for (const auto& [host, held] : m_links) {
        members.push_back(held.value);
    }
    return members;
}

const member* membership::find(const host_name& host) const {
    const auto found = m_members.find(host);
    return found == m_members.end() ? nullptr : &found->second.value;
}

void membership::observe_pause(steady_time now) {
    const bool was_paused = m_last_tick && now - *m_last_tick > m_options.interval * pause_intervals;
    if (was_paused) {
        // Answers that came meanwhile were not read, so their absence says nothing about the others.
        m_probes.clear();
        for (auto& [host, held] : m_members) {
            if (held.value.state == member_state::suspect) {
                held.changed = now;
            }
        }
    }
    m_last_tick = now;
}

void membership::check_probes(steady_time now, std::vector<addressed_message>& out) {
    for (auto next = m_probes.begin(); next != m_probes.end();) {
        const host_name host = next->first;
        const duration waited = now - next->second.sent;
        const auto link = m_links.find(host);
        if (link != m_links.end() && waited >= m_options.ping_timeout * 2) {
            // Other zones see to their own members; a link that does not answer is merely replaced.
            m_links.erase(link);
            next = m_probes.erase(next);
            continue;
        }
        const auto found = m_members.find(host);
        if (found == m_members.end()) {
            next = link == m_links.end() ? m_probes.erase(next) : std::next(next);
            continue;
        }
        if (waited >= m_options.ping_timeout * 2) {
            if (found->second.value.state == member_state::alive) {
                set_state(found->second, member_state::suspect);
            }
            next = m_probes.erase(next);
            continue;
        }
        if (waited >= m_options.ping_timeout && !next->second.is_indirect) {
            next->second.is_indirect = true;
            ask_helpers(found->second.value, out);
        }
        ++next;
    }
}

void membership::expire_members(steady_time now) {
    std::set<host_name> owners{m_self.host};
    for (auto next = m_members.begin(); next != m_members.end();) {
        known_member& held = next->second;
        if (held.value.state == member_state::suspect && now - held.changed >= m_options.suspicion) {
            set_state(held, member_state::dead);
        }
        if (is_removed(held.value.state) && now - held.changed >= m_options.tombstone) {
            next = m_members.erase(next);
            continue;
        }
        owners.insert(next->first);
        ++next;
    }
    m_items.prune(now, owners);
}

void membership::ping_neighbours(steady_time now, std::vector<addressed_message>& out) {
    if (!m_neighbours) {
        m_neighbours = choose_neighbours(m_self.host, get_present(), m_options.neighbours);
    }
    for (const host_name& host : *m_neighbours) {
        ping_member(m_members.at(host).value, now, out);
    }
}

void membership::ping_links(steady_time now, std::vector<addressed_message>& out) {
    if (m_links.empty()) {
        return;
    }
    auto next = m_links.upper_bound(m_next_link);
    if (next == m_links.end()) {
        next = m_links.begin();
    }
    m_next_link = next->first;
    ping_member(next->second.value, now, out);
}

void membership::ping_listed(std::vector<addressed_message>& out) {
    const bool is_alone = get_present().empty();
    if (m_listed.empty() || (!is_alone && m_round % rounds_between_seeds != 0)) {
        return;
    }
    std::vector<const listed_host*> unknown;
    for (const listed_host& listed : m_listed) {
        const bool is_of_use = listed.zone.empty() || listed.zone == m_self.zone || m_links.size() < m_options.links;
        if (is_of_use && listed.address != m_self.address && !is_known_address(listed.address)) {
            unknown.push_back(&listed);
        }
    }
    if (unknown.empty()) {
        return;
    }
    const listed_host& target = *unknown[m_random() % unknown.size()];
    const member* held = nullptr;
    for (const auto& [host, known] : m_members) {
        if (known.value.address == target.address) {
            held = &known.value;
        }
    }
    const zone_name& zone = target.zone.empty() ? m_self.zone : target.zone;
    out.push_back({.to = target.address, .message = make_message(gossip_kind::ping, zone, held)});
}

void membership::ping_member(const member& target, steady_time now, std::vector<addressed_message>& out) {
    m_probes.try_emplace(target.host, probe{.sent = now});
    out.push_back({.to = target.address, .message = make_message(gossip_kind::ping, target.zone, &target)});
}

void membership::ask_helpers(const member& target, std::vector<addressed_message>& out) {
    std::vector<host_name> helpers = get_present();
    std::erase(helpers, target.host);
    std::shuffle(helpers.begin(), helpers.end(), m_random);
    helpers.resize(std::min(helpers.size(), m_options.helpers));
    for (const host_name& host : helpers) {
        const member& helper = m_members.at(host).value;
        out.push_back({.to = helper.address,
                       .message = make_indirect_message(gossip_kind::ping_request, helper, target, m_self.address)});
    }
}

void membership::answer_ping_request(const gossip_message& message, std::vector<addressed_message>& out) {
    const member& target = *message.subject;
    out.push_back({.to = target.address,
                   .message = make_indirect_message(gossip_kind::ping, target, target, message.sender.address)});
}

void membership::answer_digest(const gossip_message& message, gossip_message& answer) {
    std::size_t size_bytes = get_size_bytes(answer);
    for (const member_digest& theirs : message.digest) {
        const bool is_self = theirs.host == m_self.host;
        const auto found = m_members.find(theirs.host);
        if (!is_self && found == m_members.end()) {
            // An unknown host is asked for by the digest of what is held about it: nothing.
            if (!is_removed(theirs.state)) {
                answer.digest.push_back({.host = theirs.host, .incarnation = 0, .state = {}, .items_hash = 0});
            }
            continue;
        }
        const member& held = is_self ? m_self : found->second.value;
        const member_digest ours = get_digest(held);
        if (ours == theirs) {
            continue;
        }
        answer.digest.push_back(ours);
        size_bytes += get_size_bytes(held) + get_size_bytes(ours);
        if (size_bytes > m_options.most_message_bytes) {
            return;
        }
        answer.members.push_back(held);
        if (ours.items_hash == theirs.items_hash) {
            continue;
        }
        for (const gossip_item& item : m_items.get_by_owner(theirs.host)) {
            size_bytes += get_size_bytes(item);
            if (size_bytes > m_options.most_message_bytes) {
                return;
            }
            answer.items.push_back(item);
        }
    }
}

} // namespace dragonflywell::coordination
