#include <doctest/doctest.h>

#include "servers/serving_request.hpp"
#include "support/generation_parts.hpp"

using namespace dragonflywell;
using dragonflywell::standin::raw_connection;
using dragonflywell::standin::raw_server;
using dragonflywell::testing::decode;
using dragonflywell::testing::run_until;
using dragonflywell::testing::run_until_done;
using dragonflywell::testing::serving_fixture;
namespace asio = boost::asio;
namespace http = servers::http;

namespace {

/// Backend servers that stop to answer when a request arrives, and requests whose callers do not wait for long.
struct dark_servers : serving_fixture {
    dark_servers() { configure(); }

    static raw_server::behaviour go_dark() {
        return [](const servers::http_request& /*request*/, raw_connection& connection) -> asio::awaitable<void> {
            co_await connection.wait_for_end();
        };
    }

    /// Sends a request whose deadline is a tenth of a second.
    answer ask_briefly(const std::string& target, const std::string& body) {
        std::vector<std::pair<std::string, std::string>> headers = get_headers(make_id());
        headers[2].second = "100";
        return ask(http::verb::post, target, body, headers);
    }

    /// Sends a request, waits until the server has it, and closes the connection.
    void ask_and_leave(const raw_server& server, const std::string& target, const std::string& body) {
        const std::size_t before = server.get_requests().size();
        run_until_done(loop, [&]() -> asio::awaitable<void> {
            asio::ip::tcp::socket socket = co_await connect();
            servers::http_request request(http::verb::post, target, 11);
            for (const auto& [name, value] : get_headers(make_id())) {
                request.insert(name, value);
            }
            if (target.starts_with("/gen/") || target.starts_with("/resume/")) {
                request.insert("Dragonflywell-Model", "m");
                request.insert("Dragonflywell-Token-Count", "100,10");
                request.insert("Dragonflywell-Prompt-Prefix", "a1:60,b2:40");
            }
            request.body() = body;
            request.prepare_payload();
            co_await http::async_write(socket, request, asio::use_awaitable);
            while (server.get_requests().size() == before) {
                co_await asio::post(loop, asio::use_awaitable);
            }
        });
        run_until(loop, [&] { return state.tracked_exchanges.empty(); });
    }

    /// Removes the entry of a server, as the list does when its heartbeats have ended.
    void remove(const std::string& name, policy::down_proof proof = policy::down_proof::ended) {
        state.eligibility.get_list().remove(backend_server_name(name), time.now());
        state.record_server_down(backend_server_name(name), proof);
        state.refresh_servers();
    }
};

} // namespace

TEST_CASE_FIXTURE(serving_fixture,
                  "a request that has crashed three servers is refused as not run, and other requests are served") {
    configure();
    for (const std::string name : {"s1", "s2", "s3"}) {
        add_server(name, {}, reset());
        CHECK(ask(http::verb::post, "/unsafe/x", "poison").status == 502);
        // The failure of the server is detected only after the response.
        state.record_server_down(backend_server_name(name));
        state.eligibility.get_list().remove(backend_server_name(name), time.now());
        state.refresh_servers();
    }
    const raw_server& healthy = add_server("s4", {}, answer_with(200, "ok"));
    const answer refused = ask(http::verb::post, "/unsafe/x", "poison");
    CHECK(refused.status == 503);
    CHECK(refused.headers.contains("Retry-After"));
    CHECK(healthy.get_requests().empty());
    CHECK(ask(http::verb::post, "/unsafe/x", "other").status == 200);
    CHECK(ask(http::verb::post, "/unsafe/y", "poison").status == 200);
}

TEST_CASE_FIXTURE(serving_fixture, "a request that was suspected of crashing servers is cleared once it succeeds") {
    configure();
    raw_server& server = add_server("s1", {}, reset());
    for (int crash = 0; crash < 2; ++crash) {
        CHECK(ask(http::verb::post, "/unsafe/x", "innocent").status == 502);
        state.record_server_down(backend_server_name("s1"));
        state.health.forget(backend_server_name("s1"));
    }
    CHECK_FALSE(state.suspects.is_empty());
    server.set_behaviour(answer_with(200, "ok"));
    CHECK(ask(http::verb::post, "/unsafe/x", "innocent").status == 200);
    CHECK(state.suspects.is_empty());
}

// Guards against a request that makes servers go dark and is never refused, since it ends at its deadline.
TEST_CASE_FIXTURE(dark_servers, "a request that has made three servers go dark is refused, however its exchanges end") {
    std::string target = "/unsafe/x";
    bool leaves = false;
    SUBCASE("unsafe, at its deadline") {}
    SUBCASE("safe, at its deadline") {
        target = "/safe/x";
    }
    SUBCASE("unsafe, when its caller leaves") {
        leaves = true;
    }
    SUBCASE("safe, when its caller leaves") {
        target = "/safe/x";
        leaves = true;
    }
    for (const std::string name : {"s1", "s2", "s3"}) {
        const raw_server& server = add_server(name, {}, go_dark());
        if (leaves) {
            ask_and_leave(server, target, "poison");
        } else {
            CHECK(ask_briefly(target, "poison").status == 504);
        }
        CHECK(server.get_requests().size() == 1);
        // The request was there, which says nothing of the server.
        CHECK(state.health.get_failure_share(backend_server_name(name)) == 0);
        CHECK_FALSE(state.health.has_failed_last(backend_server_name(name)));
        remove(name);
    }
    const raw_server& healthy = add_server("s4", {}, answer_with(200, "ok"));
    const answer refused = ask(http::verb::post, target, "poison");
    CHECK(refused.status == 503);
    CHECK(refused.headers.contains("Retry-After"));
    CHECK(healthy.get_requests().empty());
    CHECK(ask(http::verb::post, target, "other").status == 200);
}

TEST_CASE_FIXTURE(dark_servers,
                  "a request that is at a server when its entry goes counts, although its exchange ends later") {
    for (const std::string name : {"s1", "s2", "s3"}) {
        const raw_server& server = add_server(name, {}, go_dark());
        answer got;
        bool is_done = false;
        asio::co_spawn(
            loop,
            [&]() -> asio::awaitable<void> {
                asio::ip::tcp::socket socket = co_await connect();
                servers::http_request request(http::verb::post, "/unsafe/x", 11);
                for (const auto& [field, value] : get_headers(make_id())) {
                    request.set(field, field == "Dragonflywell-Deadline-Ms" ? "300" : value);
                }
                request.body() = "poison";
                request.prepare_payload();
                co_await http::async_write(socket, request, asio::use_awaitable);
                got = co_await read_answer(socket);
                is_done = true;
            },
            asio::detached);
        run_until(loop, [&] { return server.get_requests().size() == 1; });
        remove(name);
        run_until(loop, [&] { return is_done; });
        CHECK(got.status == 504);
    }
    const raw_server& healthy = add_server("s4", {}, answer_with(200, "ok"));
    CHECK(ask(http::verb::post, "/unsafe/x", "poison").status == 503);
    CHECK(healthy.get_requests().empty());
}

TEST_CASE_FIXTURE(dark_servers,
                  "a generation that has made three engines go dark is refused although its caller left each time") {
    std::string target = "/gen/x";
    SUBCASE("stream") {}
    SUBCASE("resumable stream") {
        target = "/resume/x";
    }
    for (const std::string name : {"d1", "d2", "d3"}) {
        const raw_server& engine = add_server(name, decode, go_dark());
        ask_and_leave(engine, target, "prompt");
        CHECK_FALSE(state.health.has_failed_last(backend_server_name(name)));
        remove(name);
    }
    const raw_server& healthy = add_server("d4", decode, stream_events(1, 2));
    CHECK(generate(target).status == 503);
    CHECK(healthy.get_requests().empty());
}

// Guards against a sound request that is refused because several equal ones stood beside one crash.
TEST_CASE_FIXTURE(dark_servers, "a crash counts once for a request, however many equal ones were there") {
    const raw_server& server = add_server("s1", {}, go_dark());
    for (int count = 0; count < 5; ++count) {
        ask_and_leave(server, "/unsafe/x", "popular");
    }
    remove("s1");
    add_server("s2", {}, answer_with(200, "ok"));
    CHECK(ask(http::verb::post, "/unsafe/x", "popular").status == 200);
}

TEST_CASE_FIXTURE(dark_servers, "a request that ended on three servers before they left as planned is no suspect") {
    for (const std::string name : {"s1", "s2", "s3"}) {
        const raw_server& server = add_server(name, {}, go_dark());
        ask_and_leave(server, "/unsafe/x", "sound");
        remove(name, policy::down_proof::left_as_planned);
    }
    add_server("s4", {}, answer_with(200, "ok"));
    CHECK(ask(http::verb::post, "/unsafe/x", "sound").status == 200);
}

// Guards against RECOVER: servers of one zone that end at once, and a page that is asked for again and again.
TEST_CASE_FIXTURE(dark_servers,
                  "a request that was at three servers when they went dark and is answered elsewhere is not refused") {
    for (const std::string name : {"s1", "s2", "s3"}) {
        const raw_server& server = add_server(name, {}, go_dark());
        ask_and_leave(server, "/safe/x", "");
        state.eligibility.record_pause(backend_server_name(name), std::chrono::seconds(60), 0, time.now());
    }
    add_server("s4", {}, answer_with(200, "ok"));
    CHECK(ask(http::verb::post, "/safe/x", "").status == 200);
    for (const std::string name : {"s1", "s2", "s3"}) {
        remove(name);
    }
    CHECK(ask(http::verb::post, "/safe/x", "").status == 200);
    // What another host reports of the same crashes.
    servers::host_digest digest;
    digest.host = "other";
    servers::caller_request popular;
    popular.method = http::verb::post;
    popular.host = "host.example";
    popular.target = "/safe/x";
    const policy::request_fingerprint fingerprint = servers::get_fingerprint(popular, organisation_name("org"));
    for (std::uint64_t crash = 1; crash <= 3; ++crash) {
        digest.crashes.push_back({.fingerprint = fingerprint,
                                  .crash_id = crash,
                                  .moment = state.get_corrected_time() - std::chrono::seconds(3)});
    }
    state.apply_crashes(digest, true);
    CHECK(ask(http::verb::post, "/safe/x", "").status == 200);
}
