#include "servers/http_server.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <set>

#include "core/log.hpp"
#include "servers/caller_disconnect_monitor.hpp"
#include "servers/tcp_caller_channel.hpp"

namespace dragonflywell::servers {

using asio::ip::tcp;

namespace {

constexpr duration accept_retry_delay = std::chrono::milliseconds(50);

/// Counts one item during its lifetime.
class scoped_count {
public:
    explicit scoped_count(std::atomic<std::int64_t>& count) : m_count(&count) { ++*m_count; }
    scoped_count(const scoped_count&) = delete;
    scoped_count& operator=(const scoped_count&) = delete;
    scoped_count(scoped_count&&) = delete;
    scoped_count& operator=(scoped_count&&) = delete;
    ~scoped_count() { --*m_count; }

private:
    std::atomic<std::int64_t>* m_count;
};

/// State of one context, used only by its thread.
struct worker_state {
    asio::io_context* context{};
    /// Connections that wait for their next request.
    std::set<beast::tcp_stream*> idle;
};

std::vector<worker_state> make_workers(const std::vector<asio::io_context*>& contexts) {
    std::vector<worker_state> workers;
    workers.reserve(contexts.size());
    for (asio::io_context* context : contexts) {
        workers.push_back({.context = context, .idle = {}});
    }
    return workers;
}

} // namespace

struct http_server::shared_state : std::enable_shared_from_this<shared_state> {
    shared_state(const std::vector<asio::io_context*>& contexts, http_handler& handler, http_server_options options)
        : m_workers(make_workers(contexts)), m_handler(&handler), m_options(std::move(options)),
          m_acceptor(*contexts.front()), m_log(get_logger("http")) {}

    void listen() {
        const tcp::endpoint address(asio::ip::make_address(m_options.listen.address), m_options.listen.port);
        m_acceptor.open(address.protocol());
        m_acceptor.set_option(asio::socket_base::reuse_address(true));
        m_acceptor.bind(address);
        m_acceptor.listen();
        m_port = m_acceptor.local_endpoint().port();
    }

    asio::awaitable<void> accept(std::shared_ptr<shared_state> /*self*/) {
        while (!m_is_stopping) {
            error_code fault;
            worker_state& worker = m_workers[m_next_worker++ % m_workers.size()];
            tcp::socket socket = co_await m_acceptor.async_accept(*worker.context, store_error(fault));
            if (fault) {
                // The usual cause is that the process is out of file descriptors, so the next attempt waits.
                co_await sleep_for(accept_retry_delay);
                continue;
            }
            start_serving(worker, std::move(socket));
        }
    }

    void start_serving(worker_state& worker, tcp::socket socket) {
        error_code ignored;
        socket.set_option(tcp::no_delay(true), ignored);
        asio::co_spawn(*worker.context, serve(shared_from_this(), worker, std::move(socket)), asio::detached);
    }

    /// Accepts the connections that the kernel has already established, because closing the listener resets them.
    void accept_backlog() {
        error_code fault;
        m_acceptor.non_blocking(true, fault);
        while (!fault) {
            worker_state& worker = m_workers[m_next_worker++ % m_workers.size()];
            tcp::socket socket(*worker.context);
            m_acceptor.accept(socket, fault);
            if (!fault) {
                start_serving(worker, std::move(socket));
            }
        }
    }

    static asio::awaitable<void> sleep_for(duration length) {
        asio::steady_timer timer(co_await asio::this_coro::executor, length);
        error_code ignored;
        co_await timer.async_wait(store_error(ignored));
    }

    /// Serves one connection until either side closes it.
    asio::awaitable<void> serve(std::shared_ptr<shared_state> /*self*/, worker_state& worker, tcp::socket socket) {
        const scoped_count open_connection(m_open_connections);
        beast::tcp_stream stream(std::move(socket));
        beast::flat_buffer buffer;
        while (co_await wait_for_request(worker, stream, buffer)) {
            // A request is active from its first byte on, so that a graceful stop waits for the rest of it.
            const scoped_count active_request(m_active_requests);
            if (!co_await serve_one(stream, buffer)) {
                break;
            }
        }
        error_code ignored;
        stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
    }

    /// Waits for the first byte of a request. Returns whether it arrived.
    asio::awaitable<bool> wait_for_request(worker_state& worker, beast::tcp_stream& stream,
                                           beast::flat_buffer& buffer) {
        if (buffer.size() > 0) {
            co_return true;
        }
        error_code unavailable;
        if (m_is_stopping && stream.socket().available(unavailable) == 0) {
            co_return false;
        }
        // An idle connection keeps only a small buffer.
        constexpr std::size_t first_piece_bytes = 512;
        buffer.shrink_to_fit();
        stream.expires_after(m_options.limits.idle_timeout);
        error_code fault;
        worker.idle.insert(&stream);
        const std::size_t received =
            co_await stream.async_read_some(buffer.prepare(first_piece_bytes), store_error(fault));
        worker.idle.erase(&stream);
        buffer.commit(received);
        // A request that arrives just when idle connections are cancelled is still handled.
        error_code ignored;
        co_return received > 0 || (fault == asio::error::operation_aborted && stream.socket().available(ignored) > 0);
    }

    /// Reads and handles one request. Returns whether the connection can be reused.
    asio::awaitable<bool> serve_one(beast::tcp_stream& stream, beast::flat_buffer& buffer) {
        http::request_parser<http::string_body> parser;
        parser.header_limit(m_options.limits.header_limit_bytes);
        parser.body_limit(m_options.limits.body_limit_bytes);
        stream.expires_after(m_options.limits.io_timeout);
        error_code fault;
        co_await http::async_read(stream, buffer, parser, store_error(fault));
        if (fault) {
            co_await refuse_malformed(stream, fault);
            co_return false;
        }
        http_request request = parser.release();
        caller_disconnect_monitor monitor(stream.socket());
        tcp_caller_channel channel(stream, monitor, m_options.limits.io_timeout, request.keep_alive(), m_is_closing,
                                   request.method() == http::verb::head);
        try {
            co_await m_handler->handle(std::move(request), channel);
        } catch (const caller_disconnected_error& disconnect) {
            m_log->debug("{}", disconnect.what());
            co_return false;
        } catch (const std::exception& unexpected) {
            m_log->error("request handler failed; the connection is closed: {}", unexpected.what());
            co_return false;
        }
        co_return channel.is_reusable();
    }

    asio::awaitable<void> refuse_malformed(beast::tcp_stream& stream, error_code read_fault) {
        const bool is_too_slow = read_fault == beast::error::timeout;
        const bool is_http = read_fault.category() == make_error_code(http::error::bad_method).category();
        if ((!is_http && !is_too_slow) || read_fault == http::error::end_of_stream ||
            read_fault == http::error::partial_message) {
            co_return;
        }
        http::status status = is_too_slow ? http::status::request_timeout : http::status::bad_request;
        if (read_fault == http::error::header_limit) {
            status = http::status::request_header_fields_too_large;
        }
        if (read_fault == http::error::body_limit) {
            status = http::status::payload_too_large;
        }
        m_handler->on_malformed(status);
        http_response response(status, 11);
        response.set(http::field::content_type, "application/json");
        response.set("x-dragonflywell-outcome", "not_run");
        response.body() =
            R"({"error":{"code":"malformed_request","outcome":"not_run","message":")" + read_fault.message() + "\"}}";
        response.keep_alive(false);
        response.prepare_payload();
        stream.expires_after(m_options.limits.io_timeout);
        error_code ignored;
        co_await http::async_write(stream, response, store_error(ignored));
        co_await drain_input(stream);
    }

    /// Reads and discards what the caller still sends. Closing with unread input would reset the connection and lose
    /// the response.
    asio::awaitable<void> drain_input(beast::tcp_stream& stream) {
        constexpr std::size_t drain_limit_bytes = 1024 * 1024;
        constexpr std::size_t drain_piece_bytes = 16 * 1024;
        error_code fault;
        stream.socket().shutdown(tcp::socket::shutdown_send, fault);
        stream.expires_after(std::chrono::seconds(1));
        std::string piece(drain_piece_bytes, '\0');
        std::size_t drained = 0;
        while (!fault && drained < drain_limit_bytes) {
            drained += co_await stream.async_read_some(asio::buffer(piece), store_error(fault));
        }
    }

    std::vector<worker_state> m_workers;
    std::size_t m_next_worker{0};
    http_handler* m_handler;
    http_server_options m_options;
    tcp::acceptor m_acceptor;
    std::uint16_t m_port{0};
    std::shared_ptr<spdlog::logger> m_log;
    std::atomic<bool> m_is_stopping{false};
    std::atomic<bool> m_is_closing{false};
    std::atomic<std::int64_t> m_active_requests{0};
    std::atomic<std::int64_t> m_open_connections{0};
};

http_server::http_server(const std::vector<asio::io_context*>& contexts, http_handler& handler,
                         http_server_options options)
    : m_state(std::make_shared<shared_state>(contexts, handler, std::move(options))) {}

http_server::~http_server() {
    stop();
}

void http_server::start() {
    m_state->listen();
    asio::co_spawn(m_state->m_acceptor.get_executor(), m_state->accept(m_state), asio::detached);
}

void http_server::set_limits(const caller_limits& limits) {
    m_state->m_options.limits = limits;
}

void http_server::disable_keep_alive() {
    m_state->m_is_closing = true;
}

void http_server::stop() {
    disable_keep_alive();
    if (m_state->m_is_stopping.exchange(true)) {
        return;
    }
    for (worker_state& worker : m_state->m_workers) {
        asio::post(*worker.context, [state = m_state, &worker] {
            for (beast::tcp_stream* idle : worker.idle) {
                idle->cancel();
            }
        });
    }
    asio::post(m_state->m_acceptor.get_executor(), [state = m_state] {
        state->accept_backlog();
        error_code ignored;
        state->m_acceptor.close(ignored);
    });
}

std::uint16_t http_server::get_port() const {
    return m_state->m_port;
}

std::int64_t http_server::get_active_requests() const noexcept {
    return m_state->m_active_requests;
}

std::int64_t http_server::get_open_connections() const noexcept {
    return m_state->m_open_connections;
}

} // namespace dragonflywell::servers
