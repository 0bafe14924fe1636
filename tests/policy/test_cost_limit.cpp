#include <doctest/doctest.h>

#include "policy/cost_limit.hpp"

using namespace dragonflywell;
using namespace dragonflywell::policy;

TEST_CASE("the shares of all hosts never exceed the limit in total") {
    for (const std::uint64_t hosts : {1U, 3U, 9U, 410U}) {
        for (const std::uint64_t limit : {1U, 8U, 100U, 12345U}) {
            CHECK(get_host_share(limit, hosts) * hosts <= limit);
        }
    }
}

TEST_CASE("an organisation is over its limit once its share on this host is used, and never without a limit") {
    fleet::organisation organisation{.name = organisation_name("accounts-desk"), .tokens_per_window = 900};
    CHECK_FALSE(is_over_cost_limit(organisation, 299, 3));
    CHECK(is_over_cost_limit(organisation, 300, 3));
    organisation.tokens_per_window = 0;
    CHECK_FALSE(is_over_cost_limit(organisation, 1000000, 3));
}
