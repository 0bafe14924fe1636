#include "daemon/host_gossip.hpp"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json.hpp>

#include "core/error.hpp"
#include "core/json.hpp"
#include "core/log_event.hpp"
#include "daemon/relayed_configuration.hpp"
#include "daemon/relayed_records.hpp"
#include "daemon/usage_timing.hpp"
#include "policy/group_leadership.hpp"
#include "policy/time_correction.hpp"
#include "servers/sleep.hpp"

namespace dragonflywell::daemon {

using boost::asio::ip::udp;
using servers::error_code;

namespace {

/// Interval over which changes are batched into one digest. A prefill takes about ten times as long.
constexpr duration send_interval = std::chrono::milliseconds(25);
/// Longer interval for a large fleet, where each host has to process the digests of all others.
constexpr duration large_group_send_interval = std::chrono::milliseconds(50);
/// Number of other hosts above which the longer interval is used.
constexpr std::size_t large_group_hosts = 10;
constexpr duration heartbeat_interval = std::chrono::milliseconds(500);
/// Delay of a heartbeat from which it is logged: the event loop was busy or the host was suspended.
constexpr duration late_heartbeat = std::chrono::milliseconds(250);
/// A host that sends no digest for this long counts as unreachable, and its last known load is discarded.
constexpr duration host_timeout = std::chrono::milliseconds(2500);
/// How long the store answers no call of a host until another host leads the group in its place.
constexpr duration cut_off_delay = std::chrono::seconds(1);
/// How long a host of the group stays unreachable before its entry in the store is removed. A host that restarts
/// registers itself again.
constexpr duration removal_delay = std::chrono::seconds(60);

} // namespace

host_gossip::host_gossip(boost::asio::io_context& loop, platform::store_client& store, servers::serving_state& state,
                         configuration_follower& configuration, server_list_follower& servers, lease_keeper& lease,
                         metrics_registry& metrics, host_gossip_options options)
    : m_store(&store), m_state(&state), m_configuration(&configuration), m_servers(&servers), m_lease(&lease),
      m_options(std::move(options)), m_log(get_logger("hosts")), m_usage_copier(store, loop.get_executor()),
      m_group_usage(store, state, m_options.group_record_delay),
      m_digest_builder(state, configuration, servers, lease, m_group_usage,
                       {.host = m_options.host, .incarnation = m_options.incarnation}, m_options.zone),
      m_hosts(store, state,
              {.name = m_options.host,
               .zone = m_options.zone,
               .address = m_options.listen,
               .incarnation = m_options.incarnation}),
      m_socket(loop, udp::endpoint(boost::asio::ip::make_address(m_options.listen.address), m_options.listen.port)),
      m_sender(m_socket, state.time, metrics),
      m_heartbeat_delay(&metrics.get_gauge("dragonflywell_heartbeat_delay_milliseconds")), m_send_timer(loop) {
    m_socket.non_blocking(true);
}

void host_gossip::start() {
    m_hosts.start({.on_listed = [this](const listed_host& host) { add_host(host); },
                   .on_removed = [this](const std::string& host) { m_others.erase(host); },
                   .on_page = [this] { update_groups(); }});
    boost::asio::co_spawn(m_state->executor, receive(), boost::asio::detached);
    boost::asio::co_spawn(m_state->executor, run_heartbeat(), boost::asio::detached);
    m_state->on_load_change = [this] { schedule(); };
    m_servers->set_relay(
        [this](const log_position& from, const platform::store_page& page) { relay_records(from, page); });
    m_configuration->set_relay([this](const relayed_configuration& changes) { relay_configuration(changes); });
}

void host_gossip::schedule() {
    if (m_is_scheduled) {
        return;
    }
    m_is_scheduled = true;
    const bool is_large_group = m_others.size() > large_group_hosts;
    m_send_timer.expires_after(is_large_group ? large_group_send_interval : send_interval);
    m_send_timer.async_wait([this](const error_code& fault) {
        m_is_scheduled = false;
        if (!fault) {
            send();
        }
    });
}

void host_gossip::add_host(const listed_host& host) {
    other_host& other = m_others[host.name];
    other.address = udp::endpoint(boost::asio::ip::make_address(host.address.address), host.address.port);
    other.zone = host.zone;
}

void host_gossip::update_groups() {
    std::map<std::string, zone_name> zones;
    for (const auto& [name, other] : m_others) {
        zones.emplace(name, other.zone);
    }
    m_state->peers.groups.set_hosts(zones);
    for (auto& [name, other] : m_others) {
        other.is_own_group = m_state->peers.groups.is_own_group_host(name, other.zone);
        if (!other.is_own_group) {
            m_state->remove_host(name);
        }
    }
    m_state->set_host_count(m_others.size() + 1);
}

servers::asio::awaitable<void> host_gossip::receive() {
    std::string buffer(max_datagram_bytes, '\0');
    for (;;) {
        udp::endpoint sender;
        error_code fault;
        const std::size_t received =
            co_await m_socket.async_receive_from(boost::asio::buffer(buffer), sender, servers::store_error(fault));
        if (fault) {
            co_await servers::sleep_for(send_interval);
            continue;
        }
        handle_datagram(std::string_view(buffer).substr(0, received));
    }
}

void host_gossip::handle_datagram(std::string_view text) {
    try {
        const boost::json::value document = json::parse(text);
        const boost::json::object& message = json::as_object(document, "datagram");
        if (is_relayed_records(message)) {
            const relayed_records relayed = decode_relayed_records(message);
            m_servers->apply_relayed(relayed.from, relayed.page);
        } else if (is_relayed_configuration(message)) {
            m_configuration->apply_relayed(decode_relayed_configuration(message));
        } else {
            apply_digest(servers::decode_host_digest(message));
        }
    } catch (const malformed_message_error& broken) {
        log_event("datagram_rejected").add("reason", broken.what()).write(*m_log, spdlog::level::warn);
    }
}

void host_gossip::apply_digest(const servers::host_digest& digest) {
    const auto found = m_others.find(digest.host);
    if (found == m_others.end()) {
        // Digests of a host are ignored until this host has read its entry in the store.
        return;
    }
    other_host& other = found->second;
    const bool is_older_incarnation = digest.incarnation < other.incarnation;
    const bool is_older = digest.incarnation == other.incarnation && digest.sequence <= other.sequence;
    if (is_older_incarnation || is_older) {
        return;
    }
    other.incarnation = digest.incarnation;
    other.sequence = digest.sequence;
    if (!other.last_received_at) {
        log_event("host_heard").add("host", digest.host).write(*m_log, spdlog::level::info);
    }
    other.last_received_at = m_state->time.now();
    other.timed_out_at.reset();
    other.clock_offset = digest.corrected_time - m_state->get_corrected_time();
    other.is_stopping = digest.is_stopping;
    other.is_cut_off = digest.is_cut_off;
    if (digest.holds_lease) {
        m_lease->record_holder_heartbeat();
    }
    for (const policy::engine_crash& crash : digest.crashes) {
        m_state->suspects.record_crash(crash);
    }
    for (const policy::part_clearance& clearance : digest.part_clearances) {
        m_state->part_suspects.record_clearance(clearance);
    }
    for (const policy::part_crash& crash : digest.part_crashes) {
        m_state->record_part_crash(crash);
    }
    if (!other.is_own_group) {
        m_state->peers.merge_intergroup_digest(digest);
        apply_prefix_accesses(digest);
        return;
    }
    m_group_usage.update(digest);
    if (digest.recorded_usage) {
        apply_recorded_usage(*digest.recorded_usage);
    }
    m_state->peers.merge_group_digest(digest);
    apply_load(digest);
    apply_read_positions(digest);
}

void host_gossip::apply_recorded_usage(const servers::digest_recorded_usage& recorded) {
    if (!m_group_usage.is_current(recorded)) {
        return;
    }
    const servers::host_incarnation own{.host = m_options.host, .incarnation = m_options.incarnation};
    if (std::find(recorded.incarnations.begin(), recorded.incarnations.end(), own) != recorded.incarnations.end()) {
        m_state->delegation.note_recorded(recorded.window);
    }
}

void host_gossip::apply_read_positions(const servers::host_digest& digest) {
    if (digest.configuration) {
        m_configuration->update_leader_position(*digest.configuration);
    }
    if (digest.servers) {
        m_servers->update_leader_position(*digest.servers);
    }
}

void host_gossip::apply_load(const servers::host_digest& digest) {
    const steady_time now = m_state->time.now();
    std::map<backend_server_name, policy::host_engine_load> shares;
    for (const auto& [name, engine] : digest.engines) {
        policy::host_engine_load share{
            .prompts = {}, .running = engine.running, .running_tokens = engine.running_tokens};
        for (const servers::digest_prompt& prompt : engine.prompts) {
            share.prompts.push_back(
                {.number = prompt.number, .sent_at = now - prompt.age, .cost = prompt.cost, .urgency = prompt.urgency});
        }
        shares.emplace(name, std::move(share));
    }
    for (auto& [service, engines] : m_state->get_engines()) {
        engines.load_tracker.set_host_load(digest.host, shares, now);
    }
    apply_prefix_accesses(digest);
    if (m_leads_group && has_remote_groups()) {
        m_digest_builder.share_prompts(digest.prefix_accesses);
    }
}

void host_gossip::apply_prefix_accesses(const servers::host_digest& digest) {
    for (auto& [service, engines] : m_state->get_engines()) {
        for (const servers::digest_prefix_access& touch : digest.prefix_accesses) {
            engines.load_tracker.record_prefix_access(touch.engine, touch.parts);
        }
    }
}

std::size_t host_gossip::count_reachable_hosts() const {
    return static_cast<std::size_t>(std::count_if(
        m_others.begin(), m_others.end(), [](const auto& item) { return item.second.last_received_at.has_value(); }));
}

bool host_gossip::has_remote_groups() const {
    return std::any_of(m_others.begin(), m_others.end(), [](const auto& item) { return !item.second.is_own_group; });
}

servers::asio::awaitable<void> host_gossip::run_heartbeat() {
    for (;;) {
        const steady_time due_at = m_state->time.now() + heartbeat_interval;
        co_await servers::sleep_for(heartbeat_interval);
        report_delay(m_state->time.now() - due_at);
        drop_unresponsive();
        remove_dead_entries();
        correct_clock();
        update_leadership();
        if (m_leads_group) {
            m_group_usage.record_if_due();
        }
        m_state->peers.discard_usage_before(m_state->usage.get_window(m_state->get_corrected_time()) -
                                            retained_usage_windows);
        m_is_heartbeat_due = true;
        schedule();
    }
}

void host_gossip::report_delay(duration delay) {
    m_heartbeat_delay->set(std::chrono::duration_cast<std::chrono::milliseconds>(delay).count());
    if (delay >= late_heartbeat) {
        log_event("heartbeat_late").add("delay_ms", delay).write(*m_log, spdlog::level::warn);
    }
}

void host_gossip::drop_unresponsive() {
    const steady_time now = m_state->time.now();
    for (auto& [name, other] : m_others) {
        if (!other.last_received_at || now - *other.last_received_at <= host_timeout) {
            continue;
        }
        other.last_received_at.reset();
        other.timed_out_at = now;
        m_state->remove_host(name);
        if (!other.is_own_group) {
            continue;
        }
        log_event("host_silent").add("host", name).write(*m_log, spdlog::level::info);
        std::optional<group_usage_recorder::received_usage> received = m_group_usage.remove_host(name);
        if (is_group_leader() && received) {
            boost::asio::co_spawn(m_state->executor,
                                  m_usage_copier.record(name, received->incarnation, std::move(received->windows)),
                                  boost::asio::detached);
        }
    }
}

void host_gossip::remove_dead_entries() {
    const steady_time now = m_state->time.now();
    if (!is_group_leader()) {
        return;
    }
    for (auto& [name, other] : m_others) {
        if (other.is_own_group && other.timed_out_at && now - *other.timed_out_at > removal_delay) {
            other.timed_out_at.reset();
            m_hosts.remove(name);
        }
    }
}

void host_gossip::update_leadership() {
    const bool is_leader = is_group_leader();
    m_configuration->set_reader(is_leader);
    m_servers->set_reader(is_leader);
    m_state->delegation.set_delegated(!is_leader);
    m_lease->set_reserve(!is_leader);
    if (is_leader == m_leads_group) {
        return;
    }
    m_leads_group = is_leader;
    log_event change("group_leader_changed");
    change.add("group", m_state->peers.groups.get_name()).add("is_leader", is_leader).add("is_cut_off", is_cut_off());
    for (const auto& [name, other] : m_others) {
        if (other.is_own_group && name < m_options.host) {
            change.add(name, get_absence(other));
        }
    }
    change.write(*m_log, spdlog::level::info);
}

std::string_view host_gossip::get_absence(const other_host& other) {
    if (!other.last_received_at) {
        return "silent";
    }
    if (other.is_stopping) {
        return "stopping";
    }
    return other.is_cut_off ? "cut_off" : "present";
}

bool host_gossip::is_group_leader() const {
    std::vector<policy::leader_candidate> others;
    for (const auto& [name, other] : m_others) {
        if (other.is_own_group && other.last_received_at) {
            others.push_back({.host = name, .is_stopping = other.is_stopping, .is_cut_off = other.is_cut_off});
        }
    }
    return policy::leads_group(
        {.host = m_options.host, .is_stopping = m_state->is_stopping(), .is_cut_off = is_cut_off()}, others);
}

bool host_gossip::is_cut_off() const {
    return m_store->get_time_without_answer() >= cut_off_delay;
}

void host_gossip::correct_clock() {
    std::vector<duration> clock_offsets;
    for (const auto& [name, other] : m_others) {
        if (other.last_received_at) {
            clock_offsets.push_back(other.clock_offset);
        }
    }
    const std::optional<duration> correction = policy::get_time_correction(std::move(clock_offsets));
    if (!correction) {
        return;
    }
    log_event("time_corrected").add("by_ms", *correction).write(*m_log, spdlog::level::warn);
    m_state->adjust_corrected_time(*correction);
    for (auto& [name, other] : m_others) {
        other.clock_offset -= *correction;
    }
}

void host_gossip::send() {
    const digest_scope scope{
        .is_group_leader = is_group_leader(), .is_cut_off = is_cut_off(), .is_heartbeat = m_is_heartbeat_due};
    const servers::host_digest digest = m_digest_builder.make_group_digest(scope);
    if (scope.is_group_leader && has_remote_groups()) {
        m_digest_builder.share_prompts(digest.prefix_accesses);
    }
    send_to(datagram_kind::group_digest, servers::encode_host_digest(digest));
    // An engine refuses requests as soon as it starts to change its stage, so a new transition is sent to remote groups
    // without waiting for the next heartbeat.
    const bool has_new_transitions = m_digest_builder.has_new_transitions();
    const bool is_heartbeat_sender = scope.is_heartbeat && (scope.is_group_leader || m_lease->is_held());
    if (has_remote_groups() && (has_new_transitions || is_heartbeat_sender)) {
        send_to(datagram_kind::intergroup_digest,
                servers::encode_host_digest(m_digest_builder.make_intergroup_digest(scope)));
    }
    m_is_heartbeat_due = false;
}

void host_gossip::send_to(datagram_kind kind, std::string_view text) {
    std::vector<udp::endpoint> receivers;
    for (const auto& [name, other] : m_others) {
        if (other.is_own_group != (kind == datagram_kind::intergroup_digest)) {
            receivers.push_back(other.address);
        }
    }
    m_sender.send(kind, text, receivers);
}

void host_gossip::relay_records(const log_position& from, const platform::store_page& page) {
    send_to(datagram_kind::records, encode_relayed_records({.from = from, .page = page}));
}

void host_gossip::relay_configuration(const relayed_configuration& changes) {
    std::string text = encode_relayed_configuration(changes);
    if (text.size() > max_datagram_bytes) {
        text = encode_relayed_configuration({changes.back()});
    }
    send_to(datagram_kind::configuration, text);
}

} // namespace dragonflywell::daemon
