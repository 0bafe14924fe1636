#include "daemon/host_gossip.hpp"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json.hpp>

#include "core/error.hpp"
#include "core/json.hpp"
#include "core/log_event.hpp"
#include "daemon/usage_timing.hpp"
#include "policy/time_correction.hpp"
#include "servers/server_speed_sharing.hpp"
#include "servers/sleep.hpp"

namespace dragonflywell::daemon {

using boost::asio::ip::udp;
using gossip::datagram_kind;
using servers::error_code;

namespace {

/// Pause after a failure of the socket.
constexpr duration receive_pause = std::chrono::milliseconds(25);
/// Delay of a heartbeat from which it is logged: the event loop was busy or the host was suspended.
constexpr duration late_heartbeat = std::chrono::milliseconds(250);
/// How long the store answers no call of a host until another host leads the group in its place.
constexpr duration cut_off_delay = std::chrono::seconds(1);
/// How long a host of the group stays unreachable before its entry in the store is removed. A host that restarts
/// registers itself again.
constexpr duration removal_delay = std::chrono::seconds(60);
/// Size of a datagram of records or changes, so that it does not occupy the link for long and a lost one costs little.
constexpr std::size_t relay_bytes = 8000;

} // namespace

host_gossip::host_gossip(boost::asio::io_context& loop, platform::store_client& store, servers::serving_state& state,
                         configuration_follower& configuration, server_list_follower& servers, lease_keeper& lease,
                         metrics_registry& metrics, host_gossip_options options)
    : m_store(&store), m_state(&state), m_configuration(&configuration), m_servers(&servers), m_lease(&lease),
      m_options(std::move(options)), m_log(get_logger("hosts")), m_usage_copier(store, loop.get_executor()),
      m_group_usage(store, state, m_options.group_record_delay),
      m_hosts(store, state,
              {.name = m_options.host,
               .zone = m_options.zone,
               .address = m_options.listen,
               .incarnation = m_options.incarnation,
               .core_thousandths = m_options.capacity.core_thousandths}),
      m_members(m_options.host, state.peers.groups),
      m_socket(loop, udp::endpoint(boost::asio::ip::make_address(m_options.listen.address), m_options.listen.port)),
      m_transport(m_socket), m_queue(m_transport, state.time, metrics, m_options.capacity.link_bytes_per_second),
      m_builder(state, *this,
                {.own = {.host = m_options.host, .incarnation = m_options.incarnation},
                 .zone = m_options.zone,
                 .capacity = m_options.capacity}),
      m_digests(state, *this, m_builder, m_queue, metrics), m_speed_report(state, metrics),
      m_heartbeat_delay(&metrics.get_gauge("dragonflywell_heartbeat_delay_milliseconds")), m_send_timer(loop),
      m_quotas(loop, state.quotas, gossip::quota_subjects::organisations, state.time, m_queue, get_candidate(),
               [this] { send(); }),
      m_limits(loop, state.limits, gossip::quota_subjects::servers, state.time, m_queue, get_candidate(),
               [this] { send(); }) {
    m_socket.non_blocking(true);
}

void host_gossip::start() {
    m_hosts.start({.on_listed = [this](const listed_host& host) { add_host(host); },
                   .on_removed =
                       [this](const std::string& host) {
                           m_members.remove(host);
                           m_quotas.remove_host(host);
                           m_limits.remove_host(host);
                       },
                   .on_page = [this] { update_groups(); }});
    boost::asio::co_spawn(m_state->executor, receive(), boost::asio::detached);
    boost::asio::co_spawn(m_state->executor, run_heartbeat(), boost::asio::detached);
    m_quotas.start();
    m_limits.start();
    m_state->on_load_change = [this] { schedule(); };
    m_servers->set_relay([this](const log_position& from, const platform::store_page& page, duration age) {
        relay_records(from, page, age);
    });
    m_configuration->set_relay([this](const gossip::relayed_configuration& changes) { relay_configuration(changes); });
}

void host_gossip::schedule() {
    if (m_digests.note_change()) {
        send();
    }
}

void host_gossip::send() {
    m_relayed_position = get_relayed_position();
    m_relayed_position_at = m_state->time.now();
    const std::optional<duration> wait = m_digests.run();
    if (!wait) {
        return;
    }
    m_send_timer.expires_after(*wait);
    m_send_timer.async_wait([this](const error_code& fault) {
        if (!fault) {
            send();
        }
    });
}

void host_gossip::add_host(const listed_host& host) {
    m_quotas.add_host(host);
    m_limits.add_host(host);
    m_members.add(host.name, host.zone,
                  udp::endpoint(boost::asio::ip::make_address(host.address.address), host.address.port));
}

void host_gossip::update_groups() {
    for (const std::string& remote : m_members.update_groups()) {
        m_state->remove_host(remote);
    }
    m_digests.set_receivers(m_members.get_receivers(true), m_members.get_receivers(false));
    m_state->set_host_count(m_members.count_listed() + 1);
    m_quotas.update_hosts();
    m_limits.update_hosts();
}

servers::asio::awaitable<void> host_gossip::receive() {
    std::string buffer(gossip::max_datagram_bytes, '\0');
    for (;;) {
        udp::endpoint sender;
        error_code fault;
        const std::size_t received =
            co_await m_socket.async_receive_from(boost::asio::buffer(buffer), sender, servers::store_error(fault));
        if (fault) {
            co_await servers::sleep_for(receive_pause);
            continue;
        }
        handle_datagram(std::string_view(buffer).substr(0, received));
    }
}

void host_gossip::handle_datagram(std::string_view text) {
    try {
        const boost::json::value document = json::parse(text);
        const boost::json::object& message = json::as_object(document, "datagram");
        if (gossip::is_relayed_records(message)) {
            apply_records(gossip::decode_relayed_records(message));
        } else if (gossip::is_relayed_configuration(message)) {
            m_configuration->apply_relayed(gossip::decode_relayed_configuration(message));
        } else if (!m_quotas.apply(message) && !m_limits.apply(message)) {
            apply_digest(servers::decode_host_digest(message));
        }
    } catch (const malformed_message_error& broken) {
        log_event("datagram_rejected").add("reason", broken.what()).write(*m_log, spdlog::level::warn);
    }
}

void host_gossip::apply_records(const gossip::relayed_records& relayed) {
    const duration delay =
        m_members.measure_delay(relayed.sender, relayed.sent_at, m_state->get_corrected_time(), m_state->time.now());
    m_servers->apply_relayed(relayed.from, relayed.page, relayed.age + delay);
}

void host_gossip::apply_digest(const servers::host_digest& digest) {
    const std::optional<gossip::membership::sender> sender =
        m_members.accept(digest, m_state->get_corrected_time(), m_state->time.now());
    if (!sender) {
        return;
    }
    if (sender->is_newcomer) {
        log_event("host_heard").add("host", digest.host).write(*m_log, spdlog::level::info);
        if (sender->is_own_group && is_group_leader(digest.host)) {
            m_state->announce_refused_to_group();
        }
    }
    if (digest.holds_lease) {
        m_lease->record_holder_heartbeat();
    }
    m_state->apply_crashes(digest, sender->is_own_group);
    m_state->limits.merge(digest.limits, sender->delay);
    if (!sender->is_own_group) {
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
    servers::merge_speeds(*m_state, digest.host, digest.speeds, sender->delay);
    apply_read_positions(digest, sender->delay);
    if (digest.missing_servers_from && is_group_leader()) {
        resend_records(digest.host, *digest.missing_servers_from);
    }
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

void host_gossip::apply_read_positions(const servers::host_digest& digest, duration delay) {
    if (digest.configuration) {
        m_configuration->update_leader_position(
            {.end = digest.configuration->end, .age = digest.configuration->age + delay});
    }
    if (digest.servers) {
        m_servers->update_leader_position({.end = digest.servers->end, .age = digest.servers->age + delay});
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
    if (m_leads_group && m_members.has_remote_groups()) {
        m_builder.share_prompts(digest.prefix_accesses);
    }
}

void host_gossip::apply_prefix_accesses(const servers::host_digest& digest) {
    for (auto& [service, engines] : m_state->get_engines()) {
        for (const servers::digest_prefix_access& touch : digest.prefix_accesses) {
            engines.load_tracker.record_prefix_access(touch.engine, touch.parts);
        }
    }
}

servers::asio::awaitable<void> host_gossip::run_heartbeat() {
    for (;;) {
        const steady_time due_at = m_state->time.now() + gossip::digest_sender::heartbeat_interval;
        co_await servers::sleep_for(gossip::digest_sender::heartbeat_interval);
        report_delay(m_state->time.now() - due_at);
        drop_unresponsive();
        remove_dead_entries();
        m_speed_report.run();
        m_state->limits.discard_unconfirmed();
        correct_clock();
        update_leadership();
        if (m_leads_group) {
            m_group_usage.record_if_due();
        }
        m_state->peers.discard_usage_before(m_state->usage.get_window(m_state->get_corrected_time()) -
                                            retained_usage_windows);
        m_digests.note_heartbeat();
        send();
    }
}

void host_gossip::report_delay(duration delay) {
    m_heartbeat_delay->set(std::chrono::duration_cast<std::chrono::milliseconds>(delay).count());
    if (delay >= late_heartbeat) {
        log_event("heartbeat_late").add("delay_ms", delay).write(*m_log, spdlog::level::warn);
    }
}

void host_gossip::drop_unresponsive() {
    for (const auto& [name, is_own_group] : m_members.take_lost(m_state->time.now())) {
        m_state->remove_host(name);
        m_resends.remove(name);
        if (!is_own_group) {
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
    if (!is_group_leader()) {
        return;
    }
    for (const std::string& name : m_members.take_dead(m_state->time.now(), removal_delay)) {
        m_hosts.remove(name);
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
    m_members.describe_absent(change);
    change.write(*m_log, spdlog::level::info);
}

bool host_gossip::is_group_leader(std::string_view without) const {
    return m_members.leads_group({.host = m_options.host,
                                  .capacity = m_options.capacity,
                                  .is_stopping = m_state->is_stopping(),
                                  .is_cut_off = is_cut_off()},
                                 without);
}

bool host_gossip::is_cut_off() const {
    return m_store->get_time_without_answer() >= cut_off_delay;
}

void host_gossip::correct_clock() {
    const std::optional<duration> correction = policy::get_time_correction(m_members.get_clock_offsets());
    if (!correction) {
        return;
    }
    log_event("time_corrected").add("by_ms", *correction).write(*m_log, spdlog::level::warn);
    m_state->adjust_corrected_time(*correction);
    m_members.on_clock_corrected(*correction);
}

gossip::digest_facts host_gossip::get_digest_facts() const {
    return {.is_group_leader = is_group_leader(),
            .is_cut_off = is_cut_off(),
            .holds_lease = m_lease->is_held(),
            .configuration = m_configuration->get_read_position(),
            .servers = get_relayed_position(),
            .missing_servers_from = m_servers->get_missing_from(),
            .recorded_usage = m_group_usage.get_recorded()};
}

servers::digest_read_position host_gossip::get_relayed_position() const {
    if (!m_queue.is_waiting(datagram_kind::records)) {
        return m_servers->get_read_position();
    }
    servers::digest_read_position position = m_relayed_position;
    position.age += m_state->time.now() - m_relayed_position_at;
    return position;
}

void host_gossip::relay_records(const log_position& from, const platform::store_page& page, duration age) {
    const gossip::relayed_records relayed{
        .from = from, .page = page, .sender = m_options.host, .sent_at = m_state->get_corrected_time(), .age = age};
    send_records(relayed, m_members.get_receivers(true));
}

void host_gossip::resend_records(const std::string& host, const log_position& from) {
    const std::optional<server_list::relayed_page> missed = m_servers->get_changes_since(from);
    const std::optional<udp::endpoint> address = m_members.find_address(host);
    if (!missed || !address || !m_resends.may_send(host, from, m_state->time.now())) {
        return;
    }
    const gossip::relayed_records relayed{.from = missed->from,
                                          .page = missed->page,
                                          .sender = m_options.host,
                                          .sent_at = m_state->get_corrected_time(),
                                          .age = m_servers->get_read_position().age};
    send_records(relayed, {*address});
}

void host_gossip::send_records(const gossip::relayed_records& relayed, const gossip::datagram_receivers& receivers) {
    for (const gossip::relayed_records& part : gossip::split_relayed_records(relayed, relay_bytes)) {
        relay(datagram_kind::records, gossip::encode_relayed_records(part), receivers);
    }
}

void host_gossip::relay_configuration(gossip::relayed_configuration changes) {
    std::string text = gossip::encode_relayed_configuration(changes);
    while (text.size() > relay_bytes && changes.size() > 1) {
        changes.erase(changes.begin());
        text = gossip::encode_relayed_configuration(changes);
    }
    relay(datagram_kind::configuration, std::move(text), m_members.get_receivers(true));
}

void host_gossip::relay(datagram_kind kind, std::string text, gossip::datagram_receivers receivers) {
    m_queue.put(kind, std::move(text), std::move(receivers));
    send();
}

} // namespace dragonflywell::daemon
