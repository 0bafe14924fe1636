#include "policy/quota_node.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <set>

using namespace dragonflywell;
using namespace std::chrono_literals;

namespace {

constexpr steady_time start = steady_time(1h);
const policy::quota_limit limit = policy::make_server_limit(2);

const std::vector<policy::owner_candidate> hosts{{.host = "one"}, {.host = "two"}, {.host = "three"}};

/// Returns a subject that another host than the first owns.
quota_subject find_subject() {
    for (int number = 0;; ++number) {
        const quota_subject subject("server" + std::to_string(number));
        if (policy::get_owner_order(hosts, policy::quota_node::find_part(subject)).front() != "one") {
            return subject;
        }
    }
}

const quota_subject server = find_subject();

policy::quota_node make_node() {
    return policy::quota_node({.host = "one", .incarnation = 1, .tolerance = {}, .started_at = start});
}

std::set<std::uint32_t> poll_for(policy::quota_node& node, steady_time from, duration length) {
    std::set<std::uint32_t> parts;
    for (steady_time now = from; now < from + length; now += 10ms) {
        for (const policy::outgoing_quota_request& outgoing : node.poll(now)) {
            parts.insert(outgoing.request.part);
        }
    }
    return parts;
}

} // namespace

TEST_CASE("quota node: only parts with a limit are asked for, also hosts that do not answer") {
    // Guards against datagrams for nothing: other hosts do not answer, and are asked again whether they do.
    policy::quota_node node = make_node();
    node.set_hosts(hosts, start);
    CHECK(poll_for(node, start, 5s).empty());
    node.set_limits({{server, limit}}, start + 5s);
    CHECK(poll_for(node, start + 5s, 5s) == std::set{policy::quota_node::find_part(server)});
    node.set_limits({}, start + 10s);
    CHECK_FALSE(node.has_limits());
    CHECK(poll_for(node, start + 10s, 5s).empty());
    CHECK(node.get_next_poll(start + 15s) == steady_time::max());
}

TEST_CASE("quota node: a subject without a limit always has room") {
    policy::quota_node node = make_node();
    node.set_hosts(hosts, start);
    CHECK(node.check(server, 1, start + 100ms, start).answer == policy::quota_answer::admitted);
    CHECK(node.try_take(server, 1, start).answer == policy::quota_answer::admitted);
    CHECK_FALSE(node.has_no_room(server, 1, start));
}

TEST_CASE("quota node: what cannot wait is admitted only from what the host holds") {
    // Guards against calls that may be left out but take what requests wait for.
    policy::quota_node node = make_node();
    node.set_hosts({{.host = "one"}}, start);
    node.set_limits({{server, limit}}, start);
    CHECK(node.try_take(server, 1, start).answer == policy::quota_answer::refused);
    CHECK_FALSE(node.has_no_room(server, 1, start));
    CHECK(node.check(server, 1, start + 100ms, start).answer == policy::quota_answer::waiting);
    poll_for(node, start, 200ms);
    REQUIRE(node.take_decisions().size() == 1);
    CHECK(node.has_no_room(server, 1, start + 200ms));
    CHECK(node.get_retry_after(server, 1, start + 200ms) > 0ms);
    CHECK(node.refuse(server, 1, start + 200ms).answer == policy::quota_answer::refused);
    // Five requests a second of one host, so that it is granted whole requests ahead.
    for (steady_time now = start + 1s; now < start + 6s; now += 200ms) {
        static_cast<void>(node.check(server, 1, now, now));
        poll_for(node, now, 200ms);
    }
    CHECK_FALSE(node.has_no_room(server, 1, start + 6s));
}

TEST_CASE("quota node: waiting requests are admitted when the limit ends") {
    // Guards against a request that waits for a limit that is gone.
    policy::quota_node node = make_node();
    node.set_hosts(hosts, start);
    node.set_limits({{server, limit}}, start);
    const policy::quota_decision waiting = node.check(server, 1, start + 100ms, start);
    REQUIRE(waiting.answer == policy::quota_answer::waiting);
    node.set_limits({}, start + 10ms);
    const std::vector<policy::quota_decision> decisions = node.take_decisions();
    REQUIRE(decisions.size() == 1);
    CHECK(decisions.front().ticket == waiting.ticket);
    CHECK(decisions.front().answer == policy::quota_answer::admitted);
}

TEST_CASE("quota node: a limit that ends and begins again does not give back what was used of it") {
    // Guards against a count of use that begins anew, which the owner takes for requests that were not sent.
    policy::quota_node node = make_node();
    node.set_hosts({{.host = "one"}}, start);
    const auto take = [&](int count, steady_time now) {
        for (int request = 0; request < count; ++request) {
            static_cast<void>(node.check(server, 1, now + 100ms, now));
        }
        poll_for(node, now, 150ms);
        const std::vector<policy::quota_decision> decisions = node.take_decisions();
        return std::count_if(decisions.begin(), decisions.end(), [](const policy::quota_decision& decision) {
            return decision.answer == policy::quota_answer::admitted;
        });
    };
    node.set_limits({{server, limit}}, start);
    poll_for(node, start, 5s);
    CHECK(take(4, start + 5s) == 4);
    node.set_limits({}, start + 5200ms);
    node.set_limits({{server, limit}}, start + 5250ms);
    CHECK(take(4, start + 5300ms) <= 1);
}
