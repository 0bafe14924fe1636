#include <doctest/doctest.h>

#include "fleet/server_directory.hpp"

using namespace dragonflywell;
using namespace dragonflywell::fleet;
using namespace std::chrono_literals;

namespace {

constexpr std::uint16_t port = 80;

server_record make_record(const std::string& id, const std::string& service, std::int64_t started_at_ms) {
    return {.id = backend_server_name(id),
            .service = service_name(service),
            .address = {.address = "10.0.0.1", .port = port},
            .zone = zone_name("z"),
            .slots = 4,
            .started_at_ms = started_at_ms};
}

/// A directory, and the server "a" of the service "app", which started at 10.
struct fixture {
    virtual_clock time;
    server_directory directory;

    void name_services(std::set<std::string> names) {
        std::set<service_name> services;
        for (const std::string& name : names) {
            services.emplace(name);
        }
        directory.set_named_services(std::move(services));
    }
    void apply_true_entry() { directory.apply(make_record("a", "app", 10), time.now()); }

    [[nodiscard]] bool is_usable(const std::string& id) const {
        const listed_server* server = directory.find(backend_server_name(id));
        return server != nullptr && !server->record.is_draining && !directory.is_address_taken(*server) &&
               !directory.has_expired(*server, time.now());
    }
};

} // namespace

TEST_CASE_FIXTURE(fixture, "an entry of a service that is not named takes no address, in whichever order it arrives") {
    const server_record foreign = make_record("x", "legacy", 20);
    SUBCASE("configuration, server, entry") {
        name_services({"app"});
        apply_true_entry();
        directory.apply(foreign, time.now());
    }
    SUBCASE("configuration, entry, server") {
        name_services({"app"});
        directory.apply(foreign, time.now());
        apply_true_entry();
    }
    SUBCASE("server, entry, configuration") {
        apply_true_entry();
        directory.apply(foreign, time.now());
        name_services({"app"});
    }
    SUBCASE("entry, server, configuration") {
        directory.apply(foreign, time.now());
        apply_true_entry();
        name_services({"app"});
    }
    SUBCASE("ten seconds after the start, from a copy of the list") {
        name_services({"app"});
        apply_true_entry();
        time.advance(10s);
        directory.apply_copied(foreign, time.now());
    }
    CHECK(is_usable("a"));
    CHECK_FALSE(directory.is_address_taken(*directory.find(backend_server_name("x"))));
}

TEST_CASE_FIXTURE(fixture, "a server has its address again when the entry of the later one there is gone") {
    name_services({"app", "other"});
    apply_true_entry();
    const server_record later = make_record("x", "other", 20);
    directory.apply(later, time.now());
    CHECK_FALSE(is_usable("a"));
    CHECK(is_usable("x"));
    SUBCASE("removed") {
        directory.remove(later.id, time.now());
    }
    SUBCASE("missing in a listing") {
        directory.retain({backend_server_name("a")}, time.now());
    }
    SUBCASE("at another address") {
        server_record moved = later;
        moved.address.port = port + 1;
        directory.apply(moved, time.now());
    }
    SUBCASE("of another service, which is not named") {
        server_record changed = later;
        changed.service = service_name("legacy");
        directory.apply(changed, time.now());
    }
    CHECK(is_usable("a"));
}

TEST_CASE_FIXTURE(fixture, "an entry counts from when its service comes into the configuration until it goes") {
    name_services({"app"});
    apply_true_entry();
    directory.apply(make_record("x", "other", 20), time.now());
    const std::uint64_t generation = directory.get_generation();
    name_services({"app", "other"});
    CHECK(directory.get_generation() != generation);
    CHECK_FALSE(is_usable("a"));
    CHECK(is_usable("x"));
    name_services({"app"});
    CHECK(is_usable("a"));
}

TEST_CASE_FIXTURE(fixture,
                  "an entry under a server's name of a service that is not named blocks none of its own entries") {
    name_services({"app"});
    apply_true_entry();
    server_record foreign = make_record("a", "legacy", 20);
    foreign.is_draining = true;
    SUBCASE("later start") {}
    SUBCASE("the same start") {
        foreign.started_at_ms = 10;
    }
    SUBCASE("a start in the far future") {
        foreign.started_at_ms = std::numeric_limits<std::int64_t>::max();
    }
    directory.apply(foreign, time.now());
    SUBCASE("entry still there") {}
    SUBCASE("entry removed") {
        directory.remove(foreign.id, time.now());
    }
    SUBCASE("entry removed, the next one from a copy of the list") {
        directory.remove(foreign.id, time.now());
        directory.apply_copied(make_record("a", "app", 10), time.now());
        CHECK(is_usable("a"));
    }
    apply_true_entry();
    CHECK(is_usable("a"));
}

TEST_CASE_FIXTURE(fixture, "what a run has announced holds while its service is not named") {
    name_services({"app"});
    server_record leaving = make_record("a", "app", 10);
    leaving.is_draining = true;
    directory.apply(leaving, time.now());
    name_services({});
    apply_true_entry();
    name_services({"app"});
    CHECK_FALSE(is_usable("a"));
    directory.remove(leaving.id, time.now());
    name_services({});
    apply_true_entry();
    name_services({"app"});
    CHECK_FALSE(is_usable("a"));
}

TEST_CASE_FIXTURE(fixture, "of two servers with one start at one address the one that was listed later has it") {
    apply_true_entry();
    directory.apply(make_record("x", "app", 10), time.now());
    CHECK_FALSE(is_usable("a"));
    CHECK(is_usable("x"));
    // Heartbeats do not change that.
    apply_true_entry();
    CHECK_FALSE(is_usable("a"));
    directory.apply(make_record("a", "app", 11), time.now());
    CHECK(is_usable("a"));
    CHECK_FALSE(is_usable("x"));
}
