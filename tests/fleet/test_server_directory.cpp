#include <doctest/doctest.h>

#include "fleet/server_directory.hpp"

using namespace dragonflywell;
using namespace dragonflywell::fleet;
using namespace std::chrono_literals;

namespace {

server_record make_record(const std::string& id, std::uint16_t port = 80, std::int64_t started_at_ms = 1) {
    return {.id = backend_server_name(id),
            .service = service_name("s"),
            .address = {.address = "10.0.0.1", .port = port},
            .zone = zone_name("z"),
            .slots = 4,
            .started_at_ms = started_at_ms};
}

bool is_usable(const server_directory& directory, const std::string& id) {
    const listed_server* server = directory.find(backend_server_name(id));
    return server != nullptr && server_directory::is_usable(*server);
}

} // namespace

TEST_CASE("a heartbeat that says nothing new is no change") {
    virtual_clock time;
    server_directory directory;
    CHECK(directory.apply(make_record("a"), time.now()) == directory_change::added);
    const std::uint64_t generation = directory.get_generation();
    CHECK(directory.apply(make_record("a"), time.now()) == directory_change::none);
    CHECK(directory.get_generation() == generation);
}

TEST_CASE("a server that drains or left takes nothing new") {
    virtual_clock time;
    server_directory directory;
    directory.apply(make_record("a"), time.now());
    directory.apply(make_record("b", 81), time.now());
    server_record leaving = make_record("a");
    leaving.is_draining = true;
    CHECK(directory.apply(leaving, time.now()) == directory_change::draining);
    CHECK_FALSE(is_usable(directory, "a"));
    CHECK(directory.remove(backend_server_name("b"), time.now()) == directory_change::removed);
    CHECK_FALSE(is_usable(directory, "b"));
}

TEST_CASE("an entry that lapsed while the list was away counts until its server had time to come back") {
    virtual_clock time;
    server_directory directory({.return_grace = 2s});
    directory.apply(make_record("a"), time.now());
    directory.apply(make_record("b", 81), time.now());
    directory.set_reachable(false, time.now());
    time.advance(10s);
    directory.set_reachable(true, time.now());
    CHECK(directory.remove(backend_server_name("a"), time.now()) == directory_change::missing);
    CHECK(directory.remove(backend_server_name("b"), time.now()) == directory_change::missing);
    CHECK(is_usable(directory, "a"));
    time.advance(1s);
    CHECK(directory.apply(make_record("a"), time.now()) == directory_change::changed);
    time.advance(1s);
    const std::vector<backend_server_name> expired = directory.expire(time.now());
    REQUIRE(expired.size() == 1);
    CHECK(expired.front().value() == "b");
    CHECK(is_usable(directory, "a"));
}

TEST_CASE("a server that was seen draining is gone at once when its entry lapses") {
    virtual_clock time;
    server_directory directory;
    server_record leaving = make_record("a");
    leaving.is_draining = true;
    directory.apply(leaving, time.now());
    directory.set_reachable(false, time.now());
    directory.set_reachable(true, time.now());
    CHECK(directory.remove(backend_server_name("a"), time.now()) == directory_change::removed);
}

TEST_CASE("nothing expires while the list is out of reach") {
    virtual_clock time;
    server_directory directory({.return_grace = 2s});
    directory.apply(make_record("a"), time.now());
    directory.set_reachable(false, time.now());
    directory.set_reachable(true, time.now());
    directory.remove(backend_server_name("a"), time.now());
    directory.set_reachable(false, time.now());
    time.advance(10s);
    CHECK(directory.expire(time.now()).empty());
}

TEST_CASE("a server that starts again under its id is another one") {
    virtual_clock time;
    server_directory directory;
    directory.apply(make_record("a", 80, 1), time.now());
    directory.set_displaced(backend_server_name("a"));
    CHECK_FALSE(is_usable(directory, "a"));
    CHECK(directory.apply(make_record("a", 80, 2), time.now()) == directory_change::restarted);
    CHECK(is_usable(directory, "a"));
}

TEST_CASE("a new server at an address displaces the one that was there") {
    virtual_clock time;
    server_directory directory;
    directory.apply(make_record("old", 80, 1), time.now());
    directory.apply(make_record("new", 80, 2), time.now());
    CHECK_FALSE(is_usable(directory, "old"));
    CHECK(is_usable(directory, "new"));
    // A stale entry that turns up late displaces nobody.
    directory.apply(make_record("stale", 80, 0), time.now());
    CHECK(is_usable(directory, "new"));
}

TEST_CASE("a listing removes what it does not hold") {
    virtual_clock time;
    server_directory directory;
    directory.apply(make_record("a"), time.now());
    directory.apply(make_record("b", 81), time.now());
    const std::vector<backend_server_name> gone = directory.retain({backend_server_name("b")}, time.now());
    REQUIRE(gone.size() == 1);
    CHECK(gone.front().value() == "a");
}
