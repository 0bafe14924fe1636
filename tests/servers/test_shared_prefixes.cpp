#include "servers/shared_prefixes.hpp"

#include <doctest/doctest.h>

using namespace dragonflywell;
using namespace dragonflywell::servers;
using namespace std::chrono_literals;

namespace {

const backend_server_name engine("e1");

digest_prefix_access make_touch(std::uint64_t shared, std::uint64_t own, std::uint32_t tokens = 5000) {
    return {.engine = engine, .parts = {{.id = shared, .tokens = tokens}, {.id = own, .tokens = 3000}}};
}

constexpr std::size_t ample_bytes = 10'000;

} // namespace

TEST_CASE("only prefixes that requests may share are announced to other groups, and at most once in each interval") {
    shared_prefixes prompts;
    const steady_time start{};
    prompts.add(make_touch(1, 10), start);
    prompts.add(make_touch(1, 11), start);
    prompts.add(make_touch(2, 12), start);
    prompts.add(make_touch(3, 13, 100), start);
    prompts.add({.engine = engine, .parts = {{.id = 4, .tokens = 9000}}}, start);
    const std::vector<digest_prefix_access> announced = prompts.take(start, ample_bytes);
    REQUIRE(announced.size() == 2);
    CHECK(announced[0].parts == std::vector<policy::prefix_block>{{.id = 1, .tokens = 5000}});
    CHECK(announced[1].parts.front().id == 2);
    prompts.add(make_touch(1, 14), start + 3s);
    CHECK(prompts.take(start + 3s, ample_bytes).empty());
    prompts.add(make_touch(1, 15), start + 5s);
    CHECK(prompts.take(start + 5s, ample_bytes).size() == 1);
}

TEST_CASE("one announcement is limited to the newest prefixes") {
    shared_prefixes prompts({.max_prefix_accesses = 3});
    for (std::uint64_t part = 1; part <= 9; ++part) {
        prompts.add(make_touch(part, 100 + part), steady_time{});
    }
    const std::vector<digest_prefix_access> announced = prompts.take(steady_time{}, ample_bytes);
    REQUIRE(announced.size() == 3);
    CHECK(announced.back().parts.front().id == 9);
}

TEST_CASE("prefixes for which a digest has no room are announced later, the newest ones first") {
    shared_prefixes prompts;
    for (std::uint64_t part = 1; part <= 3; ++part) {
        prompts.add(make_touch(part, 100 + part), steady_time{});
    }
    const std::size_t size = get_encoded_size(digest_prefix_access{.engine = engine, .parts = {{1, 5000}}});
    const std::vector<digest_prefix_access> first = prompts.take(steady_time{}, 2 * size);
    REQUIRE(first.size() == 2);
    CHECK(first.back().parts.front().id == 3);
    const std::vector<digest_prefix_access> rest = prompts.take(steady_time{}, 2 * size);
    REQUIRE(rest.size() == 1);
    CHECK(rest.front().parts.front().id == 1);
}
