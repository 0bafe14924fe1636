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
            places.push_back(problem.place + ": " + problem.message);
        }
    }
    return places;
}

} // namespace

TEST_CASE("dangling references and wrong values are listed all at once") {
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

TEST_CASE("a good manifest is parsed and put together again") {
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
