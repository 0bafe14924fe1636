#pragma once

#include <string>
#include <vector>

namespace dragonflywell::testing {

/// Returns keys of entries that mean something else in a query, or that no query can hold, when they are not encoded.
inline std::vector<std::string> make_odd_keys() {
    using namespace std::string_literals;
    return {"a\0b"s,      " ",          " a",
            "a b",        "a ",         "#",
            "a#b",        "%",          "%41",
            "%zz",        "a%00b",      "a%",
            "&",          "a&b",        "&topic=keyed.op",
            "a&after=zz", "+",          "a+b",
            "=",          "a=b",        "?",
            "/../",       "\"quoted\"", "'",
            "a\tb",       "a\nb",       "a\r\nX-Injected: 1",
            "\x7f",       "zz&",        "zz+",
            "zz zz",      "zz%",        "\xc3\xa9"};
}

} // namespace dragonflywell::testing
