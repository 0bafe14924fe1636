#pragma once

#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <string>

#include "daemon/host_list.hpp"
#include "gossip/datagram_queue.hpp"
#include "gossip/quota_messages.hpp"
#include "policy/owner_order.hpp"
#include "servers/shared_quotas.hpp"

namespace dragonflywell::daemon {

/// Sends and receives the messages about quotas of organisations, or about limits of servers. Sends nothing while there
/// are none. Used on one event loop.
class quota_exchange {
public:
    /// `own`: this host. `send` is called when the queue has something to send. Preconditions: quotas, clock and queue
    /// outlive the exchange.
    quota_exchange(boost::asio::io_context& loop, servers::shared_quotas& quotas, gossip::quota_subjects subjects,
                   const clock_source& time, gossip::datagram_queue& queue, policy::owner_candidate own,
                   std::function<void()> send);

    void start();

    void add_host(const listed_host& host);
    void remove_host(const std::string& host) { m_hosts.erase(host); }
    /// Applies the changes of the list. Called after the last one.
    void update_hosts();

    /// Applies a datagram if it is one of this exchange. Returns whether it is. Throws `malformed_message_error`.
    bool apply(const boost::json::object& message);

private:
    struct other_host {
        boost::asio::ip::udp::endpoint address;
        std::uint32_t core_thousandths{};
    };

    void apply_request(const policy::quota_request& request);
    /// Sends what is due, and waits until more is.
    void poll();
    void put(gossip::datagram_kind kind, std::string text, const std::string& host);

    servers::shared_quotas* m_quotas;
    gossip::quota_subjects m_subjects;
    gossip::datagram_kind m_request_kind;
    gossip::datagram_kind m_grant_kind;
    const clock_source* m_time;
    gossip::datagram_queue* m_queue;
    policy::owner_candidate m_own;
    std::function<void()> m_send;
    std::map<std::string, other_host> m_hosts;
    boost::asio::steady_timer m_timer;
};

} // namespace dragonflywell::daemon
