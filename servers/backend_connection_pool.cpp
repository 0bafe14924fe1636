#include "servers/backend_connection_pool.hpp"

#include <algorithm>
#include <array>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/this_coro.hpp>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace dragonflywell::servers {

namespace {

/// Safety margin before the announced keep-alive timeout, because client and server start their timers at different
/// moments.
constexpr duration keep_alive_margin = std::chrono::milliseconds(500);

/// Returns whether an idle connection has received nothing: neither a close nor unexpected bytes.
bool has_no_input(backend_connection& connection) {
    std::array<char, 1> byte{};
    error_code fault;
    asio::ip::tcp::socket& socket = connection.stream.socket();
    socket.non_blocking(true, fault);
    socket.receive(asio::buffer(byte), asio::ip::tcp::socket::message_peek, fault);
    return fault == asio::error::would_block;
}

void set_unacknowledged_timeout(asio::ip::tcp::socket& socket, duration timeout) {
    using user_timeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(timeout).count();
    error_code ignored;
    socket.set_option(user_timeout(static_cast<int>(milliseconds)), ignored);
}

} // namespace

backend_connection_pool::backend_connection_pool(const clock_source& time, backend_connection_pool_options options)
    : m_time(&time), m_options(options) {}

std::shared_ptr<backend_connection> backend_connection_pool::take_idle(const endpoint& server,
                                                                       const asio::any_io_executor& executor,
                                                                       std::optional<std::string_view> request_id) {
    const std::scoped_lock lock(m_mutex);
    std::vector<idle_connection>& idle = m_idle[{.context = &executor.context(), .server = server}];
    // The newest one first: the server is least likely to have closed it.
    for (std::size_t index = idle.size(); index-- > 0;) {
        if (request_id && !idle[index].connection->history.may_carry(*request_id)) {
            continue;
        }
        const idle_connection newest = std::move(idle[index]);
        idle.erase(idle.begin() + static_cast<std::ptrdiff_t>(index));
        if (m_time->now() < newest.usable_until && has_no_input(*newest.connection)) {
            return newest.connection;
        }
    }
    return nullptr;
}

asio::awaitable<std::shared_ptr<backend_connection>>
backend_connection_pool::connect(const endpoint& server, duration limit, error_code& fault) {
    auto connection = std::make_shared<backend_connection>(co_await asio::this_coro::executor);
    connection->stream.expires_after(std::clamp(limit, duration::zero(), m_options.connect_timeout));
    const asio::ip::tcp::endpoint peer(asio::ip::make_address(server.address), server.port);
    co_await connection->stream.async_connect(peer, store_error(fault));
    if (fault) {
        co_return nullptr;
    }
    error_code ignored;
    connection->stream.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
    set_unacknowledged_timeout(connection->stream.socket(), m_options.unacknowledged_timeout);
    ++m_opened;
    co_return connection;
}

void backend_connection_pool::put_idle(const endpoint& server, std::shared_ptr<backend_connection> connection) {
    connection->is_reused = true;
    connection->stream.expires_never();
    const asio::execution_context* context = &connection->stream.get_executor().context();
    const std::scoped_lock lock(m_mutex);
    std::vector<idle_connection>& idle = m_idle[{.context = context, .server = server}];
    duration usable_for = m_options.max_idle_time;
    if (connection->keep_alive_timeout) {
        usable_for = std::min(usable_for, *connection->keep_alive_timeout - keep_alive_margin);
    }
    if (idle.size() < m_options.max_idle_per_server && usable_for > duration::zero() &&
        !connection->history.is_full()) {
        idle.push_back({.connection = std::move(connection), .usable_until = m_time->now() + usable_for});
    }
}

void backend_connection_pool::drop_idle(const endpoint& server) {
    const std::scoped_lock lock(m_mutex);
    std::erase_if(m_idle, [&](const auto& item) { return item.first.server == server; });
}

void backend_connection_pool::close_expired() {
    const std::scoped_lock lock(m_mutex);
    const steady_time now = m_time->now();
    for (auto& [key, idle] : m_idle) {
        std::erase_if(idle, [&](const idle_connection& item) { return now >= item.usable_until; });
    }
    std::erase_if(m_idle, [](const auto& item) { return item.second.empty(); });
}

void backend_connection_pool::clear() {
    const std::scoped_lock lock(m_mutex);
    m_idle.clear();
}

} // namespace dragonflywell::servers
