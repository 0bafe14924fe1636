#include "daemon/host_list.hpp"

#include <doctest/doctest.h>

#include "core/error.hpp"
#include "core/json.hpp"
#include "daemon/relayed_records.hpp"

using namespace dragonflywell;
using daemon::listed_host;

TEST_CASE("the entry of a host survives encoding and decoding, and malformed entries are rejected") {
    const listed_host host{
        .name = "h1", .zone = zone_name("z1"), .address = {.address = "10.0.0.1", .port = 7000}, .incarnation = 12};
    CHECK(daemon::decode_host_entry("h1", daemon::encode_host_entry(host)) == host);
    for (const char* text : {"", "[]", "{}", R"({"address":"nowhere","zone":"z"})", R"({"address":"10.0.0.1:1"})"}) {
        CAPTURE(text);
        CHECK_THROWS_AS(static_cast<void>(daemon::decode_host_entry("h1", text)), malformed_message_error);
    }
}

TEST_CASE("relayed records survive encoding and decoding, and malformed ones are rejected") {
    platform::store_page page;
    page.next = {.era = 3, .offset = 9};
    page.end = page.next;
    page.records = {{.offset = 7, .key = "a", .value = "1"}, {.offset = 8, .key = "b", .value = {}}};
    const boost::json::value document =
        json::parse(daemon::encode_relayed_records({.from = {.era = 3, .offset = 7}, .page = page}));
    REQUIRE(daemon::is_relayed_records(document.get_object()));
    const daemon::relayed_records relayed = daemon::decode_relayed_records(document.get_object());
    CHECK(relayed.from == log_position{.era = 3, .offset = 7});
    CHECK(relayed.page.next == page.next);
    REQUIRE(relayed.page.records.size() == 2);
    CHECK(relayed.page.records[0].value == "1");
    CHECK(relayed.page.records[1].offset == 8);
    CHECK_FALSE(relayed.page.records[1].value);
    for (const char* text :
         {R"({"from":1,"end":2})", R"({"from":1,"end":2,"news":[1]})", R"({"from":1,"end":2,"news":[["x","k","v"]]})",
          R"({"from":1,"end":2,"news":[[-1,"k","v"]]})", R"({"era":-1,"from":1,"end":2,"news":[]})",
          R"({"era":"2","from":1,"end":2,"news":[]})", R"({"era":99999999999,"from":1,"end":2,"news":[]})"}) {
        CAPTURE(text);
        const boost::json::value malformed = json::parse(text);
        CHECK_THROWS_AS(static_cast<void>(daemon::decode_relayed_records(malformed.get_object())),
                        malformed_message_error);
    }
}
