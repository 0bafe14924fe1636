#include "soak/fault_proxy.hpp"

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>

#include "servers/sleep.hpp"

namespace dragonflywell::soak {

using asio::ip::tcp;
using servers::error_code;
using servers::store_error;

namespace {

constexpr duration link_delay = std::chrono::milliseconds(120);
/// Interval at which held data checks whether the link has recovered.
constexpr duration poll_interval = std::chrono::milliseconds(20);
constexpr std::size_t piece_bytes = 16UL * 1024;

void reset(tcp::socket& socket) {
    error_code ignored;
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

bool holds_back(link_state state, bool is_response) {
    return state == link_state::unresponsive || (state == link_state::one_way && is_response);
}

} // namespace

fault_proxy::fault_proxy(asio::io_context& loop, endpoint target)
    : m_acceptor(std::make_shared<tcp::acceptor>(loop, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))),
      m_state(std::make_shared<shared_state>()), m_endpoint{.address = "127.0.0.1",
                                                            .port = m_acceptor->local_endpoint().port()} {
    m_state->target = std::move(target);
    asio::co_spawn(loop, accept(m_acceptor, m_state), asio::detached);
}

fault_proxy::~fault_proxy() {
    error_code ignored;
    m_acceptor->close(ignored);
    reset_connections();
}

void fault_proxy::reset_connections() {
    for (const std::weak_ptr<link>& item : m_state->links) {
        if (const std::shared_ptr<link> both = item.lock()) {
            reset(both->caller_socket);
            reset(both->server_socket);
        }
    }
    m_state->links.clear();
}

void fault_proxy::blackhole_connections() {
    for (const std::weak_ptr<link>& item : m_state->links) {
        if (const std::shared_ptr<link> both = item.lock()) {
            both->is_blackholed = true;
        }
    }
}

asio::awaitable<void> fault_proxy::accept(std::shared_ptr<tcp::acceptor> acceptor,
                                          std::shared_ptr<shared_state> state) {
    while (acceptor->is_open()) {
        error_code fault;
        tcp::socket caller = co_await acceptor->async_accept(store_error(fault));
        if (fault) {
            continue;
        }
        if (state->link == link_state::resets) {
            reset(caller);
            continue;
        }
        asio::co_spawn(acceptor->get_executor(), connect(std::move(caller), state), asio::detached);
    }
}

asio::awaitable<void> fault_proxy::connect(tcp::socket caller, std::shared_ptr<shared_state> state) {
    while (holds_back(state->link, false)) {
        co_await servers::sleep_for(poll_interval);
    }
    tcp::socket server(caller.get_executor());
    error_code fault;
    const tcp::endpoint address(asio::ip::make_address(state->target.address), state->target.port);
    co_await server.async_connect(address, store_error(fault));
    if (fault) {
        reset(caller);
        co_return;
    }
    const auto executor = caller.get_executor();
    const auto both = std::make_shared<link>(std::move(caller), std::move(server));
    std::erase_if(state->links, [](const std::weak_ptr<link>& item) { return item.expired(); });
    state->links.push_back(both);
    asio::co_spawn(executor, forward(both, false, state), asio::detached);
    asio::co_spawn(executor, forward(both, true, state), asio::detached);
}

asio::awaitable<void> fault_proxy::forward(std::shared_ptr<link> both, bool is_response,
                                           std::shared_ptr<shared_state> state) {
    tcp::socket& from = is_response ? both->server_socket : both->caller_socket;
    tcp::socket& to = is_response ? both->caller_socket : both->server_socket;
    std::array<char, piece_bytes> piece{};
    error_code fault;
    while (!fault) {
        const std::size_t size = co_await from.async_read_some(asio::buffer(piece), store_error(fault));
        while (both->is_blackholed || holds_back(state->link, is_response)) {
            co_await servers::sleep_for(poll_interval);
            if (!from.is_open() || !to.is_open()) {
                co_return;
            }
        }
        if (state->link == link_state::delays) {
            co_await servers::sleep_for(link_delay);
        }
        if (size > 0) {
            error_code write_fault;
            co_await asio::async_write(to, asio::buffer(piece.data(), size), store_error(write_fault));
            fault = fault ? fault : write_fault;
        }
    }
    // An orderly close is forwarded as such, so that a response that ends with its connection does not look truncated.
    if (fault == asio::error::eof) {
        error_code ignored;
        to.shutdown(tcp::socket::shutdown_send, ignored);
        co_return;
    }
    reset(from);
    reset(to);
}

} // namespace dragonflywell::soak
