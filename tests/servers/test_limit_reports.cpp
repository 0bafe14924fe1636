#include <doctest/doctest.h>

#include <algorithm>
#include <set>
#include <string>

#include "core/error.hpp"
#include "servers/host_digest.hpp"
#include "servers/limit_announcer.hpp"

using namespace dragonflywell;
using namespace dragonflywell::servers;
using namespace std::chrono_literals;

namespace {

host_digest make_digest() {
    host_digest digest;
    digest.host = "h";
    digest.corrected_time = wall_time(9s);
    return digest;
}

policy::server_limit_report make_report(const std::string& server) {
    return {.server = backend_server_name(server),
            .incarnation = 0xffffffffffffffff,
            .limit = 3.7,
            .naming = 77,
            .named_age = 12345us,
            .ended_age = {}};
}

std::vector<policy::server_limit_report> make_reports(std::size_t count) {
    std::vector<policy::server_limit_report> reports;
    for (std::size_t number = 0; number < count; ++number) {
        reports.push_back(make_report("i-" + std::to_string(1000 + number)));
    }
    return reports;
}

} // namespace

TEST_CASE("limits of servers are not lost or rounded on the way to another host") {
    host_digest digest = make_digest();
    digest.limits = {make_report("a"), make_report("b")};
    digest.limits[1].limit = 0;
    digest.limits[1].ended_age = 0us;
    CHECK(decode_host_digest(encode_host_digest(digest)) == digest);
}

TEST_CASE("a report on a limit is not larger than its size says") {
    host_digest digest = make_digest();
    digest.limits = {make_report("a")};
    const std::size_t before = encode_host_digest(digest).size();
    digest.limits.push_back(make_report("b"));
    digest.limits.back().ended_age = 1s;
    CHECK(encode_host_digest(digest).size() - before <= get_encoded_size(digest.limits.back()));
}

TEST_CASE("a malformed report on a limit is not believed") {
    host_digest digest = make_digest();
    digest.limits = {make_report("a")};
    const std::string text = encode_host_digest(digest);
    const std::string report = R"(["a",18446744073709551615,3.7E0,77,12345])";
    REQUIRE(text.find(report) != std::string::npos);
    for (const char* broken :
         {R"([7,1,3.7,77,12345])", R"(["a",-1,3.7,77,12345])", R"(["a",1,-3.7,77,12345])", R"(["a",1,1e7,77,12345])",
          R"(["a",1,"3.7",77,12345])", R"(["a",1,3.7,-77,12345])", R"(["a",1,3.7,77,-1])",
          R"(["a",1,3.7,77,86400000001])", R"(["a",1,3.7,77,18446744073709551615])", R"(["a",1,3.7,77])",
          R"(["a",1,3.7,77,1,-1])", R"("a")", R"([])"}) {
        CAPTURE(broken);
        std::string damaged = text;
        damaged.replace(damaged.find(report), report.size(), broken);
        CHECK_THROWS_AS(static_cast<void>(decode_host_digest(damaged)), malformed_message_error);
    }
}

TEST_CASE("no more limits are announced than there is room for, and none waits for ever") {
    constexpr std::size_t servers = 200;
    const std::vector<policy::server_limit_report> known = make_reports(servers);
    const std::size_t room = 20 * get_encoded_size(known.front());
    limit_announcer announcer;
    std::set<backend_server_name> announced;
    for (std::size_t round = 0; round < servers; ++round) {
        std::size_t used = 0;
        std::set<backend_server_name> sent;
        for (const policy::server_limit_report& report : announcer.take(known, room)) {
            used += get_encoded_size(report);
            CHECK(sent.insert(report.server).second);
        }
        CHECK(used <= room);
        // Those that changed last, which come first, are in each digest.
        CHECK(sent.contains(known.front().server));
        announced.insert(sent.begin(), sent.end());
    }
    CHECK(announced.size() == servers);
}

TEST_CASE("a digest without a bound on its bytes does not carry the limits of all servers") {
    constexpr std::size_t servers = 1000;
    CHECK(limit_announcer().take(make_reports(servers), 1'000'000).size() == limit_announcer::max_servers);
}

TEST_CASE("no limit is announced where there is none or no room") {
    limit_announcer announcer;
    CHECK(announcer.take({}, 1000).empty());
    CHECK(announcer.take(make_reports(3), 10).empty());
}
