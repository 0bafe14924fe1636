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

bool is_usable(const server_directory& directory, const std::string& id, steady_time now = {}) {
    const listed_server* server = directory.find(backend_server_name(id));
    return server != nullptr && !server->record.is_draining && !directory.is_address_taken(*server) &&
           !directory.has_expired(*server, now);
}

/// Returns a directory with the servers a and b that was read at `now`.
server_directory make_directory(steady_time now) {
    server_directory directory({.recovery_grace = 2500ms, .min_outage = 2400ms});
    directory.apply(make_record("a"), now);
    directory.apply(make_record("b", 81), now);
    directory.get_contact().record_success(now);
    return directory;
}

/// Makes the list unreachable until `failed_at`, and readable again at `read_at`.
void simulate_outage(server_directory& directory, steady_time failed_at, steady_time read_at) {
    directory.get_contact().record_failure(failed_at);
    directory.get_contact().record_success(read_at);
}

} // namespace

TEST_CASE("an entry without changes does not change the directory") {
    virtual_clock time;
    server_directory directory;
    CHECK(directory.apply(make_record("a"), time.now()) == directory_change::added);
    const std::uint64_t generation = directory.get_generation();
    CHECK(directory.apply(make_record("a"), time.now()) == directory_change::none);
    CHECK(directory.get_generation() == generation);
}

TEST_CASE("a server that is draining or was removed gets no new work") {
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

TEST_CASE(
    "a server whose entry expired during an outage of the list stays usable until it had time to register again") {
    const steady_time start{};
    server_directory directory = make_directory(start);
    simulate_outage(directory, start + 10s, start + 10500ms);
    CHECK(directory.remove(backend_server_name("a"), start + 10500ms) == directory_change::missing);
    CHECK(directory.remove(backend_server_name("b"), start + 10500ms) == directory_change::missing);
    CHECK(is_usable(directory, "a", start + 12s));
    CHECK(directory.apply(make_record("a"), start + 12s) == directory_change::changed);
    CHECK(is_usable(directory, "b", start + 12499ms));
    CHECK(directory.expire(start + 12499ms).empty());
    // The server becomes unusable without another read.
    CHECK_FALSE(is_usable(directory, "b", start + 12500ms));
    const std::vector<backend_server_name> expired = directory.expire(start + 12500ms);
    REQUIRE(expired.size() == 1);
    CHECK(expired.front().value() == "b");
    CHECK(is_usable(directory, "a", start + 20s));
}

TEST_CASE("a server that left while a host was cut off is dropped in time, even if the host reads the list late") {
    const steady_time start{};
    const steady_time back_at = start + 13s;
    for (const duration noticed_after : {10ms, 500ms, 1500ms, 2400ms}) {
        server_directory directory = make_directory(start);
        simulate_outage(directory, back_at - 1ms, back_at + noticed_after);
        directory.remove(backend_server_name("a"), back_at + noticed_after);
        CHECK_FALSE(is_usable(directory, "a", back_at + 2500ms));
    }
}

TEST_CASE("a short outage of the list does not delay the removal of a server") {
    const steady_time start{};
    server_directory directory = make_directory(start);
    simulate_outage(directory, start + 1s, start + 1200ms);
    CHECK(directory.remove(backend_server_name("a"), start + 1300ms) == directory_change::removed);
}

TEST_CASE("a draining server is removed at once when its entry disappears") {
    const steady_time start{};
    server_directory directory = make_directory(start);
    server_record leaving = make_record("a");
    leaving.is_draining = true;
    directory.apply(leaving, start);
    simulate_outage(directory, start + 10s, start + 10s);
    CHECK(directory.remove(backend_server_name("a"), start + 10s) == directory_change::removed);
}

TEST_CASE("nothing expires while the list is unreachable") {
    const steady_time start{};
    server_directory directory = make_directory(start);
    simulate_outage(directory, start + 10s, start + 10s + 1ms);
    directory.remove(backend_server_name("a"), start + 10s + 1ms);
    directory.get_contact().record_failure(start + 11s);
    CHECK(directory.expire(start + 20s).empty());
    CHECK(is_usable(directory, "a", start + 20s));
    // The server gets a full grace period again when the list is reachable again.
    directory.get_contact().record_failure(start + 21s);
    directory.get_contact().record_success(start + 21500ms);
    CHECK(is_usable(directory, "a", start + 23s));
    CHECK_FALSE(is_usable(directory, "a", start + 23500ms));
}

TEST_CASE("a server whose grace period is over is not used again when the list becomes unreachable") {
    const steady_time start{};
    server_directory directory = make_directory(start);
    simulate_outage(directory, start + 10s, start + 10s + 1ms);
    directory.remove(backend_server_name("a"), start + 10s + 1ms);
    CHECK_FALSE(is_usable(directory, "a", start + 12500ms));
    directory.get_contact().record_failure(start + 12600ms);
    directory.get_contact().record_failure(start + 14s);
    CHECK_FALSE(is_usable(directory, "a", start + 15s));
}

TEST_CASE("a late report of an earlier read does not postpone the time from which the list counts as reachable") {
    const steady_time start{};
    server_directory directory = make_directory(start);
    directory.get_contact().record_failure(start + 9s);
    // Another host read the list at 8 s, and its report arrives much later.
    directory.get_contact().record_success(start + 8s);
    directory.get_contact().record_success(start + 11s);
    CHECK(directory.remove(backend_server_name("a"), start + 11s) == directory_change::missing);
    CHECK(is_usable(directory, "a", start + 11499ms));
    CHECK_FALSE(is_usable(directory, "a", start + 11500ms));
}

TEST_CASE("a server that restarts under the same id is usable again") {
    virtual_clock time;
    server_directory directory;
    directory.apply(make_record("a", 80, 1), time.now());
    directory.apply(make_record("b", 80, 2), time.now());
    CHECK_FALSE(is_usable(directory, "a"));
    CHECK(directory.apply(make_record("a", 80, 3), time.now()) == directory_change::restarted);
    CHECK(is_usable(directory, "a"));
    CHECK_FALSE(is_usable(directory, "b"));
}

TEST_CASE("a new server at an address makes the previous one there unusable") {
    virtual_clock time;
    server_directory directory;
    directory.apply(make_record("old", 80, 1), time.now());
    directory.apply(make_record("new", 80, 2), time.now());
    CHECK_FALSE(is_usable(directory, "old"));
    CHECK(is_usable(directory, "new"));
    // A stale entry that arrives late does not make a newer server unusable.
    directory.apply(make_record("stale", 80, 0), time.now());
    CHECK(is_usable(directory, "new"));
}

TEST_CASE("a complete list removes the servers that it does not contain") {
    virtual_clock time;
    server_directory directory;
    directory.apply(make_record("a"), time.now());
    directory.apply(make_record("b", 81), time.now());
    const std::vector<backend_server_name> removed = directory.retain({backend_server_name("b")}, time.now());
    REQUIRE(removed.size() == 1);
    CHECK(removed.front().value() == "a");
}

TEST_CASE("a server that is missing in a restored list may register again, however short the outage was") {
    virtual_clock time;
    server_directory directory = make_directory(time.now());
    time.advance(300ms);
    directory.get_contact().record_restored(time.now());
    CHECK(directory.retain({backend_server_name("b")}, time.now()).empty());
    CHECK(is_usable(directory, "a", time.now()));
    time.advance(2200ms);
    CHECK_FALSE(is_usable(directory, "a", time.now()));
    CHECK(directory.expire(time.now()) == std::vector{backend_server_name("a")});
    // Its entry is back: it was only late.
    CHECK(directory.apply(make_record("a"), time.now()) == directory_change::added);
    CHECK(is_usable(directory, "a", time.now()));
}

TEST_CASE("a run of a server that has announced its shutdown does not take it back") {
    virtual_clock time;
    server_directory directory = make_directory(time.now());
    server_record leaving = make_record("a");
    leaving.is_draining = true;
    directory.apply(leaving, time.now());
    CHECK(directory.apply_copied(make_record("a"), time.now()) == directory_change::none);
    CHECK_FALSE(is_usable(directory, "a"));
    CHECK(directory.apply(make_record("a"), time.now()) == directory_change::none);
    CHECK_FALSE(is_usable(directory, "a"));
    CHECK(directory.apply(make_record("a", 80, 2), time.now()) == directory_change::restarted);
    CHECK(is_usable(directory, "a"));
}

// Guards against DRAIN: what a run of a server has announced was forgotten with its entry.
TEST_CASE("nothing undoes that a run of a server has announced its shutdown") {
    virtual_clock time;
    server_directory directory = make_directory(time.now());
    server_record leaving = make_record("a", 80, 5);
    leaving.is_draining = true;
    directory.apply(leaving, time.now());
    SUBCASE("the removal of its entry") {
        directory.remove(backend_server_name("a"), time.now());
        CHECK(directory.apply(make_record("a", 80, 5), time.now()) == directory_change::added);
    }
    SUBCASE("an entry of an earlier run") {
        CHECK(directory.apply(make_record("a", 80, 4), time.now()) == directory_change::none);
    }
    SUBCASE("an entry of an earlier run, after the removal") {
        directory.remove(backend_server_name("a"), time.now());
        CHECK(directory.apply(make_record("a", 80, 4), time.now()) == directory_change::none);
    }
    SUBCASE("an entry without its start") {
        CHECK(directory.apply(make_record("a", 80, 0), time.now()) == directory_change::none);
    }
    SUBCASE("an entry with another address") {
        directory.apply(make_record("a", 90, 5), time.now());
    }
    CHECK_FALSE(is_usable(directory, "a"));
    directory.apply(make_record("a", 80, 6), time.now());
    CHECK(is_usable(directory, "a"));
}

TEST_CASE("an older copy of the list brings back neither a removed run of a server nor an earlier one") {
    virtual_clock time;
    server_directory directory = make_directory(time.now());
    directory.apply(make_record("b", 82, 5), time.now());
    directory.remove(backend_server_name("a"), time.now());
    CHECK(directory.apply_copied(make_record("a"), time.now()) == directory_change::none);
    CHECK(directory.find(backend_server_name("a")) == nullptr);
    CHECK(directory.apply_copied(make_record("b", 81, 1), time.now()) == directory_change::none);
    CHECK(directory.find(backend_server_name("b"))->record.address.port == 82);
    CHECK(directory.apply_copied(make_record("a", 80, 2), time.now()) == directory_change::added);
}

TEST_CASE("the memory of removed servers is bounded") {
    virtual_clock time;
    server_directory directory;
    for (int server = 0; server < 5000; ++server) {
        time.advance(1ms);
        directory.apply(make_record("s" + std::to_string(server)), time.now());
        directory.remove(backend_server_name("s" + std::to_string(server)), time.now());
    }
    CHECK(directory.apply_copied(make_record("s4999"), time.now()) == directory_change::none);
    CHECK(directory.apply_copied(make_record("s0"), time.now()) == directory_change::added);
}
