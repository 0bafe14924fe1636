#include "gossip/relayed_configuration.hpp"

#include <doctest/doctest.h>

#include "core/error.hpp"
#include "core/json.hpp"

using namespace dragonflywell;
using namespace std::chrono_literals;

namespace {

gossip::relayed_configuration decode(const std::string& text) {
    const boost::json::value document = json::parse(text);
    return gossip::decode_relayed_configuration(json::as_object(document, "datagram"));
}

const fleet::configuration_delta delta{
    .base_version = 3,
    .version = 7,
    .removed_routes = {{.host = "h", .path_prefix = "/old/"}},
    .changed_routes = {{.name = "r",
                        .host = "h",
                        .path_prefix = "/new/",
                        .retry = fleet::retry_policy::resumable_stream,
                        .shares = {{.service = service_name("a"), .weight = 90},
                                   {.service = service_name("b"), .weight = 10}},
                        .timeout = 5s,
                        .target_latency = 600ms,
                        .target_gap = 250ms,
                        .max_attempts = 2,
                        .priority = 1,
                        .is_public = true,
                        .has_prompt_parts = true}},
    .removed_organisations = {organisation_name("gone")},
    .changed_organisations =
        {{.name = organisation_name("o"),
          .priority = 1,
          .keys = {"k1", "k2"},
          .quota =
              fleet::quota{.rate_per_second = 0.5, .burst = 3, .unit = fleet::quota_unit::tokens, .plain_tokens = 70}},
         {.name = organisation_name("p"), .priority = {}, .keys = {}}},
    .limits = fleet::caller_limits{.header_bytes = 1, .body_bytes = 2, .header_timeout = 3ms, .idle_timeout = 4ms}};

} // namespace

TEST_CASE("relayed changes of the configuration are decoded as they were encoded") {
    const gossip::relayed_configuration decoded = decode(gossip::encode_relayed_configuration(
        {{.delta = {.base_version = 1, .version = 3}, .next = {.era = 2, .offset = 8}},
         {.delta = delta, .next = {.era = 2, .offset = 9}}}));
    REQUIRE(decoded.size() == 2);
    CHECK(decoded[0].delta.version == 3);
    CHECK(decoded[0].next == log_position{.era = 2, .offset = 8});
    CHECK(decoded[1].delta == delta);
    CHECK(decoded[1].next == log_position{.era = 2, .offset = 9});
}

TEST_CASE("a relayed change that is cut short, or has a number out of range, is rejected") {
    const std::string text = gossip::encode_relayed_configuration({{.delta = delta, .next = {.era = 2, .offset = 9}}});
    for (const std::string field :
         {"base_version", "version", "next_offset", "changed_routes", "shares", "retry", "keys"}) {
        CAPTURE(field);
        std::string damaged = text;
        damaged.replace(damaged.find("\"" + field + "\""), field.size() + 2, "\"other\"");
        CHECK_THROWS_AS(static_cast<void>(decode(damaged)), malformed_message_error);
    }
    for (const std::string number : {"99999999999999999999", "-1", "1e400", "\"9\""}) {
        CAPTURE(number);
        std::string damaged = text;
        damaged.replace(damaged.find("\"weight\":90"), 11, "\"weight\":" + number);
        CHECK_THROWS_AS(static_cast<void>(decode(damaged)), malformed_message_error);
        damaged = text;
        damaged.replace(damaged.find("\"era\":2"), 7, "\"era\":" + number);
        CHECK_THROWS_AS(static_cast<void>(decode(damaged)), malformed_message_error);
    }
}

TEST_CASE("a relayed quota without a rate is rejected") {
    // Guards against an organisation that loses its quota, or is refused for ever, by a damaged datagram.
    std::string text = gossip::encode_relayed_configuration({{.delta = delta, .next = {.era = 2, .offset = 9}}});
    text.replace(text.find("\"rate_per_second\""), 17, "\"other\"");
    CHECK_THROWS_AS(static_cast<void>(decode(text)), malformed_message_error);
}
