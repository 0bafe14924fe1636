#include <doctest/doctest.h>

#include "core/settings_reader.hpp"

using namespace dragonflywell;

TEST_CASE("every problem of a settings file is listed with its line") {
    settings_reader reader("[a]\nport = 99999\nname = 3\n[b]\nextra = true\n", "x.toml");
    static_cast<void>(reader.get_integer("a.port", {.min = 1, .max = 65535}));
    static_cast<void>(reader.get_string("a.name"));
    static_cast<void>(reader.get_string("a.missing"));
    try {
        reader.finish();
        FAIL("a problem was expected");
    } catch (const invalid_input_error& fault) {
        const std::vector<input_problem> expected{
            {.location = "x.toml:2", .message = "a.port is 99999, permitted are 1 to 65535"},
            {.location = "x.toml:3", .message = "a.name must be a string"},
            {.location = "x.toml", .message = "a.missing is missing"},
            {.location = "x.toml:5", .message = "b.extra is not a known key"}};
        CHECK(fault.problems() == expected);
    }
}
