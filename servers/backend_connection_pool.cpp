#include "servers/backend_connection_pool.hpp"

#include <boost/asio/ip/address.hpp>
#include <boost/asio/this_coro.hpp>

namespace dragonflywell::servers {

backend_connection_pool::backend_connection_pool(const clock_source& time, backend_connection_pool_options options)
    : m_time(&time), m_options(options) {}

std::unique_ptr<backend_connection> backend_connection_pool::take_idle(const endpoint& server,
                                                                       const asio::any_io_executor& executor) {
    const std::scoped_lock lock(m_mutex);
    std::vector<idle_connection>& idle = m_idle[{.context = &executor.context(), .server = server}];
    while (!idle.empty()) {
        idle_connection newest = std::move(idle.back());
        idle.pop_back();
        if (m_time->now() - newest.since <= m_options.most_idle_time) {
            return std::move(newest.connection);
        }
    }
    return nullptr;
}

asio::awaitable<std::unique_ptr<backend_connection>> backend_connection_pool::connect(const endpoint& server,
                                                                                      error_code& fault) {
    auto connection = std::make_unique<backend_connection>(co_await asio::this_coro::executor);
    connection->stream.expires_after(m_options.connect_timeout);
    const asio::ip::tcp::endpoint peer(asio::ip::make_address(server.address), server.port);
    co_await connection->stream.async_connect(peer, store_error(fault));
    if (fault) {
        co_return nullptr;
    }
    error_code ignored;
    connection->stream.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
    co_return connection;
}

void backend_connection_pool::put_idle(const endpoint& server, std::unique_ptr<backend_connection> connection) {
    connection->is_reused = true;
    connection->stream.expires_never();
    const asio::execution_context* context = &connection->stream.get_executor().context();
    const std::scoped_lock lock(m_mutex);
    std::vector<idle_connection>& idle = m_idle[{.context = context, .server = server}];
    if (idle.size() < m_options.most_idle_per_server) {
        idle.push_back({.connection = std::move(connection), .since = m_time->now()});
    }
}

void backend_connection_pool::clear() {
    const std::scoped_lock lock(m_mutex);
    m_idle.clear();
}

} // namespace dragonflywell::servers
