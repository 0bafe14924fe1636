#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace dragonflywell::testing {

/// Lets the other coroutines of the loop run until they wait for something, such as a client that reads what has
/// arrived.
inline boost::asio::awaitable<void> let_others_run() {
    constexpr int turns = 200;
    for (int turn = 0; turn < turns; ++turn) {
        co_await boost::asio::post(co_await boost::asio::this_coro::executor, boost::asio::use_awaitable);
    }
}

} // namespace dragonflywell::testing
