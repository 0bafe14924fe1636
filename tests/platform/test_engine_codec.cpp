#include <doctest/doctest.h>

#include <string>

#include "platform/engine_codec.hpp"

using namespace dragonflywell;

namespace {

servers::server_notice decode_limit(const std::string& value) {
    servers::http::response_header<> head;
    head.result(servers::http::status::ok);
    head.set("Server-Limit", value);
    return platform::engine_codec().decode_notice(head);
}

} // namespace

TEST_CASE("a limit of zero requests a second is not taken for a response without a limit") {
    const servers::server_notice notice = decode_limit("0");
    CHECK(notice.names_limit);
    CHECK(notice.limit == 0);
    CHECK_FALSE(platform::engine_codec().decode_notice({}).names_limit);
}

TEST_CASE("a limit with a fraction is not cut to a whole number") {
    CHECK(decode_limit("3.7").limit == 3.7);
}

TEST_CASE("a limit that is no number is not taken for a response without a limit") {
    for (const char* value : {"", "nan", "inf", "-inf", "1e999", "2/s", "2 3", "0x10", "two"}) {
        CAPTURE(value);
        const servers::server_notice notice = decode_limit(value);
        CHECK(notice.names_limit);
        CHECK_FALSE(notice.limit);
    }
}
