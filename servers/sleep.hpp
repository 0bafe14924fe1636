#pragma once

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>

#include "core/clock.hpp"
#include "servers/http_types.hpp"

namespace dragonflywell::servers {

/// Suspends the calling coroutine for the given time.
inline asio::awaitable<void> sleep_for(duration length) {
    asio::steady_timer timer(co_await asio::this_coro::executor, length);
    error_code ignored;
    co_await timer.async_wait(store_error(ignored));
}

} // namespace dragonflywell::servers
