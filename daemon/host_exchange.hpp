#pragma once

#include <array>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <string>

#include "core/log.hpp"
#include "daemon/store_dependency.hpp"
#include "platform/store_client.hpp"
#include "servers/host_digest.hpp"
#include "servers/serving_state.hpp"

namespace dragonflywell::daemon {

struct host_exchange_options {
    std::string host;
    std::uint64_t incarnation{};
    /// Where this host takes the datagrams of others.
    endpoint listen;
};

/// Tells the other hosts what this one has sent to backend servers, and takes what they tell. Hosts find each other in
/// the store; nothing here has to arrive. Used on one event loop.
class host_exchange {
public:
    /// Binds the socket. Throws `boost::system::system_error`. Preconditions: store and state outlive the exchange.
    host_exchange(boost::asio::io_context& loop, platform::store_client& store, servers::serving_state& state,
                  host_exchange_options options);

    /// Starts to send, to receive and to look for other hosts.
    void start();

    /// Sends what has changed soon, together with what changes until then.
    void schedule();

private:
    /// Another host, as listed and as heard of.
    struct other_host {
        boost::asio::ip::udp::endpoint address;
        std::uint64_t incarnation{0};
        std::uint64_t sequence{0};
        std::optional<steady_time> heard_at;
        /// What its time of day is ahead of ours.
        duration ahead{};
        /// What it has counted, as told last.
        std::map<std::int64_t, policy::window_counts> usage;
    };

    servers::asio::awaitable<void> follow_hosts();
    servers::asio::awaitable<void> announce();
    servers::asio::awaitable<void> receive();
    servers::asio::awaitable<void> keep_alive();
    void take_hosts(const platform::store_page& page);
    void take(const servers::host_digest& digest);
    void apply_load(const servers::host_digest& digest);
    void send();
    [[nodiscard]] servers::host_digest make_digest();
    void drop_silent();
    /// Returns whether this host looks after what silent ones leave behind.
    [[nodiscard]] bool is_first_alive() const;
    /// Records what a host had counted that fell silent: it may have been killed before it could do so.
    servers::asio::awaitable<void> record_usage_of(std::string host, std::uint64_t incarnation,
                                                   std::map<std::int64_t, policy::window_counts> usage);
    void correct_time();

    platform::store_client* m_store;
    servers::serving_state* m_state;
    host_exchange_options m_options;
    std::shared_ptr<spdlog::logger> m_log;
    store_dependency m_dependency;
    boost::asio::ip::udp::socket m_socket;
    boost::asio::steady_timer m_send_timer;
    bool m_is_scheduled{false};
    std::uint64_t m_sequence{0};
    bool m_tells_usage{false};
    std::optional<std::uint64_t> m_next;
    std::map<std::string, other_host> m_others;
};

} // namespace dragonflywell::daemon
