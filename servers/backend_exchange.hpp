#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string_view>

#include "core/error.hpp"
#include "policy/outcome.hpp"
#include "servers/backend_connection_pool.hpp"

namespace dragonflywell::servers {

/// How far an exchange with a backend server came before it failed.
enum class exchange_phase {
    /// No byte of the request was written.
    before_send,
    /// Some of the request may have been received.
    after_send,
};

/// An exchange that did not yield a whole answer.
class exchange_failed_error : public error {
public:
    exchange_failed_error(const std::string& message, exchange_phase phase, policy::retry_reason reason)
        : error(message), m_phase(phase), m_reason(reason) {}

    [[nodiscard]] exchange_phase get_phase() const noexcept { return m_phase; }
    /// Returns under which reason a retry after this failure is counted.
    [[nodiscard]] policy::retry_reason get_reason() const noexcept { return m_reason; }

private:
    exchange_phase m_phase;
    policy::retry_reason m_reason;
};

struct exchange_options {
    /// Whether a pooled connection may carry it. A request that must run at most once takes a new one, because a
    /// pooled connection may be closed by the other end just as the request is written.
    bool may_reuse_connection{true};
    /// Longest silence before the exchange is given up.
    duration progress_timeout{};
    /// When the exchange is given up even though it makes progress.
    steady_time deadline{steady_time::max()};
    /// Whether an answer that ends with its connection, rather than at a length, is taken as whole.
    bool accepts_unframed_response{false};
    /// Tells whether an answer belongs to this request. One that doesn't is read over; an empty function takes any.
    std::function<bool(const http::response_header<>&)> is_matching_response{};
    /// Tells whether the request may still be sent, asked when the connection is there; an empty function permits it.
    std::function<bool()> may_send{};
};

/// One request to one backend server, and its answer piece by piece. Used by one coroutine; not thread safe.
class backend_exchange {
public:
    /// Precondition: `pool` outlives the exchange.
    backend_exchange(backend_connection_pool& pool, endpoint server, exchange_options options);

    /// Sends the request and reads the head of the answer, which may come before all of the request is sent.
    /// Throws `exchange_failed_error`.
    asio::awaitable<void> start(const http_request& request);

    /// Returns whether a byte of the request may have reached the server.
    [[nodiscard]] bool is_sent() const noexcept { return m_is_sent; }

    /// Returns the head of the answer. Precondition: `start` returned.
    [[nodiscard]] const http::response_header<>& get_head() const { return m_parser->get().base(); }

    /// Returns the next bytes of the body; empty when the whole answer was read. Throws `exchange_failed_error`; also
    /// for an answer that says nowhere how long it is, unless the options accept that.
    asio::awaitable<std::string_view> read_some();

    /// Returns the rest of the body. Throws `exchange_failed_error`, also when it is longer than `limit_bytes`.
    asio::awaitable<std::string> read_rest(std::size_t limit_bytes);

    /// Takes the end of an answer that is known to be whole, so that its connection can carry another exchange. Closes
    /// the connection when more than that end comes, or nothing soon. Does not throw.
    asio::awaitable<void> drain();

    /// Closes the connection, so that an operation under way fails and the backend server sees that nobody reads on.
    void cancel();

private:
    asio::awaitable<void> connect();
    void send(const http_request& request);
    /// Returns the size of the head that counts.
    asio::awaitable<std::size_t> read_head(bool is_head_request);
    asio::awaitable<void> skip_foreign_answer();
    asio::awaitable<std::size_t> read_piece();
    /// Counts bytes that are no part of this request's answer. Throws `exchange_failed_error` when they are too many.
    void add_unused_bytes(std::size_t count);
    void give_back();
    void limit_silence();
    [[nodiscard]] duration get_time_left() const;
    [[noreturn]] void fail(const error_code& fault, exchange_phase phase, const char* what) const;

    backend_connection_pool* m_pool;
    endpoint m_server;
    exchange_options m_options;
    std::shared_ptr<backend_connection> m_connection;
    std::optional<http::response_parser<http::buffer_body>> m_parser;
    std::string m_piece;
    std::size_t m_unused_bytes{0};
    bool m_is_sent{false};
    bool m_is_cancelled{false};
};

} // namespace dragonflywell::servers
