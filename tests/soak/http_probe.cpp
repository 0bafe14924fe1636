#include "soak/http_probe.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <memory>

namespace dragonflywell::soak {

namespace asio = servers::asio;

asio::awaitable<std::optional<std::string>> get_page(endpoint address, std::string path, duration timeout) {
    const auto socket = std::make_shared<asio::ip::tcp::socket>(co_await asio::this_coro::executor);
    asio::steady_timer timer(socket->get_executor(), timeout);
    timer.async_wait([socket](const servers::error_code& late) {
        if (!late) {
            servers::error_code ignored;
            socket->close(ignored);
        }
    });
    servers::error_code fault;
    const asio::ip::tcp::endpoint remote(asio::ip::make_address(address.address), address.port);
    co_await socket->async_connect(remote, servers::store_error(fault));
    servers::http::response<servers::http::string_body> response;
    if (!fault) {
        servers::http_request probe(servers::http::verb::get, path, 11);
        probe.set("Host", "probe");
        co_await servers::http::async_write(*socket, probe, servers::store_error(fault));
    }
    if (!fault) {
        servers::beast::flat_buffer buffer;
        co_await servers::http::async_read(*socket, buffer, response, servers::store_error(fault));
    }
    if (fault || response.result() != servers::http::status::ok) {
        co_return std::nullopt;
    }
    co_return response.body();
}

} // namespace dragonflywell::soak
