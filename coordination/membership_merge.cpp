// The part of `membership` that takes news in and puts messages together.
#include <algorithm>
#include <bit>

#include "coordination/membership.hpp"

namespace dragonflywell::coordination {

namespace {

// News is told this often for each doubling of the zone, which reaches all with a large margin.
constexpr unsigned rumour_factor = 2;
constexpr std::size_t contacts_in_message = 2;
// For so long after a change of the members, digests show more of them.
constexpr int settling_intervals = 30;
constexpr std::size_t settling_factor = 4;

bool overrides(const member& news, const member& held) {
    if (news.incarnation != held.incarnation) {
        return news.incarnation > held.incarnation;
    }
    return news.state > held.state;
}

} // namespace

void membership::observe_sender(const gossip_message& message) {
    const member& sender = message.sender;
    if (sender.zone != m_self.zone) {
        merge_link(sender);
        observe_life(sender);
        return;
    }
    merge_member(sender);
    replace_at_address(sender);
    observe_life(sender);
}

void membership::observe_life(const member& witness) {
    const auto link = m_links.find(witness.host);
    if (link != m_links.end()) {
        m_probes.erase(witness.host);
        return;
    }
    const auto found = m_members.find(witness.host);
    if (found == m_members.end() || witness.incarnation < found->second.value.incarnation) {
        return;
    }
    m_probes.erase(witness.host);
}

void membership::replace_at_address(const member& sender) {
    // The daemon that speaks from an address is the one that is there now. If it was a late message of the earlier
    // one, the present one refutes.
    const auto present = m_members.find(sender.host);
    if (present == m_members.end() || is_removed(present->second.value.state)) {
        return;
    }
    for (auto& [host, held] : m_members) {
        const bool is_replaced =
            host != sender.host && held.value.address == sender.address && !is_removed(held.value.state);
        if (is_replaced) {
            set_state(held, member_state::dead);
        }
    }
}

void membership::merge_member(const member& news) {
    if (news.host == m_self.host) {
        merge_self(news);
        return;
    }
    if (news.zone != m_self.zone) {
        merge_link(news);
        return;
    }
    const steady_time now = m_time->now();
    const auto found = m_members.find(news.host);
    if (found == m_members.end()) {
        if (is_removed(news.state) || m_members.size() >= m_options.most_members) {
            return;
        }
        m_members[news.host] = {.value = news, .changed = now};
    } else {
        if (!overrides(news, found->second.value)) {
            return;
        }
        found->second.value = news;
        found->second.changed = now;
    }
    if (is_removed(news.state)) {
        m_items.remove_owner(news.host);
    }
    m_probes.erase(news.host);
    m_neighbours.reset();
    m_changed = now;
    m_rumours.add(news.host, get_rumour_times());
}

void membership::merge_self(const member& news) {
    const bool is_refuted = news.incarnation > m_self.incarnation ||
                            (news.incarnation == m_self.incarnation && news.state != member_state::alive);
    if (is_refuted) {
        m_self.incarnation = news.incarnation + 1;
        m_rumours.add(m_self.host, get_rumour_times());
    }
}

void membership::merge_link(const member& news) {
    if (news.zone == m_self.zone || is_removed(news.state)) {
        return;
    }
    const steady_time now = m_time->now();
    const auto found = m_links.find(news.host);
    if (found != m_links.end()) {
        if (news.incarnation > found->second.value.incarnation) {
            found->second.value = news;
        }
        return;
    }
    const bool is_zone_linked = std::any_of(m_links.begin(), m_links.end(),
                                            [&](const auto& link) { return link.second.value.zone == news.zone; });
    if (!is_zone_linked && m_links.size() < m_options.links) {
        m_links[news.host] = {.value = news, .changed = now};
    }
}

void membership::merge_item(const gossip_item& item) {
    if (item.key.owner == m_self.host) {
        // An item of an earlier life whose clock ran ahead would hide the present one.
        const gossip_item* held = m_items.find(item.key);
        if (held == nullptr || held->version < item.version) {
            m_last_version = std::max(m_last_version, item.version);
            publish(item.key.kind, item.key.subject, item.scope, held == nullptr ? std::string() : held->value);
        }
        return;
    }
    const bool is_accepted =
        is_present(item.key.owner) || (item.scope == item_scope::fleet && !m_members.contains(item.key.owner));
    if (is_accepted) {
        m_items.merge(item, m_time->now(), get_rumour_times());
    }
}

void membership::set_state(known_member& held, member_state state) {
    held.value.state = state;
    held.changed = m_time->now();
    m_changed = held.changed;
    m_rumours.add(held.value.host, get_rumour_times());
    m_neighbours.reset();
    if (is_removed(state)) {
        m_items.remove_owner(held.value.host);
        m_probes.erase(held.value.host);
    }
}

gossip_message membership::make_message(gossip_kind kind, const zone_name& to_zone, const member* receiver) {
    gossip_message message{
        .kind = kind, .sender = m_self, .subject = {}, .origin = {}, .members = {}, .items = {}, .digest = {}};
    if (receiver != nullptr) {
        // The receiver has to learn what is believed of it, or it could not refute.
        const auto held = m_members.find(receiver->host);
        if (held != m_members.end() && held->second.value.state != member_state::alive) {
            message.members.push_back(held->second.value);
        }
    }
    const bool is_within_zone = to_zone == m_self.zone;
    if (is_within_zone && kind == gossip_kind::ping) {
        add_digest(message);
    }
    if (is_within_zone) {
        add_members(message);
    } else {
        add_contacts(message, contacts_in_message);
        add_introductions(message, to_zone);
    }
    std::size_t size_bytes = get_size_bytes(message);
    m_items.add_news(message, size_bytes, m_options.most_message_bytes, is_within_zone);
    return message;
}

gossip_message membership::make_indirect_message(gossip_kind kind, const member& receiver, const member& subject,
                                                 std::optional<endpoint> origin) {
    gossip_message message = make_message(kind, receiver.zone, &receiver);
    message.subject = subject;
    message.origin = std::move(origin);
    return message;
}

void membership::add_members(gossip_message& message) {
    std::size_t size_bytes = get_size_bytes(message);
    m_rumours.take_each([&](const host_name& host) {
        const auto found = m_members.find(host);
        if (host != m_self.host && found == m_members.end()) {
            return true;
        }
        const member& news = host == m_self.host ? m_self : found->second.value;
        const std::size_t bytes = get_size_bytes(news);
        if (size_bytes + bytes > m_options.most_message_bytes) {
            return false;
        }
        size_bytes += bytes;
        message.members.push_back(news);
        return true;
    });
}

void membership::add_digest(gossip_message& message) {
    message.digest.push_back(get_digest(m_self));
    if (m_members.empty()) {
        return;
    }
    // A window of the members keeps the digest's size constant. It starts anywhere, because a window that moved evenly
    // could show each neighbour the same part for ever.
    const bool is_settled = m_time->now() - m_changed >= m_options.interval * settling_intervals;
    const std::size_t entries = is_settled ? m_options.digest_entries : m_options.digest_entries * settling_factor;
    const std::size_t wanted = std::min(entries, m_members.size());
    const std::size_t most_bytes = m_options.most_message_bytes / 2;
    std::size_t size_bytes = 0;
    auto next = std::next(m_members.begin(), static_cast<std::ptrdiff_t>(m_random() % m_members.size()));
    for (std::size_t count = 0; count < wanted && size_bytes < most_bytes; ++count) {
        if (!is_removed(next->second.value.state)) {
            message.digest.push_back(get_digest(next->second.value));
            size_bytes += get_size_bytes(message.digest.back());
        }
        if (++next == m_members.end()) {
            next = m_members.begin();
        }
    }
}

void membership::add_contacts(gossip_message& message, std::size_t count) {
    std::vector<host_name> present = get_present();
    std::shuffle(present.begin(), present.end(), m_random);
    present.resize(std::min(present.size(), count));
    std::size_t size_bytes = get_size_bytes(message);
    for (const host_name& host : present) {
        const member& contact = m_members.at(host).value;
        size_bytes += get_size_bytes(contact);
        if (size_bytes > m_options.most_message_bytes) {
            return;
        }
        message.members.push_back(contact);
    }
}

void membership::add_introductions(gossip_message& message, const zone_name& to_zone) const {
    // A daemon that starts with a few seeds of other zones finds its own zone through their links.
    for (const auto& [host, link] : m_links) {
        if (link.value.zone == to_zone && host != message.sender.host) {
            message.members.push_back(link.value);
        }
    }
}

bool membership::is_present(const host_name& host) const {
    const auto found = m_members.find(host);
    return found != m_members.end() && !is_removed(found->second.value.state);
}

bool membership::is_known_address(const endpoint& address) const {
    const auto is_there = [&](const auto& held) {
        return held.second.value.address == address && !is_removed(held.second.value.state);
    };
    return std::any_of(m_members.begin(), m_members.end(), is_there) ||
           std::any_of(m_links.begin(), m_links.end(), is_there);
}

std::vector<host_name> membership::get_present() const {
    std::vector<host_name> present;
    for (const auto& [host, held] : m_members) {
        if (!is_removed(held.value.state)) {
            present.push_back(host);
        }
    }
    return present;
}

unsigned membership::get_rumour_times() const {
    return rumour_factor * static_cast<unsigned>(std::bit_width(m_members.size() + 1));
}

member_digest membership::get_digest(const member& value) const {
    return {.host = value.host,
            .incarnation = value.incarnation,
            .state = value.state,
            .items_hash = m_items.get_hash(value.host)};
}

} // namespace dragonflywell::coordination
