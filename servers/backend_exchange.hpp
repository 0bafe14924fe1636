#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string_view>

#include "core/error.hpp"
#include "policy/outcome.hpp"
#include "servers/backend_connection_pool.hpp"
#include "servers/response_head.hpp"

namespace dragonflywell::servers {

/// How far an exchange with a backend server got before it failed.
enum class exchange_phase {
    /// No byte of the request was written.
    before_send,
    /// The server may have received part of the request.
    after_send,
};

/// Which connection an exchange uses.
enum class connection_use : std::uint8_t {
    none,
    opened,
    /// One that carried another exchange before.
    reused,
};

[[nodiscard]] std::string_view get_name(connection_use use) noexcept;

/// Thrown when an exchange ends without a complete response.
class exchange_failed_error : public error {
public:
    exchange_failed_error(const std::string& message, exchange_phase phase, policy::retry_reason reason)
        : error(message), m_phase(phase), m_reason(reason) {}

    [[nodiscard]] exchange_phase get_phase() const noexcept { return m_phase; }
    /// Returns the reason under which a retry after this failure is counted.
    [[nodiscard]] policy::retry_reason get_reason() const noexcept { return m_reason; }

private:
    exchange_phase m_phase;
    policy::retry_reason m_reason;
};

/// How the response to a request is recognised at a server that may send a response more than once.
struct response_matching {
    /// The id that the response repeats; empty for a request without one, such as a call about a KV cache.
    std::string request_id;
    std::function<response_owner(const http::response_header<>&)> find_owner;
    /// Whether nothing is concluded from the response, so that it may as well be a copy of an earlier one.
    bool accepts_copies{false};
};

struct exchange_options {
    /// Whether a pooled connection may be used. A request that must run at most once uses a new connection, because the
    /// server may close a pooled one while the request is being written.
    bool may_reuse_connection{true};
    /// Maximum time without progress before the exchange fails.
    duration progress_timeout{};
    /// Time at which the exchange fails even if it makes progress.
    steady_time deadline{steady_time::max()};
    /// Whether a response without a length, which ends when the connection closes, is accepted as complete.
    bool accepts_unframed_response{false};
    /// Without it, the next response on the connection is taken for the one to this request. With it, responses to
    /// other requests are skipped, one of which this cannot be told fails the exchange, and only a connection on which
    /// the response can be told from copies of earlier ones is reused.
    std::optional<response_matching> matching{};
    /// Called with the header of the response to this request. May be empty.
    std::function<void(const http::response_header<>&)> on_response_head{};
    /// Returns whether the request may still be sent; called once the connection is established. An empty function
    /// permits it.
    std::function<bool()> may_send{};
};

/// One request to one backend server, and its response in pieces. Used by one coroutine; not thread safe.
class backend_exchange {
public:
    /// Precondition: `pool` outlives the exchange.
    backend_exchange(backend_connection_pool& pool, endpoint server, exchange_options options);

    /// Sends the request and reads the response header, which may arrive before the whole request is sent. Throws
    /// `exchange_failed_error`, also for a request that is not sendable, and for a response without a length unless the
    /// options accept it.
    asio::awaitable<void> start(const http_request& request);

    /// Changes the time limits of the operations that follow. A caller that learns how large a response is uses it to
    /// let the transfer go on while bytes arrive.
    void set_time_limits(duration progress_timeout, steady_time deadline);

    /// Returns when bytes of the response arrived last; nothing before the first ones.
    [[nodiscard]] std::optional<steady_time> get_last_progress_time() const noexcept { return m_progressed_at; }

    /// Returns the number of body bytes received so far, also after a failure.
    [[nodiscard]] std::size_t get_received_bytes() const noexcept { return m_received_bytes; }

    /// Returns whether any byte of the request may have reached the server.
    [[nodiscard]] bool is_sent() const noexcept { return m_is_sent; }

    [[nodiscard]] connection_use get_connection_use() const noexcept { return m_connection_use; }

    /// Returns how many responses to other requests were skipped so far.
    [[nodiscard]] std::size_t get_skipped_responses() const noexcept { return m_skipped_responses; }

    /// Returns the response header. Precondition: `start` has returned.
    [[nodiscard]] const http::response_header<>& get_head() const { return m_parser->get().base(); }

    /// Returns the next bytes of the body; empty when the response is complete. Throws `exchange_failed_error`.
    asio::awaitable<std::string_view> read_some();

    /// Returns the rest of the body. Throws `exchange_failed_error`, also when the rest is longer than `limit_bytes` or
    /// exceeds the shared buffer budget.
    asio::awaitable<std::string> read_rest(std::size_t limit_bytes);

    /// Returns the share of the buffer budget that the body of `read_rest` holds. Whoever keeps the body for longer
    /// than the exchange lives keeps the share with it; null when `read_rest` has not been called.
    [[nodiscard]] std::unique_ptr<byte_budget::share> release_buffered_share() { return std::move(m_buffered); }

    /// Reads the end of a response whose content is complete, so that its connection can be reused. Closes the
    /// connection when further data or nothing arrives within a short time. Does not throw.
    asio::awaitable<void> drain();

    /// Closes the connection, so that a pending operation fails and the backend server notices the disconnect.
    void cancel();

private:
    asio::awaitable<void> connect();
    /// Returns the id that a reused connection must not have carried; nothing if any connection serves.
    [[nodiscard]] std::optional<std::string_view> get_request_id_to_match() const;
    /// Reads response headers until one belongs to this request.
    asio::awaitable<void> read_own_head(bool is_head_request);
    void send(const http_request& request);
    /// Reads the final response header, skipping interim ones. Returns its size.
    asio::awaitable<std::size_t> read_head(bool is_head_request);
    asio::awaitable<void> skip_foreign_response();
    /// Reads the next bytes of the body. Returns their number.
    asio::awaitable<std::size_t> read_piece();
    /// Waits until the request is sent. Throws `exchange_failed_error` if that fails: the end of the connection then
    /// does not show that a response without a length is complete.
    asio::awaitable<void> require_request_sent();
    /// Counts bytes that do not belong to the response to this request. Throws `exchange_failed_error` when there are
    /// too many.
    void count_skipped_bytes(std::size_t count);
    void return_connection();
    void set_progress_timeout();
    /// Returns the time limit of one operation.
    [[nodiscard]] duration get_time_limit() const;
    [[nodiscard]] duration get_time_left() const;
    [[noreturn]] void fail(const error_code& fault, exchange_phase phase, const char* operation) const;

    backend_connection_pool* m_pool;
    endpoint m_server;
    exchange_options m_options;
    std::shared_ptr<backend_connection> m_connection;
    std::optional<response_parser> m_parser;
    std::string m_piece;
    /// What the body of `read_rest` holds, also while it is sent to the caller.
    std::unique_ptr<byte_budget::share> m_buffered;
    std::size_t m_skipped_bytes{0};
    std::size_t m_received_bytes{0};
    std::optional<steady_time> m_progressed_at;
    connection_use m_connection_use{connection_use::none};
    std::size_t m_skipped_responses{0};
    bool m_is_sent{false};
    bool m_is_cancelled{false};
};

} // namespace dragonflywell::servers
