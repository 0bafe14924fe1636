#pragma once

#include <array>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <string>

#include "core/log.hpp"
#include "daemon/configuration_follower.hpp"
#include "daemon/datagram_sender.hpp"
#include "daemon/digest_builder.hpp"
#include "daemon/group_usage_recorder.hpp"
#include "daemon/host_list.hpp"
#include "daemon/lease_keeper.hpp"
#include "daemon/server_list_follower.hpp"
#include "daemon/usage_copier.hpp"
#include "platform/store_client.hpp"
#include "servers/host_digest.hpp"
#include "servers/serving_state.hpp"

namespace dragonflywell::daemon {

struct host_gossip_options {
    std::string host;
    zone_name zone;
    std::uint64_t incarnation{};
    /// Address on which this host receives the datagrams of others.
    endpoint listen;
    /// Delay from the end of a window until the group leader records the group's usage of it.
    duration group_record_delay{};
};

/// Gossips with the other hosts: sends digests of this host's state and applies the digests that it receives.
///
/// The leader of a group (`policy::leads_group`) reads the store for the group, relays what it has read, and sends
/// summaries to remote groups. Hosts discover each other through the store. Any datagram may be lost.
/// Used on one event loop.
class host_gossip {
public:
    /// Binds the socket. Throws `boost::system::system_error`. Preconditions: all references outlive the object.
    host_gossip(boost::asio::io_context& loop, platform::store_client& store, servers::serving_state& state,
                configuration_follower& configuration, server_list_follower& servers, lease_keeper& lease,
                metrics_registry& metrics, host_gossip_options options);

    /// Starts sending, receiving and discovering other hosts.
    void start();

    /// Returns the number of other hosts whose digests arrive.
    [[nodiscard]] std::size_t count_reachable_hosts() const;

    /// Schedules a digest after a short interval, which also covers the changes until then.
    void schedule();

private:
    /// Another host, as listed in the store and as known from its digests.
    struct other_host {
        boost::asio::ip::udp::endpoint address;
        zone_name zone;
        bool is_own_group{true};
        bool is_stopping{false};
        bool is_cut_off{false};
        std::uint64_t incarnation{0};
        std::uint64_t sequence{0};
        std::optional<steady_time> last_received_at;
        /// When a host of the group timed out; absent while it is reachable.
        std::optional<steady_time> timed_out_at;
        /// How far its corrected time of day is ahead of this host's.
        duration clock_offset{};
    };

    servers::asio::awaitable<void> receive();
    servers::asio::awaitable<void> run_heartbeat();
    void add_host(const listed_host& host);
    void update_groups();
    void handle_datagram(std::string_view text);
    void apply_digest(const servers::host_digest& digest);
    void apply_load(const servers::host_digest& digest);
    void apply_prefix_accesses(const servers::host_digest& digest);
    /// Notes that the group leader has recorded this host's usage, if it has.
    void apply_recorded_usage(const servers::digest_recorded_usage& recorded);
    void apply_read_positions(const servers::host_digest& digest);
    [[nodiscard]] bool has_remote_groups() const;
    void send();
    /// Sends a datagram to all other hosts of this group, or to all hosts of remote groups if it is for them.
    void send_to(datagram_kind kind, std::string_view text);
    void relay_records(const log_position& from, const platform::store_page& page);
    /// Relays changes of the configuration to the group. Changes that exceed a datagram are left out, so that the other
    /// hosts read the store.
    void relay_configuration(const relayed_configuration& changes);
    /// Reports by how much a heartbeat was late: high if the event loop was busy.
    void report_delay(duration delay);
    void drop_unresponsive();
    void remove_dead_entries();
    /// Returns whether this host leads its group.
    [[nodiscard]] bool is_group_leader() const;
    /// Returns whether the store does not answer this host.
    [[nodiscard]] bool is_cut_off() const;
    /// Returns why a host does not lead the group, or "present" if it might.
    [[nodiscard]] static std::string_view get_absence(const other_host& other);
    /// Starts or ends the duties of the group leader, and logs the change with the state of the hosts before it by
    /// name.
    void update_leadership();
    void correct_clock();

    platform::store_client* m_store;
    servers::serving_state* m_state;
    configuration_follower* m_configuration;
    server_list_follower* m_servers;
    lease_keeper* m_lease;
    host_gossip_options m_options;
    std::shared_ptr<spdlog::logger> m_log;
    usage_copier m_usage_copier;
    group_usage_recorder m_group_usage;
    digest_builder m_digest_builder;
    host_list m_hosts;
    boost::asio::ip::udp::socket m_socket;
    datagram_sender m_sender;
    gauge* m_heartbeat_delay;
    boost::asio::steady_timer m_send_timer;
    bool m_is_scheduled{false};
    /// Whether this host led its group at the last heartbeat.
    bool m_leads_group{false};
    /// The next digests are heartbeats: they also carry the parts that are sent less often, and go to remote groups,
    /// too.
    bool m_is_heartbeat_due{false};
    std::map<std::string, other_host> m_others;
};

} // namespace dragonflywell::daemon
