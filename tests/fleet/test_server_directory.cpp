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
    return server != nullptr && directory.is_usable(*server, now);
}

/// Returns a directory with servers a and b, read at that moment.
server_directory make_directory(steady_time now) {
    server_directory directory({.recovery_grace = 2500ms, .min_outage = 2400ms});
    directory.apply(make_record("a"), now);
    directory.apply(make_record("b", 81), now);
    directory.get_contact().record_success(now);
    return directory;
}

/// Lets the list be out of reach until `failed_at`, and be read again at `read_at`.
void lose_list(server_directory& directory, steady_time failed_at, steady_time read_at) {
    directory.get_contact().record_failure(failed_at);
    directory.get_contact().record_success(read_at);
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
    const steady_time start{};
    server_directory directory = make_directory(start);
    lose_list(directory, start + 10s, start + 10500ms);
    CHECK(directory.remove(backend_server_name("a"), start + 10500ms) == directory_change::missing);
    CHECK(directory.remove(backend_server_name("b"), start + 10500ms) == directory_change::missing);
    CHECK(is_usable(directory, "a", start + 12s));
    CHECK(directory.apply(make_record("a"), start + 12s) == directory_change::changed);
    CHECK(is_usable(directory, "b", start + 12499ms));
    CHECK(directory.expire(start + 12499ms).empty());
    // Nothing more has to be read for it.
    CHECK_FALSE(is_usable(directory, "b", start + 12500ms));
    const std::vector<backend_server_name> expired = directory.expire(start + 12500ms);
    REQUIRE(expired.size() == 1);
    CHECK(expired.front().value() == "b");
    CHECK(is_usable(directory, "a", start + 20s));
}

TEST_CASE("a server that left while a host was cut off is dropped in time, however late the host notices its path") {
    const steady_time start{};
    const steady_time back_at = start + 13s;
    for (const duration noticed_after : {10ms, 500ms, 1500ms, 2400ms}) {
        server_directory directory = make_directory(start);
        lose_list(directory, back_at - 1ms, back_at + noticed_after);
        directory.remove(backend_server_name("a"), back_at + noticed_after);
        CHECK_FALSE(is_usable(directory, "a", back_at + 2500ms));
    }
}

TEST_CASE("a call that failed in between grants no removed server a delay") {
    const steady_time start{};
    server_directory directory = make_directory(start);
    lose_list(directory, start + 1s, start + 1200ms);
    CHECK(directory.remove(backend_server_name("a"), start + 1300ms) == directory_change::removed);
}

TEST_CASE("a server that was seen draining is gone at once when its entry lapses") {
    const steady_time start{};
    server_directory directory = make_directory(start);
    server_record leaving = make_record("a");
    leaving.is_draining = true;
    directory.apply(leaving, start);
    lose_list(directory, start + 10s, start + 10s);
    CHECK(directory.remove(backend_server_name("a"), start + 10s) == directory_change::removed);
}

TEST_CASE("nothing expires while the list is out of reach") {
    const steady_time start{};
    server_directory directory = make_directory(start);
    lose_list(directory, start + 10s, start + 10s + 1ms);
    directory.remove(backend_server_name("a"), start + 10s + 1ms);
    directory.get_contact().record_failure(start + 11s);
    CHECK(directory.expire(start + 20s).empty());
    CHECK(is_usable(directory, "a", start + 20s));
    // Its server gets the same time once more when the list is back.
    directory.get_contact().record_failure(start + 21s);
    directory.get_contact().record_success(start + 21500ms);
    CHECK(is_usable(directory, "a", start + 23s));
    CHECK_FALSE(is_usable(directory, "a", start + 23500ms));
}

TEST_CASE("a server that was dropped is not used again when the list is lost afterwards") {
    const steady_time start{};
    server_directory directory = make_directory(start);
    lose_list(directory, start + 10s, start + 10s + 1ms);
    directory.remove(backend_server_name("a"), start + 10s + 1ms);
    CHECK_FALSE(is_usable(directory, "a", start + 12500ms));
    directory.get_contact().record_failure(start + 12600ms);
    directory.get_contact().record_failure(start + 14s);
    CHECK_FALSE(is_usable(directory, "a", start + 15s));
}

TEST_CASE("news of an earlier read do not make the return of the list look later") {
    const steady_time start{};
    server_directory directory = make_directory(start);
    directory.get_contact().record_failure(start + 9s);
    // Another host read at 8 s, and this one is told much later.
    directory.get_contact().record_success(start + 8s);
    directory.get_contact().record_success(start + 11s);
    CHECK(directory.remove(backend_server_name("a"), start + 11s) == directory_change::missing);
    CHECK(is_usable(directory, "a", start + 11499ms));
    CHECK_FALSE(is_usable(directory, "a", start + 11500ms));
}

TEST_CASE("a server that starts again under its id is another one") {
    virtual_clock time;
    server_directory directory;
    directory.apply(make_record("a", 80, 1), time.now());
    directory.mark_address_taken(backend_server_name("a"));
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
