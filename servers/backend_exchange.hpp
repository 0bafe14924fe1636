#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string_view>

#include "core/error.hpp"
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
    exchange_failed_error(const std::string& message, exchange_phase phase, bool is_timeout, bool was_reused)
        : error(message), m_phase(phase), m_is_timeout(is_timeout), m_was_reused(was_reused) {}

    [[nodiscard]] exchange_phase get_phase() const noexcept { return m_phase; }
    /// Returns whether the backend server was silent, rather than gone.
    [[nodiscard]] bool is_timeout() const noexcept { return m_is_timeout; }
    [[nodiscard]] bool was_reused() const noexcept { return m_was_reused; }

private:
    exchange_phase m_phase;
    bool m_is_timeout;
    bool m_was_reused;
};

struct exchange_options {
    /// Whether a pooled connection may carry it. A request that must run at most once takes a new one, because a
    /// pooled connection may be closed by the other end just as the request is written.
    bool may_reuse{true};
    /// Longest silence before the exchange is given up.
    duration progress_deadline{};
};

/// One request to one backend server, and its answer piece by piece. Used by one coroutine; not thread safe.
class backend_exchange {
public:
    /// Precondition: `pool` outlives the exchange.
    backend_exchange(backend_connection_pool& pool, endpoint server, exchange_options options);

    /// Sends the request and reads the head of the answer. Throws `exchange_failed_error`.
    asio::awaitable<void> start(const http_request& request);

    /// Returns the head of the answer. Precondition: `start` returned.
    [[nodiscard]] const http::response_header<>& get_head() const { return m_parser->get().base(); }

    /// Returns the next bytes of the body; empty when the whole answer was read. Throws `exchange_failed_error`.
    asio::awaitable<std::string_view> read_some();

private:
    [[noreturn]] void fail(const error_code& fault, exchange_phase phase, const char* what) const;

    backend_connection_pool* m_pool;
    endpoint m_server;
    exchange_options m_options;
    std::unique_ptr<backend_connection> m_connection;
    std::optional<http::response_parser<http::buffer_body>> m_parser;
    std::string m_piece;
};

} // namespace dragonflywell::servers
