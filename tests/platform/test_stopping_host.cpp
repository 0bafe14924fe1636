#include <doctest/doctest.h>

#include "support/let_others_run.hpp"
#include "support/serving_fixture.hpp"

using namespace dragonflywell;
using dragonflywell::standin::raw_connection;
using dragonflywell::testing::serving_fixture;
namespace asio = boost::asio;
namespace http = servers::http;

namespace {

constexpr duration stop_bound = std::chrono::seconds(8);

/// A host that got the signal to stop some time ago.
class stopping_host : public serving_fixture {
public:
    void begin_stop(duration ago) {
        state.begin_stop(policy::stop_schedule(time.now_with_suspension() - ago, stop_bound));
        entry.disable_keep_alive();
    }

    /// Returns the behaviour of a server that keeps its request until the work of the host ends.
    standin::raw_server::behaviour outlast_work(std::string begun = "") {
        return [this, begun = std::move(begun)](const servers::http_request& request,
                                                raw_connection& connection) -> asio::awaitable<void> {
            if (!begun.empty()) {
                std::string bytes = make_stream_head(request) + make_chunk(begun);
                co_await connection.write(std::move(bytes));
                // The usage is counted when the first event goes to the caller.
                while (state.usage.get_windows().empty()) {
                    co_await testing::let_others_run();
                }
            }
            begin_stop(stop_bound);
            state.end_work();
            co_await connection.wait_for_end();
        };
    }

    static std::vector<std::pair<std::string, std::string>> get_headers_with_deadline(std::string milliseconds) {
        auto headers = get_headers();
        headers[2].second = std::move(milliseconds);
        return headers;
    }
};

} // namespace

TEST_CASE_FIXTURE(stopping_host, "a request that comes late in a stop and might outlast it is refused as not run") {
    configure();
    standin::raw_server& server = add_server("s1", {}, answer_with(200, "ok"));
    begin_stop(std::chrono::seconds(3));
    const answer got = ask(http::verb::post, "/unsafe/x", "{}");
    CHECK(got.status == 503);
    CHECK(got.headers.at("Connection") == "close");
    CHECK(got.headers.contains("Retry-After"));
    CHECK(server.get_requests().empty());
}

TEST_CASE_FIXTURE(stopping_host, "a request that comes late in a stop and must end before it is served") {
    configure();
    add_server("s1", {}, answer_with(200, "ok"));
    begin_stop(std::chrono::seconds(3));
    CHECK(ask(http::verb::post, "/unsafe/x", "{}", get_headers_with_deadline("1000")).status == 200);
}

TEST_CASE_FIXTURE(stopping_host, "a request that comes early in a stop is given no more time than the stop leaves") {
    configure();
    standin::raw_server& server = add_server("s1", {}, answer_with(200, "ok"));
    begin_stop(std::chrono::seconds(1));
    CHECK(ask(http::verb::post, "/unsafe/x", "{}").status == 200);
    const std::string deadline(server.get_requests().at(0)["Dragonflywell-Deadline-Ms"]);
    CHECK(std::stol(deadline) <= 6040);
}

TEST_CASE_FIXTURE(stopping_host,
                  "a request that a server keeps beyond a stop gets an answer, and the server no blame") {
    configure();
    add_server("s1", {}, outlast_work());
    const answer got = ask(http::verb::post, "/unsafe/x", "{}");
    CHECK(got.status == 502);
    CHECK_FALSE(got.is_cut);
    CHECK(state.is_usable(backend_server_name("s1")));
    CHECK(state.health.get_failure_share(backend_server_name("s1")) == 0);
}

TEST_CASE_FIXTURE(stopping_host,
                  "a request whose prompt is still read when a stop ends its work is refused as not run") {
    configure();
    add_server("p1", fleet::engine_stage::prefill, outlast_work());
    standin::raw_server& decode = add_server("d1", fleet::engine_stage::decode, stream_events(1, 2));
    const answer got = generate("/gen/x");
    CHECK(got.status == 503);
    CHECK(added["p1"]->get_requests().size() == 1);
    CHECK(decode.get_requests().empty());
}

TEST_CASE_FIXTURE(stopping_host,
                  "a stream that a stop ends is not resumed on another server and does not look complete") {
    configure();
    add_server("p1", fleet::engine_stage::prefill, read_prompts());
    add_server("d1", fleet::engine_stage::decode, outlast_work(make_event(1)));
    add_server("d2", fleet::engine_stage::decode, outlast_work(make_event(1)));
    const answer got = generate("/resume/x");
    CHECK(got.status == 200);
    CHECK(got.is_cut);
    CHECK(added["d1"]->get_requests().size() + added["d2"]->get_requests().size() == 1);
}
