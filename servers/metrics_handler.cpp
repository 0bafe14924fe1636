#include "servers/metrics_handler.hpp"

namespace dragonflywell::servers {

asio::awaitable<void> metrics_handler::handle(http_request request, caller_channel& caller) {
    if (request.target() != "/metrics") {
        co_await caller.send(http_response(http::status::not_found, 11));
        co_return;
    }
    http_response response(http::status::ok, 11);
    response.set(http::field::content_type, "text/plain; version=0.0.4");
    response.body() = m_registry->get_text();
    co_await caller.send(std::move(response));
}

} // namespace dragonflywell::servers
