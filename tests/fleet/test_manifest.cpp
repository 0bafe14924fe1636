#include <doctest/doctest.h>

#include "core/error.hpp"
#include "fleet/manifest.hpp"

using namespace dragonflywell;
using namespace dragonflywell::fleet;

namespace {

std::vector<std::string> get_places(const char* document) {
    std::vector<std::string> places;
    try {
        static_cast<void>(parse_manifest(get_manifest_entries(document)));
    } catch (const invalid_input_error& fault) {
        for (const input_problem& problem : fault.problems()) {
            places.push_back(problem.location + ": " + problem.message);
        }
    }
    return places;
}

} // namespace

TEST_CASE("all invalid references and values are listed at once") {
    const auto places = get_places(R"({
        "zones": {"a": {"region": "r"}},
        "keys": {"k1": {"organisation": "nobody", "salt": "s", "sha256": "00"}},
        "routes": {"x": {"service": "app", "path_prefix": "x", "methods": ["GET"], "typo": 1}},
        "backend_servers": {"e": {"zone": "b", "address": "host:1", "model": "m"}},
        "unknown": {"y": {}}
    })");
    const std::vector<std::string> expected{"backend_servers/e: address \"host:1\" is not an IP number and port",
                                            "keys/k1: sha256 must have 64 hexadecimal digits",
                                            "routes/x: path_prefix must start with /",
                                            "routes/x: typo is not a known key",
                                            "unknown/y: is not a known section",
                                            "keys/k1: organisation \"nobody\" does not exist",
                                            "backend_servers/e: zone \"b\" does not exist",
                                            "backend_servers/e: model \"m\" does not exist"};
    CHECK(places == expected);
}

TEST_CASE("a valid manifest is parsed, and its entries combine to the same document again") {
    const manifest_entries entries = get_manifest_entries(R"({
        "zones": {"a": {"region": "r"}},
        "models": {"m": {"version": "1"}},
        "backend_servers": {"e": {"zone": "a", "address": "127.0.0.1:1", "model": "m", "role": "decode"}}
    })");
    const manifest parsed = parse_manifest(entries);
    const backend_server& server = parsed.backend_servers.at(backend_server_name("e"));
    REQUIRE(server.get_engine() != nullptr);
    CHECK(server.get_engine()->role == engine_role::decode);
    CHECK(get_manifest_entries(get_manifest_document(entries)) == entries);
}

TEST_CASE("spending limits, token costs and cheap servers are read, and values out of range are refused") {
    const fleet::manifest manifest = fleet::parse_manifest(
        {{"settings/spending", R"({"cheap_price_milli":300,"most_cheap_percent":40,"lead_seconds":60})"},
         {"zones/a", R"({"region":"r","most_servers":7,"cheap_servers":false})"},
         {"models/m", R"({"version":"1","prompt_token_milliunits":100})"},
         {"organisations/o", R"({"accepts_cheap_servers":false})"}});
    CHECK(manifest.prices.cheap_price_milli == 300);
    CHECK(manifest.prices.max_cheap_percent == 40);
    CHECK(manifest.prices.lead_time == std::chrono::seconds(60));
    CHECK(manifest.zones.at(zone_name("a")).max_servers == 7);
    CHECK_FALSE(manifest.zones.at(zone_name("a")).has_cheap_servers);
    CHECK(manifest.models.at(model_name("m")).prompt_token_milliunits == 100);
    CHECK_FALSE(manifest.organisations.at(organisation_name("o")).accepts_cheap_servers);
    CHECK_THROWS_AS(fleet::parse_manifest({{"settings/spending", R"({"most_cheap_percent":101})"}}),
                    invalid_input_error);
}
