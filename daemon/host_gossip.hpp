#pragma once

#include <array>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <string>

#include "core/log.hpp"
#include "daemon/configuration_follower.hpp"
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
    /// Where this host takes the datagrams of others.
    endpoint listen;
    /// How long after a window's end its usage is recorded for the group.
    duration group_record_delay{};
};

/// Tells the other hosts of the group what this one has sent to backend servers, and takes what they tell; the first
/// host of a group reads the store for it and speaks for it to other groups. Hosts find each other in the store;
/// nothing here has to arrive. Used on one event loop.
class host_gossip {
public:
    /// Binds the socket. Throws `boost::system::system_error`. Preconditions: store and state outlive the exchange.
    host_gossip(boost::asio::io_context& loop, platform::store_client& store, servers::serving_state& state,
                configuration_follower& configuration, server_list_follower& servers, lease_keeper& lease,
                host_gossip_options options);

    /// Starts to send, to receive and to look for other hosts.
    void start();

    /// Sends what has changed soon, together with what changes until then.
    void schedule();

private:
    /// Another host, as listed and as heard of.
    struct other_host {
        boost::asio::ip::udp::endpoint address;
        zone_name zone;
        bool is_near{true};
        bool is_stopping{false};
        std::uint64_t incarnation{0};
        std::uint64_t sequence{0};
        std::optional<steady_time> heard_at;
        /// Since when a host of the group is silent.
        std::optional<steady_time> silent_since;
        /// What its time of day is ahead of ours.
        duration ahead{};
    };

    servers::asio::awaitable<void> receive();
    servers::asio::awaitable<void> keep_alive();
    void add_host(const listed_host& host);
    void update_groups();
    void take_datagram(std::string_view text);
    void take(const servers::host_digest& digest);
    void apply_load(const servers::host_digest& digest);
    void take_touches(const servers::host_digest& digest);
    /// Notes where the speaker of the group has recorded this host's usage.
    void take_recorded(const servers::digest_recorded_usage& recorded);
    void take_readings(const servers::host_digest& digest);
    [[nodiscard]] bool has_far_hosts() const;
    void send();
    /// Sends to the hosts of the group, or to all others.
    void send_to(const std::string& text, bool is_near);
    void pass_news_on(std::uint64_t from, const platform::store_page& page);
    void drop_silent();
    void drop_entries_of_gone();
    /// Returns whether this host is the first of its group: it reads and speaks for it.
    [[nodiscard]] bool is_first_alive() const;
    void correct_time();

    servers::serving_state* m_state;
    configuration_follower* m_configuration;
    server_list_follower* m_servers;
    lease_keeper* m_lease;
    host_gossip_options m_options;
    std::shared_ptr<spdlog::logger> m_log;
    usage_copier m_usage_copier;
    group_usage_recorder m_group_usage;
    digest_builder m_writer;
    host_list m_hosts;
    boost::asio::ip::udp::socket m_socket;
    boost::asio::steady_timer m_send_timer;
    bool m_is_scheduled{false};
    /// The next digests carry what is told less often, and go to other groups, too.
    bool m_is_keep_alive_due{false};
    std::map<std::string, other_host> m_others;
};

} // namespace dragonflywell::daemon
