#include <doctest/doctest.h>

#include <optional>

#include "policy/silence_watch.hpp"

using namespace dragonflywell;
using policy::silence_watch;
using namespace std::chrono_literals;

namespace {

const backend_server_name server("s");

} // namespace

TEST_CASE("a server is silent while a request waits there for much longer than expected") {
    virtual_clock clock;
    silence_watch watch({.patience_factor = 3, .patience = 400ms});
    {
        silence_watch::waiting waiting = watch.watch(server, clock.now(), 100ms);
        clock.advance(699ms);
        CHECK_FALSE(watch.is_silent(server, clock.now()));
        clock.advance(1ms);
        CHECK(watch.is_silent(server, clock.now()));
        CHECK(watch.get_silent(clock.now()) == std::vector<backend_server_name>{server});
        CHECK_FALSE(watch.is_silent(backend_server_name("other"), clock.now()));
    }
    CHECK_FALSE(watch.is_silent(server, clock.now()));
    CHECK(watch.get_silent(clock.now()).empty());
}

TEST_CASE("a request whose answer has begun says nothing against its server") {
    virtual_clock clock;
    silence_watch watch;
    silence_watch::waiting answered = watch.watch(server, clock.now(), 0ms);
    std::optional<silence_watch::waiting> waits;
    waits.emplace(watch, server, clock.now() + 1s);
    answered.end();
    answered.end();
    clock.advance(999ms);
    CHECK_FALSE(watch.is_silent(server, clock.now()));
    clock.advance(1ms);
    CHECK(watch.is_silent(server, clock.now()));
    waits.reset();
    CHECK_FALSE(watch.is_silent(server, clock.now()));
}
