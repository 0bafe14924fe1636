#pragma once

#include <atomic>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/execution_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <compare>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/clock.hpp"
#include "core/endpoint.hpp"
#include "servers/byte_budget.hpp"
#include "servers/exchange_history.hpp"
#include "servers/http_types.hpp"

namespace dragonflywell::servers {

/// Limit on the bytes that are read ahead of the parser. A response header, a chunk size or trailers that do not fit
/// are rejected.
inline constexpr std::size_t max_read_ahead_bytes = 128UL * 1024;

/// A connection to one backend server, with the bytes that were read ahead of the parser.
struct backend_connection {
    explicit backend_connection(const asio::any_io_executor& executor) : stream(executor), send_end(executor) {}

    beast::tcp_stream stream;
    beast::flat_buffer buffer{max_read_ahead_bytes};
    /// The bytes being sent. They stay until the write is complete, even if the exchange ends earlier.
    std::string outgoing;
    bool is_sending{false};
    /// Why the last write failed. The error of a broken connection is reported once, so that a read that follows the
    /// write sees an ordinary end of the connection instead.
    error_code send_fault;
    /// Is cancelled when a write ends.
    asio::steady_timer send_end;
    /// Whether it has carried an exchange before; the server may have closed it since then.
    bool is_reused{false};
    exchange_history history;
    /// How long the server keeps it open while idle, if the server announced that.
    std::optional<duration> keep_alive_timeout;
};

struct backend_connection_pool_options {
    std::size_t max_idle_per_server{64};
    duration connect_timeout{std::chrono::seconds(1)};
    /// How long sent bytes may stay unacknowledged before the connection is considered lost.
    duration unacknowledged_timeout{std::chrono::seconds(3)};
    /// An idle connection is not reused after this time, because a network device on the path may have dropped its
    /// state.
    duration max_idle_time{std::chrono::seconds(20)};
    /// Limit on the bytes of responses that are buffered until they are complete, over all exchanges.
    std::size_t max_buffered_bytes{32UL * 1024 * 1024};
};

/// Pool of idle connections to backend servers. Thread safe.
///
/// The timers of a connection run on its io_context, so the pool hands it only to coroutines of that context.
class backend_connection_pool {
public:
    backend_connection_pool(const clock_source& time, backend_connection_pool_options options);

    /// Returns an idle connection of the context of the executor, or null. `request_id`: of the request that it is to
    /// carry, if its response is matched by id; empty if the request has none.
    [[nodiscard]] std::shared_ptr<backend_connection> take_idle(const endpoint& server,
                                                                const asio::any_io_executor& executor,
                                                                std::optional<std::string_view> request_id = {});

    /// Opens a new connection, within `limit` and the connect timeout of the options. On failure, returns null and sets
    /// `fault`.
    asio::awaitable<std::shared_ptr<backend_connection>> connect(const endpoint& server, duration limit,
                                                                 error_code& fault);

    /// Returns a connection to the pool. Precondition: its last exchange is complete.
    void put_idle(const endpoint& server, std::shared_ptr<backend_connection> connection);

    /// Returns the number of connections opened so far.
    [[nodiscard]] std::uint64_t get_opened() const noexcept { return m_opened; }

    /// Closes the idle connections to a server that became unreachable.
    void drop_idle(const endpoint& server);

    /// Closes the idle connections that have expired.
    void close_expired();

    /// Closes all idle connections. Must be called while their contexts still exist.
    void clear();

    /// Returns the budget of buffered responses.
    [[nodiscard]] const byte_budget& get_buffer_budget() const noexcept { return m_buffer_budget; }

    /// Returns the clock that the deadlines of exchanges refer to.
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
    byte_budget m_buffer_budget{m_options.max_buffered_bytes};
    std::atomic<std::uint64_t> m_opened{0};
    std::mutex m_mutex;
    std::map<idle_key, std::vector<idle_connection>> m_idle;
};

} // namespace dragonflywell::servers
