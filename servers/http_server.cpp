#include "servers/http_server.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>

#include "core/log.hpp"
#include "servers/caller_connection.hpp"
#include "servers/caller_table.hpp"

namespace dragonflywell::servers {

using asio::ip::tcp;

namespace {

constexpr duration accept_retry_delay = std::chrono::milliseconds(50);

/// One context and its connections, used only by its thread.
struct worker_state {
    asio::io_context* context{};
    caller_table connections;
};

std::vector<std::unique_ptr<worker_state>> make_workers(const std::vector<asio::io_context*>& contexts,
                                                        const http_server_options& options,
                                                        const std::shared_ptr<spdlog::logger>& log) {
    std::vector<std::unique_ptr<worker_state>> workers;
    workers.reserve(contexts.size());
    for (asio::io_context* context : contexts) {
        workers.push_back(std::make_unique<worker_state>(
            worker_state{.context = context, .connections = caller_table(options.limiter, options.metrics, log)}));
    }
    return workers;
}

} // namespace

struct http_server::shared_state : std::enable_shared_from_this<shared_state> {
    shared_state(const std::vector<asio::io_context*>& contexts, http_handler& handler, http_server_options options)
        : m_options(std::move(options)), m_log(get_logger("http")), m_workers(make_workers(contexts, m_options, m_log)),
          m_acceptor(*contexts.front()) {
        m_connections.handler = &handler;
        m_connections.limits = &m_options.limits;
        m_connections.log = m_log;
    }

    void listen() {
        const tcp::endpoint address(asio::ip::make_address(m_options.listen.address), m_options.listen.port);
        m_acceptor.open(address.protocol());
        m_acceptor.set_option(asio::socket_base::reuse_address(true));
        m_acceptor.bind(address);
        m_acceptor.listen();
        m_port = m_acceptor.local_endpoint().port();
    }

    asio::awaitable<void> accept(std::shared_ptr<shared_state> /*self*/) {
        while (!m_connections.is_stopping) {
            error_code fault;
            worker_state& worker = *m_workers[m_next_worker++ % m_workers.size()];
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
        auto connection = std::make_unique<caller_connection>(m_connections, worker.connections, std::move(socket));
        asio::co_spawn(*worker.context, serve(shared_from_this(), std::move(connection)), asio::detached);
    }

    /// Accepts the connections that the kernel has already established, because closing the listener resets them.
    void accept_backlog() {
        error_code fault;
        m_acceptor.non_blocking(true, fault);
        while (!fault) {
            worker_state& worker = *m_workers[m_next_worker++ % m_workers.size()];
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
    static asio::awaitable<void> serve(std::shared_ptr<shared_state> /*self*/,
                                       std::unique_ptr<caller_connection> connection) {
        co_await connection->serve();
    }

    http_server_options m_options;
    std::shared_ptr<spdlog::logger> m_log;
    std::vector<std::unique_ptr<worker_state>> m_workers;
    std::size_t m_next_worker{0};
    tcp::acceptor m_acceptor;
    std::uint16_t m_port{0};
    connection_context m_connections;
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
    m_state->m_connections.is_closing = true;
}

void http_server::stop() {
    disable_keep_alive();
    if (m_state->m_connections.is_stopping.exchange(true)) {
        return;
    }
    for (const std::unique_ptr<worker_state>& worker : m_state->m_workers) {
        asio::post(*worker->context, [state = m_state, own = worker.get()] { own->connections.cancel_idle(); });
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
    return m_state->m_connections.active_requests;
}

std::int64_t http_server::get_open_connections() const noexcept {
    return m_state->m_connections.open_connections;
}

} // namespace dragonflywell::servers
