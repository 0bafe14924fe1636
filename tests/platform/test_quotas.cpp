#include <doctest/doctest.h>

#include "support/serving_fixture.hpp"

using namespace dragonflywell;
using dragonflywell::standin::raw_server;
using dragonflywell::testing::serving_fixture;
namespace http = servers::http;

namespace {

constexpr double ample = 1e9;
/// Less than a request within the time of a test.
constexpr double almost_nothing = 1e-3;

struct fixture : serving_fixture {
    void set_quota(double per_second, fleet::quota_unit unit) {
        view.organisations.front().quota =
            fleet::quota{.rate_per_second = per_second, .burst = 0, .unit = unit, .plain_tokens = 7};
        configure();
        state.quotas.on_change = [this] { poll(); };
    }
    /// Does what the exchange of the daemon does for a host without others.
    void poll() {
        static_cast<void>(state.quotas.poll());
        timer.expires_after(std::chrono::milliseconds(10));
        timer.async_wait([this](const servers::error_code& fault) {
            if (!fault) {
                poll();
            }
        });
    }
    /// The list of hosts holds this one only, which owns all quotas.
    void list_hosts() { state.quotas.set_hosts({{.host = "", .core_thousandths = 0}}); }

    boost::asio::steady_timer timer{loop};

    std::uint64_t count(const char* result) {
        return metrics.get_counter("dragonflywell_quota_requests_total", {{"result", result}}).get();
    }
};

} // namespace

TEST_CASE_FIXTURE(fixture, "a request beyond the quota is refused with 429 and Retry-After, and reaches no server") {
    set_quota(almost_nothing, fleet::quota_unit::requests);
    list_hosts();
    const raw_server& server = add_server("s1", {}, answer_with(200, "hello"));
    const answer got = ask(http::verb::get, "/safe/x");
    CHECK(got.status == 429);
    CHECK(got.body.find("over_quota") != std::string::npos);
    CHECK(std::stod(got.headers.at("Retry-After")) > 0);
    CHECK(server.get_requests().empty());
    CHECK(count("admitted") == 0);
    // Without a key there is no organisation, and so no quota.
    CHECK(ask(http::verb::get, "/open/x").status == 200);
}

TEST_CASE_FIXTURE(fixture, "a request within the quota is served") {
    set_quota(ample, fleet::quota_unit::requests);
    list_hosts();
    const raw_server& server = add_server("s1", {}, answer_with(200, "hello"));
    CHECK(ask(http::verb::get, "/safe/x").status == 200);
    CHECK(server.get_requests().size() == 1);
    CHECK(count("admitted") == 1);
    CHECK(count("given_back") == 0);
}

TEST_CASE_FIXTURE(fixture, "a host that has not read the list of hosts is not ready for organisations with a quota") {
    // Guards against a host that takes the whole quota for its share.
    set_quota(ample, fleet::quota_unit::requests);
    add_server("s1", {}, answer_with(200, "hello"));
    const answer got = ask(http::verb::get, "/safe/x");
    CHECK(got.status == 503);
    CHECK(got.headers.contains("Retry-After"));
    CHECK(count("not_ready") == 1);
    view.organisations.front().quota.reset();
    configure();
    CHECK(ask(http::verb::get, "/safe/x").status == 200);
}

TEST_CASE_FIXTURE(fixture, "what no server ran is given back to the quota") {
    set_quota(ample, fleet::quota_unit::tokens);
    list_hosts();
    CHECK(ask(http::verb::get, "/safe/x").status == 503);
    CHECK(count("given_back") == 1);
    add_server("s1", {}, refuse());
    CHECK(ask(http::verb::post, "/unsafe/x").status == 503);
    CHECK(count("admitted") == 2);
    CHECK(count("given_back") == 2);
}

TEST_CASE_FIXTURE(fixture, "a request that a server may have run is not given back") {
    // Guards against usage beyond the quota by requests that fail.
    set_quota(ample, fleet::quota_unit::requests);
    list_hosts();
    add_server("s1", {}, reset());
    CHECK(ask(http::verb::post, "/unsafe/x").status == 502);
    CHECK(count("admitted") == 1);
    CHECK(count("given_back") == 0);
}
