#include "core/text.hpp"

#include <doctest/doctest.h>
#include <string>

#include "core/endpoint.hpp"

using namespace dragonflywell;
using namespace std::string_literals;

TEST_CASE("only well-formed UTF-8 is text") {
    for (const std::string text : {""s, "a\0b"s, "\xc3\xa9"s, "\xe2\x82\xac"s, "\xf0\x9f\x98\x80"s}) {
        CHECK(is_utf8(text));
    }
    for (const std::string text : {"\xff", "a\xc3", "\xc3(", "\x80", "\xc0\xaf", "\xed\xa0\x80", "\xf5\x80\x80\x80"}) {
        CHECK_FALSE(is_utf8(text));
    }
}

TEST_CASE("a name that cannot stand in a header or a message names no entry") {
    for (const std::string name : {"i-1"s, "a b"s, "#"s, "%41"s, "&a=b+"s, "\xc3\xa9"s, std::string(255, 'x')}) {
        CHECK(is_entry_name(name));
    }
    for (const std::string name :
         {""s, " "s, " a"s, "a "s, "a\tb"s, "a\nb"s, "a\r\nX: 1"s, "a\0b"s, "\x7f"s, "\xff"s, std::string(256, 'x')}) {
        CHECK_FALSE(is_entry_name(name));
    }
}

TEST_CASE("what would end a line of a request is no part of it") {
    CHECK(is_field_name("Expect-Instance"));
    CHECK(is_field_value("a\tb \xc3\xa9"));
    CHECK(is_field_value(""));
    CHECK(is_request_target("/a?b=%20"));
    for (const std::string text : {"a\r\nb"s, "a\nb"s, "a\rb"s, "a\0b"s, "a\x7f"s}) {
        CHECK_FALSE(is_field_name(text));
        CHECK_FALSE(is_field_value(text));
        CHECK_FALSE(is_request_target(text));
    }
    for (const std::string name : {"", "a b", "a:", "(a)", "\xc3\xa9"}) {
        CHECK_FALSE(is_field_name(name));
    }
    CHECK_FALSE(is_request_target(""));
    CHECK_FALSE(is_request_target("/a b"));
}

TEST_CASE("an address with other characters than those of an IP address is none") {
    CHECK(parse_endpoint("10.0.0.1:80"));
    CHECK(parse_endpoint("[::1]:80"));
    CHECK(parse_endpoint("[::ffff:10.0.0.1]:80"));
    for (const std::string text : {"10.0.0.1\0x:80"s, "[fe80::1%\r\nX-Injected: 1]:80"s, "[fe80::1%eth0]:80"s,
                                   "10.0.0.1 :80"s, "10.0.0.1\n:80"s, "::1%1:80"s}) {
        CHECK_FALSE(parse_endpoint(text));
    }
}
