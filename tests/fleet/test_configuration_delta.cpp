#include "fleet/configuration_delta.hpp"

#include <algorithm>
#include <doctest/doctest.h>
#include <fmt/format.h>
#include <random>

using namespace dragonflywell;
using namespace dragonflywell::fleet;

namespace {

/// Random configurations with few distinct names, so that consecutive ones share, change, add and drop items.
class configuration_generator {
public:
    explicit configuration_generator(std::uint64_t seed) : m_random(seed) {}

    serving_configuration make(std::uint64_t version) {
        serving_configuration configuration{
            .version = version,
            .routes = {},
            .services =
                {{.name = service_name("app"), .health_path = "/", .max_connections = 1, .engine = {}, .scaling = {}}},
            .organisations = {},
            .limits = {.header_bytes = 1000U + draw(2)}};
        for (std::uint32_t number = 0; number < 8; ++number) {
            if (draw(3) > 0) {
                configuration.routes.push_back(make_route(number));
            }
            if (draw(3) > 0) {
                configuration.organisations.push_back({.name = organisation_name(fmt::format("org{}", number)),
                                                       .priority = draw(2),
                                                       .keys = {fmt::format("key{}-{}", number, draw(2))}});
            }
        }
        std::shuffle(configuration.routes.begin(), configuration.routes.end(), m_random);
        return configuration;
    }

private:
    std::uint32_t draw(std::uint32_t count) {
        return std::uniform_int_distribution<std::uint32_t>(0, count - 1)(m_random);
    }

    route make_route(std::uint32_t number) {
        return {.name = fmt::format("r{}", number),
                .host = fmt::format("host{}", number % 3),
                .path_prefix = fmt::format("/{}/", number),
                .shares = {{.service = service_name("app"), .weight = 1 + draw(2)}},
                .timeout = std::chrono::milliseconds(draw(2))};
    }

    std::mt19937_64 m_random;
};

/// Puts the items of a configuration into one order, since their order has no meaning when none are equal.
serving_configuration sort(serving_configuration configuration) {
    const auto get_route_key = [](const route& item) { return route_key{item.host, item.path_prefix}; };
    std::sort(configuration.routes.begin(), configuration.routes.end(),
              [&](const route& left, const route& right) { return get_route_key(left) < get_route_key(right); });
    std::sort(configuration.organisations.begin(), configuration.organisations.end(),
              [](const auto& left, const auto& right) { return left.name < right.name; });
    return configuration;
}

} // namespace

TEST_CASE("a delta turns each configuration into exactly the next one") {
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        CAPTURE(seed);
        configuration_generator generator(seed);
        serving_configuration held = generator.make(1);
        for (std::uint64_t version = 2; version <= 6; ++version) {
            const serving_configuration next = generator.make(version);
            const std::optional<configuration_delta> delta = make_delta(held, next);
            REQUIRE(delta);
            held = apply_delta(held, *delta);
            REQUIRE(sort(held) == sort(next));
        }
    }
}

TEST_CASE("a delta holds only what differs") {
    serving_configuration base = configuration_generator(1).make(1);
    serving_configuration next = base;
    next.version = 2;
    next.routes.front().max_attempts = 9;
    const std::optional<configuration_delta> delta = make_delta(base, next);
    REQUIRE(delta);
    CHECK(delta->changed_routes.size() == 1);
    CHECK(delta->removed_routes.empty());
    CHECK(delta->changed_organisations.empty());
    CHECK(delta->removed_organisations.empty());
    CHECK_FALSE(delta->limits);
}

TEST_CASE("a delta that removes the last organisation leaves the need for keys") {
    const serving_configuration base = configuration_generator(1).make(1);
    REQUIRE_FALSE(base.organisations.empty());
    serving_configuration next = base;
    next.version = 2;
    next.organisations.clear();
    const std::optional<configuration_delta> delta = make_delta(base, next);
    REQUIRE(delta);
    const serving_configuration applied = apply_delta(base, *delta);
    CHECK(applied.organisations.empty());
    CHECK(applied.requires_keys);
}

// Guards against ROUTE: a host of an earlier version relays such a change, and its receiver must not stay open.
TEST_CASE("a delta that adds organisations to a configuration without keys makes keys necessary") {
    serving_configuration base = configuration_generator(1).make(1);
    base.organisations.clear();
    base.requires_keys = false;
    const configuration_delta delta{
        .base_version = 1,
        .version = 2,
        .removed_routes = {},
        .changed_routes = {},
        .removed_organisations = {},
        .changed_organisations = {{.name = organisation_name("o"), .priority = {}, .keys = {"k"}}},
        .limits = {}};
    CHECK(apply_delta(base, delta).requires_keys);
}

TEST_CASE("configurations of which only one needs keys have no delta") {
    const serving_configuration base = configuration_generator(1).make(1);
    serving_configuration next = base;
    next.requires_keys = false;
    CHECK_FALSE(make_delta(base, next));
    CHECK_FALSE(make_delta(next, base));
}

TEST_CASE("configurations whose order matters, or whose services differ, have no delta") {
    const serving_configuration base = configuration_generator(1).make(1);
    serving_configuration next = base;
    next.services.push_back(
        {.name = service_name("new"), .health_path = "", .max_connections = 1, .engine = {}, .scaling = {}});
    CHECK_FALSE(make_delta(base, next));
    next = base;
    next.routes.push_back(next.routes.front());
    CHECK_FALSE(make_delta(base, next));
    CHECK_FALSE(make_delta(next, base));
    next = base;
    next.organisations.push_back(
        {.name = organisation_name("other"), .priority = {}, .keys = next.organisations.front().keys});
    CHECK_FALSE(make_delta(base, next));
}

TEST_CASE("a delta carries a changed quota") {
    // Guards against hosts that keep a higher quota after a lower one was published.
    const serving_configuration base = configuration_generator(1).make(1);
    REQUIRE_FALSE(base.organisations.empty());
    serving_configuration next = base;
    next.version = base.version + 1;
    next.organisations.front().quota =
        quota{.rate_per_second = 5, .burst = 1, .unit = quota_unit::tokens, .plain_tokens = 2};
    const auto delta = make_delta(base, next);
    REQUIRE(delta);
    CHECK(delta->changed_organisations.size() == 1);
    CHECK(sort(apply_delta(base, *delta)) == sort(next));
}
