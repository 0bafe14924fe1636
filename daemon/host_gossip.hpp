#pragma once

#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <string>

#include "core/log.hpp"
#include "daemon/configuration_follower.hpp"
#include "daemon/group_usage_recorder.hpp"
#include "daemon/host_list.hpp"
#include "daemon/lease_keeper.hpp"
#include "daemon/quota_exchange.hpp"
#include "daemon/server_list_follower.hpp"
#include "daemon/usage_copier.hpp"
#include "gossip/datagram_queue.hpp"
#include "gossip/digest_builder.hpp"
#include "gossip/digest_sender.hpp"
#include "gossip/digest_source.hpp"
#include "gossip/membership.hpp"
#include "gossip/relayed_records.hpp"
#include "gossip/resend_limiter.hpp"
#include "gossip/udp_transport.hpp"
#include "platform/store_client.hpp"
#include "servers/host_digest.hpp"
#include "servers/server_speed_report.hpp"
#include "servers/serving_state.hpp"

namespace dragonflywell::daemon {

struct host_gossip_options {
    std::string host;
    zone_name zone;
    std::uint64_t incarnation{};
    /// Address on which this host receives the datagrams of others.
    endpoint listen;
    /// What this host can bear: the larger, the sooner it leads its group. Precondition: the link is positive.
    policy::host_capacity capacity;
    /// Delay from the end of a window until the group leader records the group's usage of it.
    duration group_record_delay{};
};

/// Gossips with the other hosts: sends digests of this host's state and applies the digests that it receives.
///
/// The leader of a group (`policy::leads_group`) reads the store for the group, relays what it has read, and sends
/// loads to remote groups. Hosts discover each other through the store. Any datagram may be lost.
/// Used on one event loop.
class host_gossip final : public gossip::digest_source {
public:
    /// Binds the socket. Throws `boost::system::system_error`. Preconditions: all references outlive the object.
    host_gossip(boost::asio::io_context& loop, platform::store_client& store, servers::serving_state& state,
                configuration_follower& configuration, server_list_follower& servers, lease_keeper& lease,
                metrics_registry& metrics, host_gossip_options options);

    /// Starts sending, receiving and discovering other hosts.
    void start();

    /// Returns the number of other hosts whose digests arrive.
    [[nodiscard]] std::size_t count_reachable_hosts() const { return m_members.count_reachable(); }

    /// Schedules a digest after a short interval, which also covers the changes until then.
    void schedule();

    [[nodiscard]] gossip::digest_facts get_digest_facts() const override;

private:
    servers::asio::awaitable<void> receive();
    servers::asio::awaitable<void> run_heartbeat();
    void add_host(const listed_host& host);
    void update_groups();
    void handle_datagram(std::string_view text);
    void apply_records(const gossip::relayed_records& relayed);
    void apply_digest(const servers::host_digest& digest);
    void apply_load(const servers::host_digest& digest);
    void apply_prefix_accesses(const servers::host_digest& digest);
    /// Notes that the group leader has recorded this host's usage, if it has.
    void apply_recorded_usage(const servers::digest_recorded_usage& recorded);
    /// Applies the read positions of the group leader. `delay`: how long the digest was on the way.
    void apply_read_positions(const servers::host_digest& digest, duration delay);
    /// Sends what is due and waits until more is.
    void send();
    void relay_records(const log_position& from, const platform::store_page& page, duration age);
    /// Sends the records of the server list from a position on to a host that has missed them.
    void resend_records(const std::string& host, const log_position& from);
    void send_records(const gossip::relayed_records& relayed, const gossip::datagram_receivers& receivers);
    /// Returns the read position up to which all records have been sent to the group.
    [[nodiscard]] servers::digest_read_position get_relayed_position() const;
    /// Relays changes of the configuration to the group: the newest one, and those before it as far as they fit.
    void relay_configuration(gossip::relayed_configuration changes);
    /// Sends a datagram to other hosts of the group.
    void relay(gossip::datagram_kind kind, std::string text, gossip::datagram_receivers receivers);
    /// Reports by how much a heartbeat was late: high if the event loop was busy.
    void report_delay(duration delay);
    void drop_unresponsive();
    void remove_dead_entries();
    /// Returns whether this host leads its group, or would lead it without another host.
    [[nodiscard]] bool is_group_leader(std::string_view without = {}) const;
    /// Returns whether the store does not answer this host.
    [[nodiscard]] bool is_cut_off() const;
    /// Starts or ends the duties of the group leader, and logs the change with the state of the hosts before it by
    /// name.
    void update_leadership();
    void correct_clock();
    /// Returns this host as an owner of quotas.
    [[nodiscard]] policy::owner_candidate get_candidate() const {
        return {.host = m_options.host, .core_thousandths = m_options.capacity.core_thousandths};
    }

    platform::store_client* m_store;
    servers::serving_state* m_state;
    configuration_follower* m_configuration;
    server_list_follower* m_servers;
    lease_keeper* m_lease;
    host_gossip_options m_options;
    std::shared_ptr<spdlog::logger> m_log;
    usage_copier m_usage_copier;
    group_usage_recorder m_group_usage;
    host_list m_hosts;
    gossip::membership m_members;
    boost::asio::ip::udp::socket m_socket;
    gossip::udp_transport m_transport;
    gossip::datagram_queue m_queue;
    gossip::digest_builder m_builder;
    gossip::digest_sender m_digests;
    servers::server_speed_report m_speed_report;
    gauge* m_heartbeat_delay;
    boost::asio::steady_timer m_send_timer;
    /// The read position up to which all records have been sent to the group, and when it was that.
    servers::digest_read_position m_relayed_position;
    steady_time m_relayed_position_at{};
    gossip::resend_limiter m_resends;
    quota_exchange m_quotas;
    quota_exchange m_limits;
    /// Whether this host led its group at the last heartbeat.
    bool m_leads_group{false};
};

} // namespace dragonflywell::daemon
