#include <doctest/doctest.h>

#include "servers/backend_choice.hpp"
#include "servers/request_checks.hpp"
#include "support/entry_parts.hpp"

using namespace dragonflywell;
using namespace dragonflywell::servers;

TEST_CASE("a cut-off availability zone refuses the organisations that asked for it with outcome not_run, and serves "
          "the others") {
    testing::entry_parts parts;
    fleet::manifest manifest;
    const organisation_name refusing("accounts-desk");
    const organisation_name served("rovers");
    manifest.organisations[refusing] = {.name = refusing, .when_cut_off = fleet::cut_off_behaviour::refuse};
    manifest.organisations[served] = {.name = served};
    check_cut_off(parts.context, manifest, refusing);
    parts.cut_off.set_cut_off(true, parts.time.now());
    parts.time.advance(std::chrono::seconds(1));
    check_cut_off(parts.context, manifest, served);
    try {
        check_cut_off(parts.context, manifest, refusing);
        FAIL("a refusal was expected");
    } catch (const request_refused& refused) {
        CHECK(refused.get_reason() == policy::refusal_reason::zone_cut_off);
        CHECK(refused.get_outcome() == policy::request_outcome::not_run);
    }
}

TEST_CASE("an organisation that has used up its share of a billing window is refused with outcome not_run until the "
          "next window") {
    testing::entry_parts parts;
    parts.context.limits.entry_hosts = 2;
    fleet::manifest manifest;
    const organisation_name name("accounts-desk");
    manifest.organisations[name] = {.name = name, .tokens_per_window = 100};
    const coordination::window_number window = get_window(parts.time.wall_now(), manifest);
    check_cost_limit(parts.context, manifest, name);
    parts.usage.add({.organisation = name, .window = window}, {.prompt_tokens = 20, .completion_tokens = 30});
    try {
        check_cost_limit(parts.context, manifest, name);
        FAIL("a refusal was expected");
    } catch (const request_refused& refused) {
        CHECK(refused.get_reason() == policy::refusal_reason::over_cost_limit);
        CHECK(refused.get_outcome() == policy::request_outcome::not_run);
        parts.time.advance(refused.get_retry_after());
    }
    check_cost_limit(parts.context, manifest, name);
}
