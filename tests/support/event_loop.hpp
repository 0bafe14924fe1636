#pragma once

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <exception>
#include <utility>

#include "servers/http_types.hpp"

namespace dragonflywell::testing {

/// Runs the loop until the coroutine has ended, and rethrows its exception. Other operations that are pending on the
/// loop continue with the next call.
template <typename Function>
void run_until_done(boost::asio::io_context& loop, Function function) {
    bool is_done = false;
    std::exception_ptr failure;
    boost::asio::co_spawn(loop, std::move(function), [&](std::exception_ptr thrown) {
        is_done = true;
        failure = std::move(thrown);
    });
    loop.restart();
    while (!is_done && loop.run_one() > 0) {
    }
    if (failure) {
        std::rethrow_exception(failure);
    }
}

/// Runs the loop until the condition holds.
template <typename Condition>
void run_until(boost::asio::io_context& loop, Condition condition) {
    loop.restart();
    while (!condition() && loop.run_one() > 0) {
    }
}

} // namespace dragonflywell::testing
