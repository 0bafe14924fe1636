#pragma once

#include <atomic>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/execution_context.hpp>
#include <compare>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "core/clock.hpp"
#include "core/endpoint.hpp"
#include "servers/byte_budget.hpp"
#include "servers/http_types.hpp"

namespace dragonflywell::servers {

/// Most bytes that are read ahead of what was parsed: a head, the size of a chunk or trailers that do not end by then
/// belong to no answer.
inline constexpr std::size_t max_read_ahead_bytes = 128UL * 1024;

/// A connection to one backend server, with the bytes read ahead of what was parsed.
struct backend_connection {
    explicit backend_connection(const asio::any_io_executor& executor) : stream(executor) {}

    beast::tcp_stream stream;
    beast::flat_buffer buffer{max_read_ahead_bytes};
    /// What is being sent; stays until the send is over, whatever became of the exchange.
    std::string outgoing;
    bool is_sending{false};
    /// Whether it has carried an exchange before; the other end may have closed it since.
    bool is_reused{false};
    /// How long the other end keeps it open without a request, where it said so.
    std::optional<duration> keep_alive_timeout;
};

struct backend_connection_pool_options {
    std::size_t max_idle_per_server{64};
    duration connect_timeout{std::chrono::seconds(1)};
    /// How long sent bytes may stay unacknowledged before the connection counts as lost.
    duration unacknowledged_timeout{std::chrono::seconds(3)};
    /// An idle connection older than this is not used: something between the ends may have forgotten it.
    duration max_idle_time{std::chrono::seconds(20)};
    /// Most bytes of answers that are held at a time until they are whole, for all exchanges.
    std::size_t max_buffered_bytes{32UL * 1024 * 1024};
};

/// Idle connections to backend servers. Thread safe.
///
/// A connection's timers run on the context it was made on, so it is handed only to coroutines of that context.
class backend_connection_pool {
public:
    backend_connection_pool(const clock_source& time, backend_connection_pool_options options);

    /// Returns an idle connection of the executor's context, or null.
    [[nodiscard]] std::shared_ptr<backend_connection> take_idle(const endpoint& server,
                                                                const asio::any_io_executor& executor);

    /// Opens a new connection, within `limit` and the timeout of the options. Returns null and sets `fault` when that
    /// fails.
    asio::awaitable<std::shared_ptr<backend_connection>> connect(const endpoint& server, duration limit,
                                                                 error_code& fault);

    /// Gives back a connection whose last exchange was complete.
    void put_idle(const endpoint& server, std::shared_ptr<backend_connection> connection);

    /// Returns how many connections were opened.
    [[nodiscard]] std::uint64_t get_opened() const noexcept { return m_opened; }

    /// Closes the idle connections to a server whose path failed.
    void drop_idle(const endpoint& server);

    /// Closes idle connections that are not used any more.
    void close_expired();

    /// Closes all idle connections. To be called while the contexts that they were made on still exist.
    void clear();

    /// Returns what bounds the answers that are held until they are whole.
    [[nodiscard]] const byte_budget& get_buffer_budget() const noexcept { return m_gathered; }

    /// Returns the clock by which deadlines of exchanges are kept.
    [[nodiscard]] const clock_source& get_time() const noexcept { return *m_time; }

private:
    struct idle_connection {
        std::shared_ptr<backend_connection> connection;
        steady_time usable_until;
    };

    struct idle_key {
        const asio::execution_context* context{};
        endpoint server;

        friend auto operator<=>(const idle_key&, const idle_key&) = default;
    };

    const clock_source* m_time;
    backend_connection_pool_options m_options;
    byte_budget m_gathered{m_options.max_buffered_bytes};
    std::atomic<std::uint64_t> m_opened{0};
    std::mutex m_mutex;
    std::map<idle_key, std::vector<idle_connection>> m_idle;
};

} // namespace dragonflywell::servers
