#include "daemon/peer_hub.hpp"

#include <algorithm>

#include "coordination/membership_neighbours.hpp"

namespace dragonflywell::daemon {

namespace {

using namespace coordination;

constexpr std::size_t readers_in_zone = 2;
constexpr std::size_t most_held_bytes = 256 * 1024;
constexpr std::size_t most_outbox_messages = 64;
constexpr std::size_t page_bytes = 64 * 1024;
constexpr std::size_t most_asked_peers = 3;
constexpr duration freshness_interval = std::chrono::seconds(1);
constexpr duration shared_freshness_interval = std::chrono::seconds(3);

membership_options make_options(const daemon_parts& parts, std::uint16_t port) {
    const daemon_settings& settings = parts.settings;
    return {.self = {.host = settings.host,
                     .zone = settings.zone,
                     .address = {.address = settings.peers->listen.address, .port = port},
                     .incarnation = parts.self.incarnation,
                     .state = member_state::alive},
            .interval = settings.peers->interval,
            .ping_timeout = settings.peers->interval,
            .suspicion = settings.peers->interval * 5,
            .tombstone = settings.peers->interval * 120};
}

std::optional<log_freshness> decode_freshness(const gossip_item& item) {
    try {
        return decode_log_freshness(item.value);
    } catch (const malformed_message_error&) {
        // An empty value stands for one that was withdrawn.
        return std::nullopt;
    }
}

} // namespace

peer_hub::peer_hub(const daemon_parts& parts)
    : m_settings(parts.settings), m_time(&parts.time), m_log(get_logger("peers")),
      m_client({.deadline = parts.settings.peers->deadline, .most_connections = most_asked_peers}),
      m_server(parts.settings.peers->listen, *this) {
    const membership_options options = make_options(parts, m_server.get_port());
    const std::uint64_t seed = parts.self.incarnation;
    std::vector<listed_host> seeds;
    for (const endpoint& address : m_settings.peers->seeds) {
        seeds.push_back({.address = address, .zone = {}});
    }
    const std::scoped_lock lock(m_mutex);
    m_membership = std::make_unique<membership>(*m_time, seed, options);
    m_membership->set_host_list(std::move(seeds));
}

std::vector<addressed_message> peer_hub::take_messages() {
    const std::scoped_lock lock(m_mutex);
    std::vector<addressed_message> messages = std::exchange(m_outbox, {});
    const steady_time now = m_time->now();
    if (now >= m_next_tick) {
        m_next_tick = now + m_settings.peers->interval;
        m_has_been_linked = m_has_been_linked || !m_membership->get_links().empty();
        std::vector<addressed_message> due = m_membership->tick();
        std::move(due.begin(), due.end(), std::back_inserter(messages));
    }
    return messages;
}

std::vector<addressed_message> peer_hub::take_answers(const std::vector<gossip_message>& answers) {
    const std::scoped_lock lock(m_mutex);
    std::vector<addressed_message> messages;
    for (const gossip_message& answer : answers) {
        std::vector<addressed_message> next = m_membership->receive(answer);
        std::move(next.begin(), next.end(), std::back_inserter(messages));
    }
    return messages;
}

std::vector<addressed_message> peer_hub::leave() {
    const std::scoped_lock lock(m_mutex);
    return m_membership->leave();
}

void peer_hub::stop_listening() {
    m_server.stop();
}

void peer_hub::set_configuration(std::shared_ptr<const configuration> current) {
    const std::scoped_lock lock(m_mutex);
    m_configuration = std::move(current);
}

std::shared_ptr<const configuration> peer_hub::fetch_configuration() {
    std::vector<member> peers = get_zone_members();
    const std::vector<member> links = get_links();
    peers.insert(peers.end(), links.begin(), links.end());
    peers.resize(std::min(peers.size(), most_asked_peers));
    std::shared_ptr<const configuration> newest;
    for (const member& peer : peers) {
        std::shared_ptr<const configuration> fetched = fetch_configuration(peer.address);
        if (fetched != nullptr && (newest == nullptr || fetched->version > newest->version)) {
            newest = std::move(fetched);
        }
    }
    return newest;
}

std::shared_ptr<const configuration> peer_hub::fetch_configuration(const endpoint& peer) {
    auto fetched = std::make_shared<configuration>();
    std::string after;
    while (true) {
        std::optional<servers::configuration_page> page = m_client.read_configuration(peer, after);
        const bool is_usable = page && page->version && (after.empty() || page->version == fetched->version);
        if (!is_usable) {
            // Pages of two versions must not be mixed; the next round starts afresh.
            return nullptr;
        }
        fetched->version = page->version;
        fetched->entries.merge(page->entries);
        if (page->is_last || fetched->entries.empty()) {
            return fetched;
        }
        after = fetched->entries.rbegin()->first;
    }
}

log_reach peer_hub::get_log_reach() const {
    const std::scoped_lock lock(m_mutex);
    log_reach_evidence evidence{.own_zone_read_at = {},
                                .any_zone_read_at = {},
                                .is_linked = !m_membership->get_links().empty() || !m_has_been_linked};
    for (const log_freshness& reading : get_zone_freshness(configuration_stream)) {
        evidence.own_zone_read_at = std::max(evidence.own_zone_read_at, std::optional(reading.read_at));
    }
    const gossip_item* shared = m_membership->get_items().find(
        {.owner = {}, .kind = item_kind::log_freshness, .subject = std::string(configuration_stream)});
    const std::optional<log_freshness> anywhere = shared == nullptr ? std::nullopt : decode_freshness(*shared);
    if (anywhere) {
        evidence.any_zone_read_at = anywhere->read_at;
    }
    return judge_log_reach(evidence, m_time->wall_now(), coordination::log_reach_bound);
}

std::vector<member> peer_hub::get_zone_members() const {
    const std::scoped_lock lock(m_mutex);
    return m_membership->get_zone_members();
}

std::vector<member> peer_hub::get_links() const {
    const std::scoped_lock lock(m_mutex);
    return m_membership->get_links();
}

std::vector<gossip_message> peer_hub::on_gossip(const gossip_message& message) {
    const std::scoped_lock lock(m_mutex);
    std::vector<gossip_message> answers;
    if (m_membership == nullptr) {
        return answers;
    }
    for (addressed_message& next : m_membership->receive(message)) {
        if (next.to == message.sender.address) {
            answers.push_back(std::move(next.message));
        } else if (m_outbox.size() < most_outbox_messages) {
            m_outbox.push_back(std::move(next));
        }
    }
    return answers;
}

std::optional<log_batch> peer_hub::on_read_records(std::string_view stream, log_offset from, std::size_t most) {
    const std::scoped_lock lock(m_mutex);
    const auto held = m_records.find(stream);
    if (held == m_records.end() || held->second.entries.empty() || from < held->second.entries.front().offset) {
        return std::nullopt;
    }
    log_batch batch{.entries = {}, .oldest = 0, .end = held->second.end};
    std::size_t bytes = 0;
    for (std::size_t index = from - held->second.entries.front().offset; index < held->second.entries.size(); ++index) {
        const log_entry& entry = held->second.entries[index];
        bytes += entry.data.size();
        if (batch.entries.size() >= most || (bytes > page_bytes && !batch.entries.empty())) {
            break;
        }
        batch.entries.push_back(entry);
    }
    return batch;
}

servers::configuration_page peer_hub::on_read_configuration(const std::string& after) {
    std::shared_ptr<const configuration> current;
    {
        const std::scoped_lock lock(m_mutex);
        current = m_configuration;
    }
    servers::configuration_page page;
    if (current == nullptr) {
        return page;
    }
    page.version = current->version;
    std::size_t bytes = 0;
    for (auto next = current->entries.upper_bound(after); next != current->entries.end(); ++next) {
        if (bytes > page_bytes) {
            page.is_last = false;
            break;
        }
        page.entries.insert(*next);
        bytes += next->first.size() + next->second.size();
    }
    return page;
}

bool peer_hub::is_reader(std::string_view stream) const {
    // Two views that differ for a while cost a few reads more or a fallback to the log, never a record.
    std::vector<host_name> hosts{m_settings.host};
    for (const member& peer : get_zone_members()) {
        hosts.push_back(peer.host);
    }
    const std::vector<host_name> readers = choose_neighbours(host_name(stream), hosts, readers_in_zone);
    return std::find(readers.begin(), readers.end(), m_settings.host) != readers.end();
}

std::optional<log_offset> peer_hub::get_fresh_end(std::string_view stream) const {
    const std::scoped_lock lock(m_mutex);
    const wall_time now = m_time->wall_now();
    std::optional<log_offset> end;
    for (const log_freshness& reading : get_zone_freshness(stream)) {
        if (now - reading.read_at <= m_settings.peers->fan_out_silence) {
            end = std::max(end, std::optional(reading.end));
        }
    }
    return end;
}

std::optional<log_batch> peer_hub::read(std::string_view stream, log_offset from, std::size_t most) {
    for (const endpoint& peer : get_peers_with(stream, from)) {
        std::optional<log_batch> batch = m_client.read_records(peer, stream, from, most);
        if (batch) {
            return batch;
        }
    }
    return std::nullopt;
}

void peer_hub::on_read(std::string_view stream, const log_batch& batch, bool is_from_log) {
    const std::scoped_lock lock(m_mutex);
    held_records& held = m_records[std::string(stream)];
    hold(held, batch);
    const bool is_at_end = held.entries.empty() || held.entries.back().offset + 1 >= batch.end;
    if (is_from_log && is_at_end) {
        publish_freshness(stream, batch.end);
    }
}

void peer_hub::hold(held_records& held, const log_batch& batch) {
    held.end = std::max(held.end, batch.end);
    for (const log_entry& entry : batch.entries) {
        const bool follows = held.entries.empty() || entry.offset == held.entries.back().offset + 1;
        if (!follows) {
            held.entries.clear();
            held.bytes = 0;
        }
        held.entries.push_back(entry);
        held.bytes += entry.data.size();
    }
    while (held.bytes > most_held_bytes) {
        held.bytes -= held.entries.front().data.size();
        held.entries.pop_front();
    }
}

void peer_hub::publish_freshness(std::string_view stream, log_offset end) {
    const wall_time now = m_time->wall_now();
    const gossip_item* own = m_membership->get_items().find(
        {.owner = m_settings.host, .kind = item_kind::log_freshness, .subject = std::string(stream)});
    const std::optional<log_freshness> published = own == nullptr ? std::nullopt : decode_freshness(*own);
    const bool is_due = !published || published->end != end || now - published->read_at >= freshness_interval;
    if (!is_due) {
        return;
    }
    const std::string value = encode_log_freshness({.end = end, .read_at = now});
    m_membership->publish(item_kind::log_freshness, std::string(stream), item_scope::zone, value);
    const gossip_item* shared =
        m_membership->get_items().find({.owner = {}, .kind = item_kind::log_freshness, .subject = std::string(stream)});
    const std::optional<log_freshness> newest = shared == nullptr ? std::nullopt : decode_freshness(*shared);
    if (!newest || now - newest->read_at >= shared_freshness_interval) {
        const auto version = std::chrono::duration_cast<std::chrono::microseconds>(now.time_since_epoch()).count();
        m_membership->publish_shared(item_kind::log_freshness, std::string(stream), static_cast<std::uint64_t>(version),
                                     value);
    }
}

std::vector<log_freshness> peer_hub::get_zone_freshness(std::string_view stream) const {
    std::vector<log_freshness> readings;
    for (const gossip_item& item : m_membership->get_items().get_by_kind(item_kind::log_freshness)) {
        if (item.scope != item_scope::zone || item.key.subject != stream) {
            continue;
        }
        const std::optional<log_freshness> reading = decode_freshness(item);
        if (reading) {
            readings.push_back(*reading);
        }
    }
    return readings;
}

std::vector<endpoint> peer_hub::get_peers_with(std::string_view stream, log_offset from) const {
    const std::scoped_lock lock(m_mutex);
    std::vector<endpoint> peers;
    for (const gossip_item& item : m_membership->get_items().get_by_kind(item_kind::log_freshness)) {
        const member* owner = m_membership->find(item.key.owner);
        const std::optional<log_freshness> reading = decode_freshness(item);
        if (owner != nullptr && item.key.subject == stream && reading && reading->end > from &&
            peers.size() < most_asked_peers) {
            peers.push_back(owner->address);
        }
    }
    return peers;
}

} // namespace dragonflywell::daemon
