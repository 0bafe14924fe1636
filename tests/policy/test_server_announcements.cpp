#include "policy/server_announcements.hpp"

#include <doctest/doctest.h>
#include <limits>

using namespace dragonflywell;
using namespace std::chrono_literals;
using policy::server_announcements;

namespace {

const backend_server_name server("s1");
const backend_server_name other("s2");

} // namespace

TEST_CASE("a server that says that it leaves stays so until its next incarnation") {
    server_announcements announcements;
    CHECK(announcements.record_leaving(server, 5));
    CHECK_FALSE(announcements.record_leaving(server, 5));
    CHECK(announcements.is_leaving(server, 5));
    CHECK_FALSE(announcements.is_leaving(server, 6));
    CHECK_FALSE(announcements.is_leaving(other, 5));
    CHECK(announcements.record_leaving(server, 6));
    CHECK(announcements.is_leaving(server, 6));
}

TEST_CASE("a pause that a server asks for is kept for its whole time, and an odd one is replaced by the default") {
    virtual_clock clock;
    server_announcements announcements;
    const auto get_pause = [&](std::optional<duration> asked) {
        return announcements.record_pause(server, asked, 0, clock.now());
    };
    CHECK(get_pause(2500ms) == 2500ms);
    CHECK(announcements.get_pause_end(server, clock.now()) == clock.now() + 2500ms);
    // A shorter pause does not end a longer one.
    CHECK(get_pause(100ms) == 100ms);
    CHECK(announcements.get_pause_end(server, clock.now()) == clock.now() + 2500ms);
    CHECK_FALSE(announcements.get_pause_end(other, clock.now()));
    clock.advance(2500ms);
    CHECK_FALSE(announcements.get_pause_end(server, clock.now()));
    for (const std::optional<duration> odd : {std::optional<duration>(-1s), std::optional<duration>(24h), {}}) {
        CHECK_FALSE(announcements.is_valid_pause(odd));
        CHECK(get_pause(odd) == 1s);
    }
}

TEST_CASE("hosts return to a server at different times, and none before the pause ends") {
    const virtual_clock clock;
    duration previous{};
    for (int host = 0; host <= 10; ++host) {
        server_announcements announcements;
        const duration pause = announcements.record_pause(server, 1s, host / 10.0, clock.now());
        CHECK(pause >= 1s);
        CHECK(pause > previous);
        previous = pause;
    }
}

TEST_CASE("announcements of very many servers are bounded") {
    const virtual_clock clock;
    server_announcements announcements({.max_servers = 4});
    for (int number = 0; number < 100; ++number) {
        const backend_server_name name("s" + std::to_string(number));
        announcements.record_leaving(name, 1);
        announcements.record_pause(name, 10s, 0, clock.now());
    }
    int known = 0;
    for (int number = 0; number < 100; ++number) {
        const backend_server_name name("s" + std::to_string(number));
        known += announcements.is_leaving(name, 1) ? 1 : 0;
        known += announcements.get_pause_end(name, clock.now()) ? 1 : 0;
    }
    CHECK(known == 8);
}
