#include <doctest/doctest.h>

#include "fleet/serving_view.hpp"

using namespace dragonflywell;
using namespace dragonflywell::fleet;

namespace {

route make_route(const std::string& name, const std::string& host, const std::string& prefix) {
    return {.name = name, .host = host, .path_prefix = prefix, .shares = {{.service = service_name("s")}}};
}

} // namespace

TEST_CASE("the route with the longest matching prefix of the host is selected") {
    const serving_view view({.version = 1,
                             .routes = {make_route("short", "h", "/a/"), make_route("long", "h", "/a/b/"),
                                        make_route("other", "g", "/a/b/c/")},
                             .services = {},
                             .organisations = {},
                             .limits = {}});
    CHECK(view.find_route("h", "/a/x")->name == "short");
    CHECK(view.find_route("h", "/a/b/c/d")->name == "long");
    CHECK(view.find_route("g", "/a/b/c/d")->name == "other");
    // A prefix ends with a slash, so it does not match part of a path segment.
    CHECK(view.find_route("h", "/a") == nullptr);
    CHECK(view.find_route("h", "/ab/") == nullptr);
    CHECK(view.find_route("unknown", "/a/x") == nullptr);
}

TEST_CASE("a key identifies the organisation to which it belongs") {
    const serving_view view({.version = 1,
                             .routes = {},
                             .services = {{.name = service_name("s")}},
                             .organisations = {{.name = organisation_name("a"), .priority = {}, .keys = {"k1", "k2"}},
                                               {.name = organisation_name("b"), .priority = 1, .keys = {"k3"}}},
                             .limits = {}});
    CHECK(view.find_organisation("k2")->name.value() == "a");
    CHECK(view.find_organisation("k3")->priority == 1);
    CHECK(view.find_organisation("") == nullptr);
    CHECK(view.find_service(service_name("s")) != nullptr);
    CHECK(view.find_service(service_name("t")) == nullptr);
}
