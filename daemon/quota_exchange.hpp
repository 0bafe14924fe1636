#pragma once

#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <string>

#include "daemon/host_list.hpp"
#include "gossip/datagram_queue.hpp"
#include "policy/owner_order.hpp"
#include "servers/organisation_quotas.hpp"

namespace dragonflywell::daemon {

/// Sends and receives the messages about quotas. Sends nothing while the configuration has none. Used on one event
/// loop.
class quota_exchange {
public:
    /// `own`: this host. `send` is called when the queue has something to send. Preconditions: quotas, clock and queue
    /// outlive the exchange.
    quota_exchange(boost::asio::io_context& loop, servers::organisation_quotas& quotas, const clock_source& time,
                   gossip::datagram_queue& queue, policy::owner_candidate own, std::function<void()> send);

    void start();

    void add_host(const listed_host& host);
    void remove_host(const std::string& host) { m_hosts.erase(host); }
    /// Applies the changes of the list. Called after the last one.
    void update_hosts();

    void apply(const policy::quota_request& request);
    void apply(const policy::quota_grant& grant);

private:
    struct other_host {
        boost::asio::ip::udp::endpoint address;
        std::uint32_t core_thousandths{};
    };

    /// Sends what is due, and waits until more is.
    void poll();
    void put(gossip::datagram_kind kind, std::string text, const std::string& host);

    servers::organisation_quotas* m_quotas;
    const clock_source* m_time;
    gossip::datagram_queue* m_queue;
    policy::owner_candidate m_own;
    std::function<void()> m_send;
    std::map<std::string, other_host> m_hosts;
    boost::asio::steady_timer m_timer;
};

} // namespace dragonflywell::daemon
