#include "servers/ready_handler.hpp"

namespace dragonflywell::servers {

asio::awaitable<void> ready_handler::handle(http_request /*request*/, caller_channel& caller) {
    http_response response(m_is_ready() ? http::status::ok : http::status::service_unavailable, 11);
    co_await caller.send(std::move(response));
}

} // namespace dragonflywell::servers
