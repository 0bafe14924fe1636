#include <doctest/doctest.h>

#include <array>

#include "servers/backend_choice.hpp"
#include "servers/request_refused.hpp"
#include "support/entry_parts.hpp"

using namespace dragonflywell;
using namespace dragonflywell::servers;

namespace {

fleet::backend_server make_engine(const char* name, bool is_cheap = false) {
    return {.name = backend_server_name(name),
            .zone = zone_name("a"),
            .address = {},
            .is_cheap = is_cheap,
            .offer = fleet::engine{.model = model_name("m")}};
}

/// Placement of a daemon with two engines, one of them cheap.
struct placement_fixture : testing::entry_parts {
    /// Returns how often each engine was chosen for a hundred requests.
    std::map<std::string, int> choose(const work_requirements& work) {
        std::map<std::string, int> counts;
        for (int request = 0; request < 100; ++request) {
            ++counts[choose_backend_server(context, servers, {}, work).name.value()];
        }
        return counts;
    }

    fleet::backend_server regular = make_engine("regular");
    fleet::backend_server cheap = make_engine("cheap", true);
    std::vector<const fleet::backend_server*> servers{&regular, &cheap};
};

constexpr work_requirements repeatable{
    .demand = {}, .interruptibility = policy::work_class::repeatable, .tokens = 10, .max_cheap_share = 0.5};
constexpr work_requirements guaranteed{
    .demand = {}, .interruptibility = policy::work_class::guaranteed, .tokens = 10, .max_cheap_share = 0.5};

} // namespace

TEST_CASE("an engine with an announced role change gets no new requests") {
    placement_fixture fleet;
    fleet.engines.set({{fleet.regular.name, {.role = fleet::engine_role::mixed, .takes_new_work = false}}});
    CHECK(fleet.choose(repeatable)["regular"] == 0);
    fleet.engines.set({{fleet.regular.name, {.takes_new_work = false}}, {fleet.cheap.name, {.takes_new_work = false}}});
    CHECK_THROWS_AS(static_cast<void>(fleet.choose(repeatable)), request_refused);
}

TEST_CASE("work that may not run again is not placed on a cheap server while a regular one is available") {
    placement_fixture fleet;
    CHECK(fleet.choose(guaranteed)["cheap"] == 0);
    CHECK(fleet.choose(repeatable)["cheap"] > 0);
    const backend_load_table::reservation on_regular(fleet.loads, fleet.regular.name, 1000);
    const backend_load_table::reservation on_cheap(fleet.loads, fleet.cheap.name, 1000);
    CHECK(fleet.choose(repeatable)["cheap"] == 0);
    fleet.servers = {&fleet.cheap};
    CHECK(fleet.choose(guaranteed)["cheap"] == 100);
}

TEST_CASE("an engine whose role suits the work is preferred until its load is much higher") {
    placement_fixture fleet;
    fleet.cheap.is_cheap = false;
    fleet.engines.set({{fleet.regular.name, {.role = fleet::engine_role::prefill}},
                       {fleet.cheap.name, {.role = fleet::engine_role::decode}}});
    work_requirements work = repeatable;
    work.demand = policy::role_demand{.prefill = 10, .decode = 1};
    auto counts = fleet.choose(work);
    CHECK(counts["regular"] > counts["cheap"]);
    const backend_load_table::reservation busy(fleet.loads, fleet.regular.name, 5000);
    counts = fleet.choose(work);
    CHECK(counts["regular"] < counts["cheap"]);
}
