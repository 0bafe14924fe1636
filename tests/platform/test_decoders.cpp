#include <doctest/doctest.h>
#include <map>
#include <string>
#include <vector>

#include "core/error.hpp"
#include "platform/configuration_decoder.hpp"
#include "platform/server_record_decoder.hpp"

using namespace dragonflywell;
using namespace dragonflywell::platform;
using namespace std::chrono_literals;

namespace {

constexpr const char* configuration_text = R"({"version":7,"routes":[
 {"name":"r1","host":"Host.Example","pathPrefix":"/a/","kind":"stream","timeoutMs":4000,"targetLatencyMs":500,
  "priority":1,"service":"llm","attempts":2,"public":false,"sticky":true,"resumable":true,"targetGapMs":200},
 {"name":"r2","host":"host.example","pathPrefix":"/b/","kind":"unsafe","timeoutMs":800,"targetLatencyMs":150,
  "priority":2,"split":[{"service":"app","weight":90},{"service":"app2","weight":10}],"attempts":1,"public":true},
 {"name":"r3","host":"host.example","pathPrefix":"/c/","kind":"safe","service":"app","new field":{"x":1}}],
 "services":[{"name":"llm","healthPath":"/health","maxConns":360,"protocol":"h1","tls":false,
  "engine":{"slots":64,"kvCapacity":547862,"kvTokenBytes":18432,"linkMbps":370000.0,"moves":true,"backups":true,
   "stride":6,"most":12,"kvHoldS":5.0,"switchS":3.0,"pinMs":4000.0,"holdMs":2000.0,"models":[{"name":"m"}]},
  "scaling":{"min":1,"max":6,"bootDelayS":4.0,"spotPrice":0.22,"zonePrices":{"z1":1.0,"z2":0.8}}},
  {"name":"app","healthPath":"/health","maxConns":96}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
 "tenants":[{"name":"t1","apiKeys":["k1","k2"],"priority":1},{"name":"t2","apiKeys":[]}]})";

} // namespace

TEST_CASE("all fields of a configuration are decoded") {
    const fleet::serving_configuration decoded = decode_configuration(configuration_text);
    CHECK(decoded.version == 7);
    REQUIRE(decoded.routes.size() == 3);
    CHECK(decoded.routes[0].host == "host.example");
    CHECK(decoded.routes[0].retry == fleet::retry_policy::resumable_stream);
    CHECK(decoded.routes[0].timeout == 4s);
    CHECK(decoded.routes[0].target_gap == 200ms);
    CHECK(decoded.routes[0].has_prompt_parts);
    CHECK(decoded.routes[1].retry == fleet::retry_policy::at_most_once);
    CHECK(decoded.routes[1].is_public);
    REQUIRE(decoded.routes[1].shares.size() == 2);
    CHECK(decoded.routes[1].shares[0].weight == 90);
    CHECK(decoded.routes[2].retry == fleet::retry_policy::idempotent);
    CHECK(decoded.routes[2].max_attempts == 1);
    REQUIRE(decoded.services.size() == 2);
    REQUIRE(decoded.services[0].engine);
    CHECK(decoded.services[0].engine->tokens_per_event == 6);
    CHECK(decoded.services[0].engine->stage_change_time == 3s);
    REQUIRE(decoded.services[0].scaling);
    CHECK(decoded.services[0].scaling->max_servers == 6);
    CHECK(decoded.services[0].scaling->cheap_price == doctest::Approx(0.22));
    CHECK(decoded.services[0].scaling->zone_prices.at(zone_name("z2")) == doctest::Approx(0.8));
    CHECK_FALSE(decoded.services[1].engine);
    CHECK(decoded.limits.header_timeout == 3s);
    REQUIRE(decoded.organisations.size() == 2);
    CHECK(decoded.organisations[0].priority == 1);
    CHECK(decoded.organisations[0].keys.size() == 2);
    CHECK_FALSE(decoded.organisations[1].priority);
}

// Guards against review case 2: an empty list of tenants opened the deployment to any key, or none.
TEST_CASE("a configuration needs keys if it has the list of tenants, also an empty one") {
    const auto needs_keys = [](const char* text) { return decode_configuration(text).requires_keys; };
    CHECK(needs_keys(R"({"version":1,"tenants":[{"name":"t1","apiKeys":["k1"]}]})"));
    CHECK(needs_keys(R"({"version":1,"tenants":[{"name":"t1","apiKeys":[]}]})"));
    CHECK(needs_keys(R"({"version":1,"tenants":[]})"));
    CHECK(needs_keys(R"({"version":1,"tenants":null})"));
    CHECK_FALSE(needs_keys(R"({"version":1})"));
}

TEST_CASE("a route of an unknown kind is treated as one that must not be retried") {
    const fleet::serving_configuration decoded =
        decode_configuration(R"({"version":1,"routes":[{"host":"h","pathPrefix":"/","kind":"keyed","service":"s"}]})");
    CHECK(decoded.routes[0].retry == fleet::retry_policy::at_most_once);
}

TEST_CASE("a malformed configuration is rejected") {
    for (const char* text : {"", "[]", "{}", R"({"version":"7"})", R"({"version":1,"routes":[{}]})",
                             R"({"version":1,"routes":[{"host":"h","pathPrefix":"/","kind":"safe","split":[]}]})",
                             R"({"version":1,"routes":3})", R"({"version":1,"tenants":[{"name":"t"}]})"}) {
        CAPTURE(text);
        CHECK_THROWS_AS(static_cast<void>(decode_configuration(text)), malformed_message_error);
    }
}

TEST_CASE("all fields of a server entry are decoded") {
    const fleet::server_record record = decode_server_record(
        "i-1", R"({"service":"llm","addr":"10.0.0.9:8080","zone":"z","version":"v1","slots":64,"state":"draining",
                   "coldRemainingMs":250,"stage":"prefill","models":[],"seq":4,"born":1774100506431,"spot":true,
                   "leaves_ms":2500})");
    CHECK(record.id.value() == "i-1");
    CHECK(record.address == endpoint{.address = "10.0.0.9", .port = 8080});
    CHECK(record.is_draining);
    CHECK(record.is_cheap);
    CHECK(record.stage == fleet::engine_stage::prefill);
    CHECK(record.warmup_left == 250ms);
    CHECK(record.time_to_reclaim == 2500ms);
    CHECK(record.started_at_ms == 1774100506431);
}

TEST_CASE("a malformed server entry is rejected") {
    const std::string others = R"("version":"v1","coldRemainingMs":0,"seq":1,"born":1)";
    const std::string good = R"("service":"s","addr":"10.0.0.9:8080","zone":"z","slots":4,)" + others;
    CHECK_FALSE(decode_server_record("i", "{" + good + R"(,"state":"ready"})").is_draining);
    for (const std::string& text :
         {std::string(), std::string("\xff\xfe"), std::string("[1]"), "{" + good + "}",
          "{" + good + R"(,"state":"resting"})", "{" + good + R"(,"state":3})",
          "{" + good + R"(,"state":"ready","spot":"yes"})", "{" + good + R"(,"state":"ready","leaves_ms":-1})",
          R"({"service":"s","addr":"nowhere","zone":"z","slots":4,"state":"ready",)" + others + "}",
          R"({"service":"s","addr":"10.0.0.9:8080","zone":"z","slots":0,"state":"ready",)" + others + "}",
          R"({"service":"s","addr":"10.0.0.9:8080","zone":"z","slots":4294967296,"state":"ready",)" + others + "}",
          R"({"service":"s","addr":"10.0.0.9:8080","zone":"z","slots":"4","state":"ready",)" + others + "}"}) {
        CAPTURE(text);
        CHECK_THROWS_AS(static_cast<void>(decode_server_record("i", text)), malformed_message_error);
    }
    CHECK_THROWS_AS(static_cast<void>(decode_server_record("", "{" + good + R"(,"state":"ready"})")),
                    malformed_message_error);
}

// Guards against DRAIN: an entry of another writer, without its start, counted as a restart of the server.
TEST_CASE("a server entry is rejected if any field is missing that every server states") {
    const std::map<std::string, std::string> all{
        {"service", R"("s")"},    {"addr", R"("10.0.0.9:8080")"}, {"zone", R"("z")"},       {"version", R"("v1")"},
        {"slots", "4"},           {"state", R"("ready")"},        {"coldRemainingMs", "0"}, {"seq", "3"},
        {"born", "1774100506431"}};
    const auto make_entry = [&](const std::string& without) {
        std::string text = "{";
        for (const auto& [name, value] : all) {
            if (name != without) {
                text += (text.size() > 1 ? "," : "") + ("\"" + name + "\":" + value);
            }
        }
        return text + "}";
    };
    CHECK(decode_server_record("i", make_entry("")).started_at_ms == 1774100506431);
    for (const auto& [name, value] : all) {
        CAPTURE(name);
        CHECK_THROWS_AS(static_cast<void>(decode_server_record("i", make_entry(name))), malformed_message_error);
    }
}

TEST_CASE("an odd server entry is rejected without harm, whichever of its fields is wrong") {
    const std::map<std::string, std::string> good{{"service", R"("s")"},
                                                  {"addr", R"("10.0.0.9:8080")"},
                                                  {"zone", R"("z")"},
                                                  {"version", R"("v1")"},
                                                  {"slots", "4"},
                                                  {"state", R"("ready")"},
                                                  {"coldRemainingMs", "0"},
                                                  {"seq", "1"},
                                                  {"stage", R"("decode")"},
                                                  {"spot", "false"},
                                                  {"born", "1"},
                                                  {"leaves_ms", "5"}};
    const std::vector<std::string> odd{"1e400",
                                       "99999999999999999999999999",
                                       "18446744073709551615",
                                       "9223372036854775808",
                                       "-9223372036854775808",
                                       "-1",
                                       "1.5",
                                       "null",
                                       "[]",
                                       "{}",
                                       "true",
                                       R"("10.0.0.9:65536")",
                                       R"("10.0.0.9:0")",
                                       R"("10.0.0.9:-1")",
                                       R"("10.0.0.9:99999999999999999999")",
                                       R"("999.0.0.1:80")",
                                       R"("")",
                                       std::string(20'000, '[') + std::string(20'000, ']'),
                                       std::string(20'000, '[')};
    for (const auto& [field, value] : good) {
        for (const std::string& wrong : odd) {
            CAPTURE(field);
            CAPTURE(wrong.substr(0, 60));
            std::string text = "{";
            for (const auto& [name, right] : good) {
                text += (text.size() > 1 ? "," : "") + ("\"" + name + "\":") + (name == field ? wrong : right);
            }
            text += "}";
            try {
                const fleet::server_record record = decode_server_record("i", text);
                CHECK(record.address.port != 0);
                CHECK(record.slots > 0);
                CHECK(record.warmup_left >= duration::zero());
                CHECK(record.started_at_ms > 0);
            } catch (const malformed_message_error&) {
            }
        }
    }
}

// Guards against an organisation whose quota is left out, or read in the wrong unit.
TEST_CASE("the quota of an organisation is decoded") {
    const auto decode_quota = [](const std::string& fields) {
        return platform::decode_configuration(R"({"version":1,"tenants":[{"name":"t","apiKeys":[])" + fields + "}]}")
            .organisations.front()
            .quota;
    };
    CHECK_FALSE(decode_quota(""));
    CHECK_FALSE(decode_quota(R"(,"ratePerS":0,"burst":5)"));
    CHECK(decode_quota(R"(,"ratePerS":2.5,"burst":5)") ==
          fleet::quota{.rate_per_second = 2.5, .burst = 5, .unit = fleet::quota_unit::requests, .plain_tokens = 1});
    CHECK(decode_quota(R"(,"ratePerS":100,"unit":"requests")")->unit == fleet::quota_unit::requests);
    CHECK(decode_quota(R"(,"ratePerS":100,"burst":10,"unit":"tokens","plainTokens":70)") ==
          fleet::quota{.rate_per_second = 100, .burst = 10, .unit = fleet::quota_unit::tokens, .plain_tokens = 70});
    for (const char* broken : {R"(,"ratePerS":-1)", R"(,"ratePerS":"x")", R"(,"ratePerS":1,"burst":-2)",
                               R"(,"ratePerS":1,"unit":"bytes")", R"(,"ratePerS":1e16)"}) {
        CAPTURE(broken);
        CHECK_THROWS_AS(static_cast<void>(decode_quota(broken)), malformed_message_error);
    }
}
