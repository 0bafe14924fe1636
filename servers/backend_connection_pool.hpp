#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/execution_context.hpp>
#include <compare>
#include <map>
#include <memory>
#include <mutex>
#include <vector>

#include "core/clock.hpp"
#include "core/endpoint.hpp"
#include "servers/http_types.hpp"

namespace dragonflywell::servers {

/// A connection to one backend server, with the bytes read ahead of what was parsed.
struct backend_connection {
    explicit backend_connection(const asio::any_io_executor& executor) : stream(executor) {}

    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    /// Whether it has carried an exchange before; the other end may have closed it since.
    bool is_reused{false};
};

struct backend_connection_pool_options {
    std::size_t most_idle_per_server{64};
    duration connect_timeout{std::chrono::seconds(1)};
    /// An idle connection older than this is not used: something between the ends may have forgotten it.
    duration most_idle_time{std::chrono::seconds(20)};
};

/// Idle connections to backend servers. Thread safe.
///
/// A connection's timers run on the context it was made on, so it is handed only to coroutines of that context.
class backend_connection_pool {
public:
    backend_connection_pool(const clock_source& time, backend_connection_pool_options options);

    /// Returns an idle connection of the executor's context, or null.
    [[nodiscard]] std::unique_ptr<backend_connection> take_idle(const endpoint& server,
                                                                const asio::any_io_executor& executor);

    /// Opens a new connection. Returns null and sets `fault` when that fails.
    asio::awaitable<std::unique_ptr<backend_connection>> connect(const endpoint& server, error_code& fault);

    /// Gives back a connection whose last exchange was complete.
    void put_idle(const endpoint& server, std::unique_ptr<backend_connection> connection);

    /// Closes all idle connections. To be called while the contexts that they were made on still exist.
    void clear();

    /// Returns the clock by which deadlines of exchanges are kept.
    [[nodiscard]] const clock_source& get_time() const noexcept { return *m_time; }

private:
    struct idle_connection {
        std::unique_ptr<backend_connection> connection;
        steady_time since;
    };

    struct idle_key {
        const asio::execution_context* context{};
        endpoint server;

        friend auto operator<=>(const idle_key&, const idle_key&) = default;
    };

    const clock_source* m_time;
    backend_connection_pool_options m_options;
    std::mutex m_mutex;
    std::map<idle_key, std::vector<idle_connection>> m_idle;
};

} // namespace dragonflywell::servers
