#pragma once

#include <boost/asio/io_context.hpp>

#include "core/clock.hpp"

namespace dragonflywell::testing {

/// Runs the loop until the condition holds, while the virtual time passes.
template <typename Condition>
void run_in_time_until(boost::asio::io_context& loop, virtual_clock& clock, Condition condition) {
    constexpr duration step = std::chrono::milliseconds(1);
    loop.restart();
    while (!condition()) {
        clock.advance(step);
        loop.run_one_for(step);
    }
}

} // namespace dragonflywell::testing
