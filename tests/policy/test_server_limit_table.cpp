#include "policy/server_limit_table.hpp"

#include <doctest/doctest.h>

using namespace dragonflywell;
using namespace std::chrono_literals;
using policy::limit_change;
using policy::server_limit_report;

namespace {

constexpr steady_time start = steady_time(1h);
const backend_server_name server("server");
constexpr std::uint64_t incarnation = 3;

policy::server_limit_table make_table(std::uint64_t origin = 1) {
    policy::server_limit_table table({.origin = origin << 32U});
    table.retain({{server, incarnation}, {backend_server_name("other"), 4}});
    return table;
}

std::optional<double> get_limit(const policy::server_limit_table& table, steady_time now) {
    const auto limits = table.get_limits(now);
    const auto found = limits.find(server);
    return found == limits.end() ? std::nullopt : std::optional(found->second);
}

server_limit_report get_report(policy::server_limit_table& table, steady_time now) {
    const std::vector<server_limit_report> reports = table.get_reports(now, 64);
    REQUIRE(reports.size() == 1);
    return reports.front();
}

} // namespace

TEST_CASE("server limit table: only a response to a request that was sent after the naming ends the limit") {
    policy::server_limit_table table = make_table();
    CHECK(table.record_response(server, incarnation, 2.2, start, start + 100ms) == limit_change::changed);
    CHECK(table.record_response(server, incarnation, std::nullopt, start + 50ms, start + 5s) == limit_change::none);
    CHECK(get_limit(table, start + 5s) == 2.2);
    CHECK(table.record_response(server, incarnation, std::nullopt, start + 5s, start + 6s) == limit_change::changed);
    CHECK_FALSE(get_limit(table, start + 6s));
    // The request is older than the end, and the response is newer.
    CHECK(table.record_response(server, incarnation, 0.0, start + 4s, start + 7s) == limit_change::changed);
    CHECK(get_limit(table, start + 7s) == 0);
}

TEST_CASE("server limit table: a report of a response without a limit does not end a limit that was named since") {
    // Guards against a report that is late: the response is older than it seems.
    policy::server_limit_table told = make_table(1);
    policy::server_limit_table late = make_table(2);
    CHECK(late.record_response(server, incarnation, 2.2, start, start + 100ms) == limit_change::changed);
    CHECK(late.record_response(server, incarnation, std::nullopt, start + 1s, start + 2s) == limit_change::changed);
    const server_limit_report ended = get_report(late, start + 2s);
    REQUIRE(ended.ended_age);
    CHECK(told.record_response(server, incarnation, 2.2, start + 2s, start + 2500ms) == limit_change::changed);
    CHECK(told.apply(ended, start + 4s) == limit_change::none);
    CHECK(get_limit(told, start + 4s) == 2.2);
    // A host that has not heard of the limit does not learn of it from the report of its end.
    policy::server_limit_table unaware = make_table(3);
    CHECK(unaware.apply(ended, start + 2s) == limit_change::none);
    CHECK_FALSE(get_limit(unaware, start + 2s));
    // A later response is enough.
    CHECK(late.record_response(server, incarnation, std::nullopt, start + 6s, start + 6s) == limit_change::none);
    CHECK(told.apply(get_report(late, start + 6s), start + 6s) == limit_change::changed);
    CHECK_FALSE(get_limit(told, start + 6s));
}

TEST_CASE("server limit table: reports that go round among hosts do not prolong a limit") {
    // Guards against a limit that each late report makes newer.
    policy::server_limit_table one = make_table(1);
    policy::server_limit_table two = make_table(2);
    CHECK(one.record_response(server, incarnation, 2.2, start, start) == limit_change::changed);
    CHECK(two.record_response(server, incarnation, 2.2, start, start + 100ms) == limit_change::changed);
    steady_time now = start + 100ms;
    while (now < start + 70s) {
        const std::vector<server_limit_report> from_one = one.get_reports(now, 64);
        const std::vector<server_limit_report> from_two = two.get_reports(now, 64);
        now += 1500ms;
        for (const server_limit_report& report : from_one) {
            two.apply(report, now);
        }
        for (const server_limit_report& report : from_two) {
            one.apply(report, now);
        }
    }
    CHECK_FALSE(get_limit(one, now));
    CHECK_FALSE(get_limit(two, now));
}

TEST_CASE("server limit table: a smaller limit counts at once, a larger one when it is surely newer") {
    policy::server_limit_table table = make_table();
    CHECK(table.record_response(server, incarnation, 3.7, start, start + 100ms) == limit_change::changed);
    CHECK(table.record_response(server, incarnation, 2.2, start, start + 200ms) == limit_change::changed);
    CHECK(table.record_response(server, incarnation, 3.7, start + 150ms, start + 300ms) == limit_change::none);
    CHECK(get_limit(table, start + 300ms) == 2.2);
    CHECK(table.record_response(server, incarnation, 3.7, start + 250ms, start + 400ms) == limit_change::changed);
    CHECK(get_limit(table, start + 400ms) == 3.7);
    server_limit_report report{.server = server, .incarnation = incarnation, .limit = 30, .naming = 1, .named_age = 0s};
    CHECK(table.apply(report, start + 1s) == limit_change::none);
    report.naming = 2;
    CHECK(table.apply(report, start + 4s) == limit_change::changed);
    CHECK(get_limit(table, start + 4s) == 30);
    report = {.server = server, .incarnation = incarnation, .limit = 5, .naming = 3, .named_age = 300ms};
    CHECK(table.apply(report, start + 4s) == limit_change::changed);
    CHECK(get_limit(table, start + 4s) == 5);
}

TEST_CASE("server limit table: a limit ends with its incarnation, its place in the list, and after its expiry") {
    policy::server_limit_table table = make_table();
    CHECK(table.record_response(server, 2, 2.2, start, start) == limit_change::none);
    CHECK(table.record_response(server, incarnation, 2.2, start, start) == limit_change::changed);
    CHECK(get_limit(table, start + 59s) == 2.2);
    CHECK_FALSE(get_limit(table, start + 60s));
    CHECK(table.record_response(server, incarnation, 2.2, start + 60s, start + 61s) == limit_change::changed);
    const server_limit_report report = get_report(table, start + 61s);
    table.retain({{server, incarnation + 1}});
    CHECK_FALSE(get_limit(table, start + 61s));
    CHECK(table.apply(report, start + 61s) == limit_change::none);
    CHECK_FALSE(get_limit(table, start + 61s));
}

TEST_CASE("server limit table: values that cannot be limits are ignored") {
    policy::server_limit_table table = make_table();
    for (const double value :
         {-1.0, 1e7, std::numeric_limits<double>::quiet_NaN(), std::numeric_limits<double>::infinity()}) {
        CAPTURE(value);
        CHECK(table.record_response(server, incarnation, value, start, start) == limit_change::invalid);
        CHECK(table.apply({.server = server, .incarnation = incarnation, .limit = value}, start) ==
              limit_change::invalid);
    }
    CHECK(table.get_limits(start).empty());
    CHECK(table.get_reports(start, 64).empty());
}

TEST_CASE("server limit table: reports begin with the newest change, and all servers get their turn") {
    // Guards against servers of which other hosts never hear, since others are always reported first.
    policy::server_limit_table table({.origin = 1, .max_servers = 10});
    std::map<backend_server_name, std::uint64_t> listed;
    for (int index = 0; index < 12; ++index) {
        listed.emplace("s" + std::to_string(index), incarnation);
    }
    table.retain(listed);
    for (int index = 0; index < 12; ++index) {
        table.record_response(backend_server_name("s" + std::to_string(index)), incarnation, 1.0, start,
                              start + index * 1ms);
    }
    CHECK(table.get_limits(start + 1s).size() == 10);
    CHECK(table.get_reports(start + 1s, 3).front().server == backend_server_name("s11"));
    std::map<backend_server_name, int> reported;
    for (int round = 0; round < 4; ++round) {
        for (const server_limit_report& report : table.get_reports(start + 3s + round * 1s, 3)) {
            ++reported[report.server];
        }
    }
    CHECK(reported.size() == 10);
}
