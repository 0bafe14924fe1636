#include "gossip/relayed_records.hpp"

#include <doctest/doctest.h>

#include "core/error.hpp"
#include "core/json.hpp"

using namespace dragonflywell;
using namespace std::chrono_literals;

namespace {

gossip::relayed_records decode(const std::string& text) {
    const boost::json::value document = json::parse(text);
    const boost::json::object& message = json::as_object(document, "datagram");
    REQUIRE(gossip::is_relayed_records(message));
    return gossip::decode_relayed_records(message);
}

gossip::relayed_records make_records(std::uint64_t count) {
    gossip::relayed_records relayed{
        .from = {.era = 2, .offset = 10}, .page = {}, .sender = "h", .sent_at = wall_time(9s), .age = 20ms};
    for (std::uint64_t number = 0; number < count; ++number) {
        // Offsets have gaps, since records that change nothing are left out.
        relayed.page.records.push_back({.offset = 11 + 3 * number, .key = "i-1", .value = std::string(100, 'v')});
    }
    relayed.page.next = {.era = 2, .offset = 1000};
    return relayed;
}

} // namespace

TEST_CASE("relayed records are unchanged after encoding and decoding") {
    gossip::relayed_records relayed = make_records(2);
    relayed.page.records[1].value.reset();
    const gossip::relayed_records decoded = decode(gossip::encode_relayed_records(relayed));
    CHECK(decoded.from == relayed.from);
    CHECK(decoded.page.next == relayed.page.next);
    CHECK(decoded.sender == "h");
    CHECK(decoded.sent_at == relayed.sent_at);
    CHECK(decoded.age == 20ms);
    REQUIRE(decoded.page.records.size() == 2);
    CHECK(decoded.page.records[0].value == std::string(100, 'v'));
    CHECK_FALSE(decoded.page.records[1].value);
}

TEST_CASE("records of an earlier version have no sender, and a time out of range is rejected") {
    CHECK(decode(R"({"from":1,"end":2,"news":[]})").sender.empty());
    CHECK_THROWS_AS(decode(R"({"from":1,"end":2,"news":[],"host":"h","sent_us":1,"age_us":99999999999999999})"),
                    malformed_message_error);
}

TEST_CASE("a page that does not fit is split into parts that continue each other, and no record is lost") {
    const gossip::relayed_records relayed = make_records(50);
    const std::vector<gossip::relayed_records> parts = gossip::split_relayed_records(relayed, 1000);
    CHECK(parts.size() > 5);
    std::vector<std::uint64_t> offsets;
    log_position expected = relayed.from;
    CHECK(decode(gossip::encode_relayed_records(parts.front())).page.end == relayed.page.next);
    for (const gossip::relayed_records& part : parts) {
        CHECK(part.from == expected);
        expected = part.page.next;
        CHECK(gossip::encode_relayed_records(part).size() <= 1200);
        for (const platform::keyed_record& record : part.page.records) {
            CHECK(record.offset >= part.from.offset);
            CHECK(record.offset < part.page.next.offset);
            offsets.push_back(record.offset);
        }
    }
    CHECK(expected == relayed.page.next);
    CHECK(offsets.size() == 50);
}

TEST_CASE("a page without changes is one part, which shows how far the list is current") {
    const std::vector<gossip::relayed_records> parts = gossip::split_relayed_records(make_records(0), 1000);
    REQUIRE(parts.size() == 1);
    CHECK(parts[0].page.next.offset == 1000);
}

TEST_CASE("relayed records survive encoding and decoding, and malformed ones are rejected") {
    platform::store_page page;
    page.next = {.era = 3, .offset = 9};
    page.end = page.next;
    page.records = {{.offset = 7, .key = "a", .value = "1"}, {.offset = 8, .key = "b", .value = {}}};
    const boost::json::value document =
        json::parse(gossip::encode_relayed_records({.from = {.era = 3, .offset = 7}, .page = page}));
    REQUIRE(gossip::is_relayed_records(document.get_object()));
    const gossip::relayed_records relayed = gossip::decode_relayed_records(document.get_object());
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
        CHECK_THROWS_AS(static_cast<void>(gossip::decode_relayed_records(malformed.get_object())),
                        malformed_message_error);
    }
}
