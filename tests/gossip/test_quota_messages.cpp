#include "gossip/quota_messages.hpp"

#include <doctest/doctest.h>

#include "core/error.hpp"
#include "core/json.hpp"

using namespace dragonflywell;
using namespace std::chrono_literals;

namespace {

policy::quota_request make_request() {
    policy::quota_request request;
    request.host = "h1";
    request.incarnation = 1'765'000'000'000'000;
    request.part = 15;
    request.sequence = 12;
    request.owner_incarnation = 4;
    request.owner_time = 123456789012345ns;
    request.held_for = 7us;
    request.pledge = policy::quota_pledge::released;
    request.start = policy::quota_start::restart;
    request.needs = {{.subject = quota_subject("a"),
                      .used_total = -3.25,
                      .held = 0.1,
                      .waiting = 800,
                      .expected = 4000.5,
                      .refused = 1e9},
                     {.subject = quota_subject("b")}};
    return request;
}

policy::quota_grant make_grant() {
    policy::quota_grant grant;
    grant.owner = "h2";
    grant.incarnation = 4;
    grant.part = 3;
    grant.sequence = 12;
    grant.time = 123456789012345ns;
    grant.is_released = true;
    grant.allowances = {{.subject = quota_subject("a"),
                         .granted = 1.0 / 3,
                         .booked_from = 11s,
                         .booked_rate = 100,
                         .blocked_for = 50ms},
                        {.subject = quota_subject("b")}};
    return grant;
}

} // namespace

TEST_CASE("messages about quotas are decoded as they were encoded") {
    // Guards against an amount that is rounded on the way, so that owner and host count differently.
    const boost::json::value request = json::parse(gossip::encode_quota_request(make_request()));
    CHECK(gossip::is_quota_request(request.as_object()));
    CHECK_FALSE(gossip::is_quota_grant(request.as_object()));
    CHECK(gossip::decode_quota_request(request.as_object()) == make_request());

    const boost::json::value grant = json::parse(gossip::encode_quota_grant(make_grant()));
    CHECK(gossip::is_quota_grant(grant.as_object()));
    CHECK_FALSE(gossip::is_quota_request(grant.as_object()));
    CHECK(gossip::decode_quota_grant(grant.as_object()) == make_grant());
}

TEST_CASE("a message about quotas with a number out of range is rejected") {
    const std::string text = gossip::encode_quota_request(make_request());
    const auto check_rejected = [&](const std::string& from, const std::string& to) {
        CAPTURE(to);
        std::string damaged = text;
        REQUIRE(damaged.find(from) != std::string::npos);
        damaged.replace(damaged.find(from), from.size(), to);
        const boost::json::value message = json::parse(damaged);
        CHECK_THROWS_AS(static_cast<void>(gossip::decode_quota_request(message.as_object())), malformed_message_error);
    };
    check_rejected("\"part\":15", "\"part\":16");
    check_rejected("\"pledge\":2", "\"pledge\":3");
    check_rejected("\"start\":1", "\"start\":7");
    check_rejected("\"waiting\":8", "\"waiting\":-8");
    check_rejected("\"host\"", "\"other\"");
    check_rejected("\"owner_time_ns\":1", "\"owner_time_ns\":9999999999");
}

TEST_CASE("a request for all organisations of a part fits into a datagram") {
    // 190 organisations in 16 parts; 60 is more than any hash puts into one.
    policy::quota_request request = make_request();
    request.needs.assign(60, request.needs.front());
    CHECK(gossip::encode_quota_request(request).size() < 8000);
}

TEST_CASE("a message about limits of servers is not taken for one about quotas of organisations") {
    constexpr auto servers = gossip::quota_subjects::servers;
    policy::quota_request sent = make_request();
    sent.needs.front().named_limit = 3.7;
    sent.needs.back().named_limit = 0;
    const boost::json::value request = json::parse(gossip::encode_quota_request(sent, servers));
    CHECK(gossip::is_quota_request(request.as_object(), servers));
    CHECK_FALSE(gossip::is_quota_request(request.as_object()));
    CHECK_FALSE(gossip::is_quota_grant(request.as_object(), servers));
    CHECK(gossip::decode_quota_request(request.as_object(), servers) == sent);

    const boost::json::value grant = json::parse(gossip::encode_quota_grant(make_grant(), servers));
    CHECK(gossip::is_quota_grant(grant.as_object(), servers));
    CHECK_FALSE(gossip::is_quota_grant(grant.as_object()));
    CHECK(gossip::decode_quota_grant(grant.as_object(), servers) == make_grant());
}

TEST_CASE("a limit that cannot be is not taken from the message of another host") {
    constexpr auto servers = gossip::quota_subjects::servers;
    policy::quota_request request = make_request();
    for (const double limit : {-1.0, 1e7}) {
        request.needs.front().named_limit = limit;
        const boost::json::value message = json::parse(gossip::encode_quota_request(request, servers));
        CHECK_THROWS_AS(static_cast<void>(gossip::decode_quota_request(message.as_object(), servers)),
                        malformed_message_error);
    }
}
