#include <doctest/doctest.h>

#include <array>

#include "daemon/engine_order_receiver.hpp"
#include "daemon/role_change_driver.hpp"
#include "support/fake_engines.hpp"
#include "support/fake_log.hpp"
#include "support/fake_receiver.hpp"

using namespace dragonflywell;
using fleet::engine_role;

namespace {

constexpr std::uint16_t engine_port = 1;
const backend_server_name engine_name("e1");

fleet::manifest make_manifest(bool checks_fencing) {
    fleet::manifest manifest;
    manifest.backend_servers[engine_name] = {
        .name = engine_name,
        .zone = zone_name("a"),
        .address = {.address = "127.0.0.1", .port = engine_port},
        .is_cheap = false,
        .offer = fleet::engine{.model = model_name("m"), .role = engine_role::mixed, .checks_fencing = checks_fencing}};
    return manifest;
}

/// One candidate for the lease of a zone, with everything that it needs for role changes.
struct control_host {
    control_host(testing::fake_log& log, const virtual_clock& time, testing::fake_engines& engines,
                 const coordination::host_liveness& hosts, const fleet::manifest& content, const char* name)
        : manifest(&content), stream(log, "control/a", {.host = name, .incarnation = 1}),
          lease(stream, time, {.scope = "control/a"}),
          receiver(engines,
                   [this](const backend_server_name& server) {
                       return std::optional(manifest->backend_servers.at(server).address);
                   }),
          ledger(stream, lease, receiver, hosts), observer(engines, time, {.retry_unreachable = duration::zero()}),
          driver(stream, lease, ledger, changes, time, {}) {
        stream.add_observer(changes);
    }

    /// Runs one round as the zone control task does.
    void run_round() {
        observer.refresh(*manifest);
        try {
            lease.tick();
            if (lease.get_authority()) {
                ledger.reconcile();
                driver.advance(observer.get_all(), *manifest);
            }
        } catch (const coordination::log_unavailable_error&) { // NOLINT(bugprone-empty-catch)
            // The next round tries again.
        }
    }

    const fleet::manifest* manifest;
    coordination::folded_stream stream;
    coordination::lease_candidate lease;
    daemon::engine_order_receiver receiver;
    coordination::order_dispatcher ledger;
    daemon::role_change_fold changes;
    daemon::engine_observer observer;
    daemon::role_change_driver driver;
};

struct zone_case {
    explicit zone_case(bool checks_fencing) : manifest(make_manifest(checks_fencing)) {
        engines.engines[engine_port].checks_fencing = checks_fencing;
        first.run_round();
        second.run_round();
    }

    void announce(engine_role to) {
        const std::array<policy::role_order, 1> orders{
            {{.engine = engine_name, .zone = zone_name("a"), .from = get_engine().role, .to = to}}};
        CHECK(first.driver.announce(orders) == 1);
    }

    void run(control_host& host, int rounds) {
        for (int round = 0; round < rounds; ++round) {
            time.advance(std::chrono::seconds(1));
            host.run_round();
        }
    }

    /// The first host fails without releasing the lease, and the second one acquires it.
    void hand_over() {
        run(second, 15);
        REQUIRE(second.lease.get_authority().has_value());
    }

    [[nodiscard]] testing::fake_engines::engine& get_engine() { return engines.engines[engine_port]; }

    testing::fake_log log;
    virtual_clock time;
    testing::fake_engines engines;
    testing::fake_liveness hosts;
    fleet::manifest manifest;
    control_host first{log, time, engines, hosts, manifest, "host-1"};
    control_host second{log, time, engines, hosts, manifest, "host-2"};
};

constexpr std::array<bool, 2> both_kinds{true, false};

} // namespace

TEST_CASE("an engine gets its order only after every daemon knows of the change and its last request has ended") {
    for (const bool checks : both_kinds) {
        CAPTURE(checks);
        zone_case zone(checks);
        zone.get_engine().running = 2;
        zone.announce(engine_role::decode);
        zone.run(zone.first, 20);
        CHECK(zone.get_engine().applied.empty());
        zone.get_engine().running = 0;
        zone.run(zone.first, 3);
        CHECK(zone.get_engine().role == engine_role::decode);
        CHECK(zone.get_engine().applied.size() == 1);
        CHECK(zone.get_engine().cut_off == 0);
        CHECK(zone.first.changes.get_all().empty());
        CHECK(zone.first.driver.get_completed() == 1);
    }
}

TEST_CASE("a drain that does not end is abandoned and the engine keeps its role") {
    zone_case zone(true);
    zone.get_engine().running = 1;
    zone.announce(engine_role::decode);
    zone.run(zone.first, 400);
    CHECK(zone.first.changes.get_all().empty());
    CHECK(zone.first.driver.get_given_up() == 1);
    CHECK(zone.get_engine().applied.empty());
}

TEST_CASE("the next lease holder completes a change whichever step the previous one failed at") {
    enum class step { announced, draining, order_lost, answer_lost, confirmed };
    for (const bool checks : both_kinds) {
        for (const step at : {step::announced, step::draining, step::order_lost, step::answer_lost, step::confirmed}) {
            CAPTURE(checks);
            CAPTURE(static_cast<int>(at));
            zone_case zone(checks);
            zone.get_engine().running = at == step::draining ? 1 : 0;
            zone.announce(engine_role::decode);
            zone.engines.loses_next_order = at == step::order_lost;
            zone.engines.drops_next_answer = at == step::answer_lost;
            zone.run(zone.first, at == step::announced ? 0 : 6);
            zone.get_engine().running = 0;
            zone.hand_over();
            zone.run(zone.second, 10);
            zone.engines.deliver_late();
            zone.run(zone.second, 90);
            CHECK(zone.get_engine().role == engine_role::decode);
            for (const platform::role_change_order& order : zone.get_engine().applied) {
                CHECK(order.role == engine_role::decode);
            }
            CHECK(zone.second.changes.get_all().empty());
            CHECK(zone.second.driver.get_given_up() == 0);
            // The lost order itself cannot be resolved before its sender is known to have terminated.
            zone.hosts.gone.insert("host-1");
            zone.run(zone.second, 1);
            CHECK(zone.second.ledger.get_unresolved().empty());
        }
    }
}

TEST_CASE("while an order of a failed lease holder may still arrive, the engine gets no different order") {
    zone_case zone(false);
    zone.announce(engine_role::decode);
    zone.engines.loses_next_order = true;
    zone.run(zone.first, 6);
    REQUIRE(zone.engines.late.size() == 1);
    zone.get_engine().is_down = true;
    zone.hand_over();
    zone.run(zone.second, 400);
    zone.get_engine().is_down = false;
    const std::array<policy::role_order, 1> orders{
        {{.engine = engine_name, .zone = zone_name("a"), .from = engine_role::mixed, .to = engine_role::prefill}}};
    zone.second.driver.announce(orders);
    zone.run(zone.second, 30);
    zone.engines.deliver_late();
    zone.run(zone.second, 30);
    for (const platform::role_change_order& order : zone.get_engine().applied) {
        CHECK(order.role == engine_role::decode);
    }
}

TEST_CASE("no order is sent while the log is down, and the change continues afterwards") {
    for (const bool checks : both_kinds) {
        zone_case zone(checks);
        zone.announce(engine_role::decode);
        zone.log.is_down = true;
        zone.run(zone.first, 60);
        CHECK(zone.get_engine().applied.empty());
        zone.log.is_down = false;
        zone.run(zone.first, 30);
        CHECK(zone.get_engine().role == engine_role::decode);
        CHECK(zone.get_engine().applied.size() == 1);
    }
}

TEST_CASE("a change is abandoned when the engine crashes after its order and restarts in its old role") {
    zone_case zone(true);
    zone.announce(engine_role::decode);
    zone.run(zone.first, 5);
    REQUIRE(zone.get_engine().applied.size() == 1);
    zone.get_engine().role = engine_role::mixed;
    zone.get_engine().is_down = true;
    zone.run(zone.first, 10);
    zone.get_engine().is_down = false;
    zone.run(zone.first, 70);
    CHECK(zone.first.changes.get_all().empty());
    CHECK(zone.first.driver.get_given_up() == 1);
    CHECK(zone.get_engine().applied.size() == 1);
}

TEST_CASE("a change is ended when the engine rejects the order") {
    zone_case zone(true);
    zone.engines.rejects_orders = true;
    zone.announce(engine_role::decode);
    zone.run(zone.first, 10);
    CHECK(zone.first.changes.get_all().empty());
    CHECK(zone.first.ledger.get_unresolved().empty());
}

TEST_CASE("a previous lease holder that resumes announces and orders nothing") {
    for (const bool checks : both_kinds) {
        zone_case zone(checks);
        zone.announce(engine_role::decode);
        zone.hand_over();
        const std::size_t applied = zone.get_engine().applied.size();
        const std::array<policy::role_order, 1> orders{
            {{.engine = engine_name, .zone = zone_name("a"), .from = engine_role::mixed, .to = engine_role::prefill}}};
        CHECK(zone.first.driver.announce(orders) == 0);
        zone.first.driver.advance(zone.first.observer.get_all(), zone.manifest);
        CHECK(zone.get_engine().applied.size() == applied);
    }
}

TEST_CASE("the changes in progress survive saving and restoring a snapshot") {
    zone_case zone(true);
    zone.announce(engine_role::decode);
    daemon::role_change_fold copy;
    copy.restore_state(zone.first.changes.save_state());
    CHECK(copy.get_all() == zone.first.changes.get_all());
    CHECK(copy.get_all().size() == 1);
}
