#pragma once

#include <atomic>
#include <optional>
#include <spdlog/logger.h>

#include "servers/caller_table.hpp"
#include "servers/http_handler.hpp"
#include "servers/http_server.hpp"

namespace dragonflywell::servers {

/// What the connections of one server share.
struct connection_context {
    http_handler* handler{};
    const caller_limits* limits{};
    std::shared_ptr<spdlog::logger> log;
    std::atomic<bool> is_stopping{false};
    std::atomic<bool> is_closing{false};
    std::atomic<std::int64_t> active_requests{0};
    std::atomic<std::int64_t> open_connections{0};
};

/// Reads and answers the requests of one connection, one at a time. Used on one event loop.
class caller_connection {
public:
    /// Precondition: `context` and `table` outlive the connection.
    caller_connection(connection_context& context, caller_table& table, asio::ip::tcp::socket socket);
    caller_connection(const caller_connection&) = delete;
    caller_connection& operator=(const caller_connection&) = delete;
    caller_connection(caller_connection&&) = delete;
    caller_connection& operator=(caller_connection&&) = delete;
    ~caller_connection() = default;

    /// Serves until either side closes the connection.
    asio::awaitable<void> serve();

    /// Ends the wait for the next request.
    void cancel_if_idle();
    /// Closes the connection because of the limits on callers.
    void close_for_limit();

    void set_id(policy::caller_limiter::connection_id id) noexcept { m_id = id; }
    [[nodiscard]] policy::caller_limiter::connection_id get_id() const noexcept { return m_id; }

private:
    using head_parser = http::request_parser<http::buffer_body>;

    /// How reading a request ended.
    enum class read_result : std::uint8_t {
        complete,
        /// The connection has been closed, or its caller has; nothing is sent.
        closed,
        /// The request is refused; `m_refusal` is the response.
        refused,
    };

    /// Waits for the first byte of a request. Returns whether it arrived.
    asio::awaitable<bool> wait_for_request();
    /// Reads and handles one request. Returns whether the connection can be reused.
    asio::awaitable<bool> serve_one();
    asio::awaitable<read_result> read_request(http_request& request);
    /// Reads until the buffer has a whole head, or as much as is permitted.
    asio::awaitable<read_result> receive_head();
    asio::awaitable<read_result> read_head(head_parser& parser);
    asio::awaitable<read_result> read_body(head_parser& parser, std::string& body);
    asio::awaitable<read_result> read_sized_body(std::uint64_t length, std::string& body);
    asio::awaitable<read_result> read_chunked_body(head_parser& parser, std::string& body);
    asio::awaitable<bool> handle(http_request request);
    /// Counts what the request holds. Returns whether the budget permits it, once what was closed for it is freed.
    asio::awaitable<bool> hold(std::size_t received, std::size_t held);
    /// Enlarges the body so that it has room for another byte, at most to `max_bytes`. Returns whether the budget
    /// permits it.
    asio::awaitable<bool> grow(std::string& body, std::size_t received, std::size_t max_bytes);

    /// Prepare the refusal that is sent once what the request held is freed.
    read_result refuse_fault(error_code read_fault, caller_limit_reason if_slow);
    read_result refuse_for_room();
    read_result refuse(http::status status, std::string_view code, std::string_view message);
    asio::awaitable<void> send_refusal();
    /// Reads and discards what the caller still sends. Closing with unread input would reset the connection and lose
    /// the response.
    asio::awaitable<void> drain_input();

    connection_context* m_context;
    caller_table* m_table;
    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer;
    policy::caller_limiter::connection_id m_id{0};
    steady_time m_head_began_at{};
    std::size_t m_head_bytes{0};
    std::optional<http_response> m_refusal;
    bool m_is_idle{false};
    bool m_is_closed{false};
};

} // namespace dragonflywell::servers
