#include <doctest/doctest.h>

#include "core/hash.hpp"
#include "policy/access_control.hpp"

using namespace dragonflywell;

TEST_CASE("a key is accepted for its organisation only while the manifest contains it") {
    fleet::manifest manifest;
    manifest.keys["k1"] = {
        .id = "k1", .owner = organisation_name("rovers"), .salt = "salt", .sha256 = get_sha256_hex("saltsecret")};
    CHECK(policy::find_key_owner(manifest, "k1.secret") == organisation_name("rovers"));
    CHECK_FALSE(policy::find_key_owner(manifest, "k1.wrong").has_value());
    CHECK_FALSE(policy::find_key_owner(manifest, "k2.secret").has_value());
    CHECK_FALSE(policy::find_key_owner(manifest, "k1secret").has_value());
    manifest.keys.clear();
    CHECK_FALSE(policy::find_key_owner(manifest, "k1.secret").has_value());
}
