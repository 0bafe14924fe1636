#include <doctest/doctest.h>

#include <optional>

#include "policy/stall_detector.hpp"

using namespace dragonflywell;
using policy::stall_detector;
using namespace std::chrono_literals;

namespace {

const backend_server_name server("s");

} // namespace

TEST_CASE("a server counts as stalled while a request to it is overdue") {
    virtual_clock clock;
    stall_detector watch({.timeout_factor = 3, .timeout_margin = 400ms});
    {
        stall_detector::pending_request waiting = watch.track(server, clock.now(), 100ms);
        clock.advance(699ms);
        CHECK_FALSE(watch.is_stalled(server, clock.now()));
        clock.advance(1ms);
        CHECK(watch.is_stalled(server, clock.now()));
        CHECK(watch.get_stalled(clock.now()) == std::vector<backend_server_name>{server});
        CHECK_FALSE(watch.is_stalled(backend_server_name("other"), clock.now()));
    }
    CHECK_FALSE(watch.is_stalled(server, clock.now()));
    CHECK(watch.get_stalled(clock.now()).empty());
}

TEST_CASE("a request whose answer has begun does not make its server count as stalled") {
    virtual_clock clock;
    stall_detector watch;
    stall_detector::pending_request answered = watch.track(server, clock.now(), 0ms);
    std::optional<stall_detector::pending_request> waits;
    waits.emplace(watch, server, clock.now() + 1s);
    answered.end();
    answered.end();
    clock.advance(999ms);
    CHECK_FALSE(watch.is_stalled(server, clock.now()));
    clock.advance(1ms);
    CHECK(watch.is_stalled(server, clock.now()));
    waits.reset();
    CHECK_FALSE(watch.is_stalled(server, clock.now()));
}
