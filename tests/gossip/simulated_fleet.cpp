#include "gossip/simulated_fleet.hpp"

#include <algorithm>

#include "core/json.hpp"

namespace dragonflywell::testing {

namespace {

using namespace std::chrono_literals;

constexpr duration latency = 500us;
/// How often the load of a host changes.
constexpr duration longest_change_interval = 500ms;
/// How often a leader reads the store, for a drain bound of 4 s.
constexpr duration read_interval = 1120ms;
constexpr std::size_t relay_bytes = 8000;
constexpr std::uint16_t first_port = 1000;

boost::asio::ip::udp::endpoint get_address(std::size_t index) {
    return {boost::asio::ip::make_address("127.0.0.1"), static_cast<std::uint16_t>(first_port + index)};
}

} // namespace

simulated_fleet::simulated_fleet(simulated_fleet_options options)
    : m_options(options), m_random(options.seed), m_started_at(m_clock.now()) {
    for (std::size_t zone = 0; zone < options.zones; ++zone) {
        const std::string zone_text = "z" + std::to_string(zone);
        for (std::size_t number = 0; number < options.hosts_in_zone; ++number) {
            const bool is_large = number + options.large_hosts_in_zone >= options.hosts_in_zone;
            m_hosts.push_back(std::make_unique<host>(*this, m_hosts.size(),
                                                     "host-" + zone_text + "-" + std::to_string(100 + number),
                                                     zone_name(zone_text), is_large ? large_link : small_link));
        }
    }
    for (const std::unique_ptr<host>& own : m_hosts) {
        own->start(m_hosts);
    }
}

void simulated_fleet::post(steady_time at, std::function<void()> action) {
    m_events.push({.at = at, .number = ++m_event_number, .action = std::move(action)});
}

void simulated_fleet::schedule(duration at, std::function<void()> action) {
    post(m_started_at + at, std::move(action));
}

void simulated_fleet::run_for(duration length) {
    const steady_time end = m_clock.now() + length;
    while (!m_events.empty() && m_events.top().at <= end) {
        const event next = m_events.top();
        m_events.pop();
        m_clock.advance(std::max(next.at - m_clock.now(), duration::zero()));
        next.action();
    }
    m_clock.advance(end - m_clock.now());
}

duration simulated_fleet::draw(duration longest) {
    return duration(static_cast<std::int64_t>(m_random() % static_cast<std::uint64_t>(longest.count())));
}

std::vector<std::string> simulated_fleet::get_leaders() const {
    std::vector<std::string> leaders;
    for (const std::unique_ptr<host>& own : m_hosts) {
        if (own->is_leader()) {
            leaders.push_back(own->get_name());
        }
    }
    return leaders;
}

duration simulated_fleet::take_longest_wait() {
    return std::exchange(m_longest_wait, duration::zero());
}

void simulated_fleet::append_record(const std::string& server) {
    m_store.push_back({.offset = m_store.size(), .key = server, .value = std::string(250, 'v')});
}

simulated_fleet::host::host(simulated_fleet& fleet, std::size_t index, std::string name, zone_name zone,
                            std::uint64_t link)
    : state(fleet.m_loop.get_executor(), fleet.m_clock, fleet.m_connections, fleet.m_codec, metrics,
            {.own_host = name, .own_zone = zone}),
      m_fleet(&fleet), m_index(index), m_name(std::move(name)), m_zone(std::move(zone)), m_link(link),
      m_members(m_name, state.peers.groups), m_queue(*this, fleet.m_clock, metrics, link),
      m_builder(
          state, *this,
          {.own = {.host = m_name, .incarnation = 1}, .zone = m_zone, .capacity = {.link_bytes_per_second = link}}),
      m_digests(state, *this, m_builder, m_queue, metrics) {}

void simulated_fleet::host::start(const std::vector<std::unique_ptr<host>>& all) {
    for (const std::unique_ptr<host>& other : all) {
        if (other->m_index != m_index) {
            m_members.add(other->m_name, other->m_zone, get_address(other->m_index));
        }
    }
    static_cast<void>(m_members.update_groups());
    m_group = state.peers.groups.get_name();
    m_digests.set_receivers(m_members.get_receivers(true), m_members.get_receivers(false));
    m_fleet->post(m_fleet->m_clock.now() + m_fleet->draw(gossip::digest_sender::heartbeat_interval),
                  [this] { heartbeat(); });
    m_fleet->post(m_fleet->m_clock.now() + m_fleet->draw(longest_change_interval), [this] { change_load(); });
    m_fleet->post(m_fleet->m_clock.now() + m_fleet->draw(read_interval), [this] { read_store(); });
}

gossip::digest_facts simulated_fleet::host::get_digest_facts() const {
    return {.is_group_leader = is_leader()};
}

bool simulated_fleet::host::is_leader() const {
    return m_members.leads_group({.host = m_name, .capacity = {.link_bytes_per_second = m_link}});
}

bool simulated_fleet::host::send(std::string_view text, const boost::asio::ip::udp::endpoint& receiver) {
    const steady_time now = m_fleet->m_clock.now();
    const auto get_time = [&](std::uint64_t link) {
        return duration(static_cast<std::int64_t>(1e9 * static_cast<double>(text.size()) / static_cast<double>(link)));
    };
    m_largest = std::max(m_largest, text.size());
    m_fleet->m_longest_wait = std::max(m_fleet->m_longest_wait, m_sending_until - now);
    m_sending_until = std::max(m_sending_until, now) + get_time(m_link);
    constexpr std::uint64_t parts = 1'000'000;
    if (static_cast<double>(m_fleet->m_random() % parts) < m_fleet->m_options.loss * parts) {
        return true;
    }
    host& other = *m_fleet->m_hosts.at(receiver.port() - first_port);
    other.m_receiving_until = std::max(other.m_receiving_until, m_sending_until + latency) + get_time(other.m_link);
    m_fleet->post(other.m_receiving_until, [&other, received = std::string(text)] { other.receive(received); });
    return true;
}

void simulated_fleet::host::receive(std::string_view text) {
    const boost::json::value document = json::parse(text);
    const boost::json::object& message = json::as_object(document, "datagram");
    if (gossip::is_relayed_records(message)) {
        receive_records(gossip::decode_relayed_records(message));
        return;
    }
    const servers::host_digest digest = servers::decode_host_digest(message);
    const auto sender = m_members.accept(digest, state.get_corrected_time(), m_fleet->m_clock.now());
    if (!sender) {
        return;
    }
    state.apply_crashes(digest, sender->is_own_group);
    if (sender->is_own_group) {
        state.peers.merge_group_digest(digest);
        m_builder.share_prompts(digest.prefix_accesses);
    } else {
        state.peers.merge_intergroup_digest(digest);
    }
}

void simulated_fleet::host::receive_records(const gossip::relayed_records& relayed) {
    if (relayed.from.offset <= m_read_records) {
        m_read_records = std::max(m_read_records, relayed.page.next.offset);
    }
}

void simulated_fleet::host::heartbeat() {
    for (const auto& lost : m_members.take_lost(m_fleet->m_clock.now())) {
        m_fleet->m_lost += lost.is_own_group ? 1 : 0;
    }
    m_digests.note_heartbeat();
    run();
    m_fleet->post(m_fleet->m_clock.now() + gossip::digest_sender::heartbeat_interval, [this] { heartbeat(); });
}

void simulated_fleet::host::change_load() {
    const std::uint64_t part = m_fleet->m_random();
    state.prefix_accesses.push_back(
        {.engine = backend_server_name("i-" + std::to_string(part % 1'000'000'000)),
         .parts = {{.id = part, .tokens = 13'300}, {.id = part + 1, .tokens = 2000}, {.id = part + 2, .tokens = 700}}});
    m_digests.note_change();
    run();
    m_fleet->post(m_fleet->m_clock.now() + m_fleet->draw(longest_change_interval), [this] { change_load(); });
}

void simulated_fleet::host::read_store() {
    if (is_leader() && m_read_records < m_fleet->m_store.size()) {
        const auto first = m_fleet->m_store.begin() + static_cast<std::ptrdiff_t>(m_read_records);
        const gossip::relayed_records relayed{
            .from = {.era = 1, .offset = m_read_records},
            .page = {.records = {first, m_fleet->m_store.end()}, .next = {.era = 1, .offset = m_fleet->m_store.size()}},
            .sender = m_name,
            .sent_at = state.get_corrected_time()};
        m_read_records = m_fleet->m_store.size();
        for (const gossip::relayed_records& part : gossip::split_relayed_records(relayed, relay_bytes)) {
            m_queue.put(gossip::datagram_kind::records, gossip::encode_relayed_records(part),
                        m_members.get_receivers(true));
        }
        run();
    }
    m_fleet->post(m_fleet->m_clock.now() + read_interval, [this] { read_store(); });
}

void simulated_fleet::host::run() {
    const std::optional<duration> wait = m_digests.run();
    if (!wait) {
        return;
    }
    const steady_time at = m_fleet->m_clock.now() + *wait;
    if (m_run_at && *m_run_at > m_fleet->m_clock.now() && *m_run_at <= at) {
        return;
    }
    m_run_at = at;
    m_fleet->post(at, [this] { run(); });
}

void simulated_fleet::host::crash_server(const std::string& server,
                                         const std::vector<policy::request_fingerprint>& requests) {
    const backend_server_name name(server);
    for (const policy::request_fingerprint request : requests) {
        state.crashes.record_unanswered({.request = request,
                                         .waiting_parts = {request + 1, request + 2},
                                         .server_incarnation = std::hash<std::string>()(server),
                                         .sent_at = m_fleet->m_clock.now(),
                                         .ended_at = m_fleet->m_clock.now(),
                                         .is_broken = true},
                                        name);
    }
    state.record_server_down(name);
}

std::uint64_t simulated_fleet::host::get_peak_bytes() {
    return static_cast<std::uint64_t>(metrics.get_gauge("dragonflywell_datagram_peak_bytes_per_second").get());
}

} // namespace dragonflywell::testing
