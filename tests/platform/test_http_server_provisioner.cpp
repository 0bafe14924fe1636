#include <doctest/doctest.h>

#include "platform/http_engine_control.hpp"
#include "platform/http_server_provisioner.hpp"
#include "standin/engine_standin.hpp"
#include "standin/platform_standin.hpp"
#include "support/running_standin.hpp"

using namespace dragonflywell;
using namespace dragonflywell::platform;
using dragonflywell::testing::running_standin;

TEST_CASE("a request whose response was lost is found under its key, and a repetition changes nothing") {
    running_standin<standin::platform_standin> platform;
    http_server_provisioner ordering({.server = platform.get_endpoint()});
    const provisioning_request wanted{
        .idempotency_key = "k1", .zone = zone_name("a"), .model = model_name("m"), .is_cheap = true};
    CHECK_FALSE(ordering.find("k1").has_value());
    CHECK(ordering.get_all().empty());
    platform.faults.set_plan({.kind = standin::fault_kind::drop_answer, .count = 1});
    CHECK_THROWS_AS(ordering.request(wanted), provisioning_unavailable_error);
    CHECK(ordering.find("k1") == wanted);
    provisioning_request other = wanted;
    other.zone = zone_name("b");
    ordering.request(other);
    CHECK(ordering.get_all() == std::vector<provisioning_request>{wanted});
    ordering.release("k1");
    ordering.release("k1");
    CHECK_FALSE(ordering.find("k1").has_value());
}

TEST_CASE("an engine that checks fencing numbers refuses a stale one, and an engine that does not check accepts it") {
    for (const bool checks : {true, false}) {
        CAPTURE(checks);
        running_standin<standin::engine_standin> engine(
            standin::engine_standin_options{.model = "m", .checks_fencing = checks});
        http_engine_control control({});
        const duration deadline = std::chrono::seconds(2);
        const role_change_order newer{
            .role = fleet::engine_role::decode, .fencing_number = 9, .idempotency_key = "new"};
        const role_change_order older{
            .role = fleet::engine_role::prefill, .fencing_number = 3, .idempotency_key = "old"};
        CHECK(control.send(engine.get_endpoint(), newer, deadline) == role_change_result::applied);
        CHECK(control.get_load(engine.get_endpoint()).role == fleet::engine_role::decode);
        const role_change_result reply = control.send(engine.get_endpoint(), older, deadline);
        CHECK(reply == (checks ? role_change_result::stale_fencing_number : role_change_result::applied));
        CHECK(control.get_load(engine.get_endpoint()).model == model_name("m"));
    }
}

TEST_CASE("an order whose response was lost is reported as sent, because it may have taken effect") {
    running_standin<standin::engine_standin> engine(standin::engine_standin_options{.model = "m"});
    http_engine_control control({});
    engine.faults.set_plan({.kind = standin::fault_kind::drop_answer, .count = 1});
    const role_change_order order{.role = fleet::engine_role::decode, .fencing_number = 1, .idempotency_key = "k"};
    try {
        control.send(engine.get_endpoint(), order, std::chrono::seconds(2));
        FAIL("an error was expected");
    } catch (const engine_unreachable_error& fault) {
        CHECK(fault.is_sent());
    }
    CHECK(control.get_load(engine.get_endpoint()).role == fleet::engine_role::decode);
}
