#include "crowd/caller_crowd.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>

#include "servers/http_types.hpp"

namespace dragonflywell::testing {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

struct crowd_progress {
    std::size_t ended{0};
    std::size_t sent{0};
};

asio::awaitable<void> send_all(tcp::socket& socket, tcp::endpoint address, const crowd_load& load,
                               crowd_progress& progress) {
    servers::error_code fault;
    co_await socket.async_connect(address, servers::store_error(fault));
    if (!fault) {
        co_await asio::async_write(socket, asio::buffer(load.beginning), servers::store_error(fault));
    }
    for (std::size_t number = 0; number < load.pieces && !fault; ++number) {
        progress.sent += co_await asio::async_write(socket, asio::buffer(load.piece), servers::store_error(fault));
    }
    ++progress.ended;
}

} // namespace

void caller_crowd::send(const endpoint& address, std::size_t callers, const crowd_load& load) {
    constexpr auto step = std::chrono::milliseconds(250);
    constexpr int max_silent_steps = 8;
    const tcp::endpoint target(asio::ip::make_address(address.address), address.port);
    // The coroutines may still wait when this function returns.
    const auto kept_load = std::make_shared<crowd_load>(load);
    const auto progress = std::make_shared<crowd_progress>();
    for (std::size_t number = 0; number < callers; ++number) {
        m_callers.push_back(std::make_unique<tcp::socket>(m_loop));
        asio::co_spawn(m_loop, send_all(*m_callers.back(), target, *kept_load, *progress),
                       [kept_load, progress](const std::exception_ptr&) {});
    }
    std::size_t sent_before = 0;
    for (int silent_steps = 0; progress->ended < callers && silent_steps < max_silent_steps;) {
        m_loop.restart();
        m_loop.run_for(step);
        silent_steps = progress->sent == sent_before ? silent_steps + 1 : 0;
        sent_before = progress->sent;
    }
}

} // namespace dragonflywell::testing
