#include <array>
#include <doctest/doctest.h>
#include <fmt/format.h>

#include "support/cut_response.hpp"
#include "support/generation_parts.hpp"

using namespace dragonflywell;
using dragonflywell::standin::raw_connection;
using dragonflywell::standin::raw_server;
using dragonflywell::testing::connection_ending;
using dragonflywell::testing::cut_response;
using dragonflywell::testing::decode;
using dragonflywell::testing::encode_response;
using dragonflywell::testing::encoded_response;
using dragonflywell::testing::framing;
using dragonflywell::testing::make_events;
using dragonflywell::testing::prefill;
using dragonflywell::testing::serving_fixture;
namespace http = servers::http;
namespace asio = boost::asio;

namespace {

constexpr std::array framings{framing::by_length, framing::by_chunks, framing::by_chunks_and_trailer,
                              framing::by_connection_end};
constexpr unsigned bad_gateway = 502;
const std::string whole_body = "the whole body of the response";
/// The headers with which a backend server answers the requests of the fixture.
const std::string own_headers = "Dragonflywell-Attempt-Id: a1\r\nDragonflywell-Server-Seal: seal\r\n";
const std::string answer_head = "HTTP/1.1 200 OK\r\n" + own_headers;
const std::string stream_head = answer_head + "Content-Type: text/event-stream\r\n";

/// Calls the check with every beginning that is not the whole response, each with a fresh fixture.
template <typename Check>
void for_each_cut(const encoded_response& response, framing frame, Check check) {
    for (std::size_t sent = 0; sent < response.count_cuts(frame); ++sent) {
        CAPTURE(static_cast<int>(frame));
        CAPTURE(sent);
        serving_fixture serving;
        serving.configure();
        check(serving, sent);
    }
}

/// Checks that a caller cannot take its response for a complete success.
void check_not_complete(const serving_fixture::answer& got) {
    const bool is_failure = got.status == bad_gateway && !got.is_cut;
    CHECK((is_failure || got.is_cut));
}

} // namespace

TEST_CASE("an instance's response that is cut at any byte is never forwarded as a whole one") {
    for (const std::string version : {"HTTP/1.1", "HTTP/1.0"}) {
        for (const framing frame : framings) {
            const encoded_response response = encode_response(version + " 200 OK\r\n" + own_headers, frame, whole_body);
            for_each_cut(response, frame, [&](serving_fixture& serving, std::size_t sent) {
                const raw_server& server = serving.add_server("a", std::nullopt, cut_response(response, sent));
                const serving_fixture::answer got = serving.ask(http::verb::post, "/unsafe/x", "in");
                CHECK(got.status == bad_gateway);
                CHECK(server.get_requests().size() == 1);
            });
        }
    }
}

TEST_CASE("a repeatable request gets the whole response of another instance after one that is cut at any byte") {
    for (const framing frame : framings) {
        const encoded_response response = encode_response(answer_head, frame, whole_body);
        for_each_cut(response, frame, [&](serving_fixture& serving, std::size_t sent) {
            bool was_cut = false;
            const raw_server::behaviour cut = cut_response(response, sent);
            const raw_server::behaviour whole = serving_fixture::answer_with(200, "of the second");
            const auto cut_first = [&](const servers::http_request& request,
                                       raw_connection& connection) -> asio::awaitable<void> {
                const raw_server::behaviour& chosen = was_cut ? whole : cut;
                was_cut = true;
                co_await chosen(request, connection);
            };
            serving.add_server("a", std::nullopt, cut_first);
            serving.add_server("b", std::nullopt, cut_first);
            const serving_fixture::answer got = serving.ask(http::verb::get, "/safe/x");
            CHECK(got.status == 200);
            CHECK(got.body == "of the second");
            CHECK_FALSE(got.is_cut);
        });
        for_each_cut(response, frame, [&](serving_fixture& serving, std::size_t sent) {
            serving.add_server("a", std::nullopt, cut_response(response, sent));
            serving.add_server("b", std::nullopt, cut_response(response, sent));
            CHECK(serving.ask(http::verb::get, "/safe/x").status == bad_gateway);
        });
    }
}

TEST_CASE("a response that is reset at any byte is not forwarded, also when it ends with its connection") {
    for (const framing frame : {framing::by_length, framing::by_connection_end}) {
        const encoded_response response = encode_response(answer_head, frame, whole_body);
        // A whole response with a length is complete, whatever happens to its connection.
        const std::size_t end = response.bytes.size() + (frame == framing::by_connection_end ? 1 : 0);
        for (std::size_t sent = 0; sent < end; ++sent) {
            CAPTURE(sent);
            serving_fixture serving;
            serving.configure();
            serving.add_server("a", std::nullopt, cut_response(response, sent, connection_ending::reset));
            CHECK(serving.ask(http::verb::post, "/unsafe/x", "in").status == bad_gateway);
        }
    }
}

TEST_CASE("a response that is cut at any byte after interim ones is not forwarded as a whole one") {
    const std::string interim = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";
    for (const framing frame : framings) {
        const encoded_response response = encode_response(interim + answer_head, frame, whole_body);
        for_each_cut(response, frame, [&](serving_fixture& serving, std::size_t sent) {
            serving.add_server("a", std::nullopt, cut_response(response, sent));
            CHECK(serving.ask(http::verb::post, "/unsafe/x", "in").status == bad_gateway);
        });
    }
}

TEST_CASE("a response that is cut at any byte after one to another request is not forwarded as a whole one") {
    const std::string other = "HTTP/1.1 200 OK\r\nDragonflywell-Attempt-Id: a\r\nDragonflywell-Server-Seal: "
                              "seal\r\nContent-Length: 10\r\n\r\nnot for a1";
    for (const framing frame : framings) {
        const encoded_response response = encode_response(other + answer_head, frame, whole_body);
        for_each_cut(response, frame, [&](serving_fixture& serving, std::size_t sent) {
            serving.add_server("a", std::nullopt, cut_response(response, sent));
            CHECK(serving.ask(http::verb::post, "/unsafe/x", "in").status == bad_gateway);
        });
    }
}

TEST_CASE("a response that is cut at any byte on a reused connection is not forwarded as a whole one") {
    for (const framing frame : framings) {
        const encoded_response response = encode_response(answer_head, frame, whole_body);
        for_each_cut(response, frame, [&](serving_fixture& serving, std::size_t sent) {
            raw_server& server =
                serving.add_server("a", std::nullopt, serving_fixture::answer_with(200, "of the first"));
            const auto first_headers = serving_fixture::get_headers("a0");
            CHECK(serving.ask(http::verb::post, "/unsafe/x", "in", first_headers).body == "of the first");
            const raw_server::behaviour cut = cut_response(response, sent);
            std::size_t connections = 0;
            server.set_behaviour(
                [&](const servers::http_request& request, raw_connection& connection) -> asio::awaitable<void> {
                    connections = server.get_connections();
                    co_await cut(request, connection);
                });
            CHECK(serving.ask(http::verb::post, "/unsafe/x", "in").status == bad_gateway);
            CHECK(connections == 1);
            CHECK(server.get_requests().size() == 2);
        });
    }
}

TEST_CASE("a refusal whose header is cut at any byte is not forwarded as a promise that the request has not run") {
    const encoded_response response = encode_response(
        "HTTP/1.1 503 X\r\nDragonflywell-Attempt-Id: a1\r\nDragonflywell-Not-Executed: 1\r\n", framing::by_length, "");
    for_each_cut(response, framing::by_length, [&](serving_fixture& serving, std::size_t sent) {
        serving.add_server("a", std::nullopt, cut_response(response, sent));
        serving.add_server("d", decode, cut_response(response, sent));
        CHECK(serving.ask(http::verb::post, "/unsafe/x", "in").status == bad_gateway);
        CHECK(serving.generate("/gen/x", serving_fixture::get_headers()).status == bad_gateway);
    });
}

TEST_CASE("a HEAD response that is cut at any byte is not forwarded as a whole one") {
    const encoded_response response =
        encode_response(answer_head + "Content-Length: 1234\r\n", framing::by_connection_end, "");
    for_each_cut(response, framing::by_connection_end, [&](serving_fixture& serving, std::size_t sent) {
        serving.add_server("a", std::nullopt, cut_response(response, sent));
        CHECK(serving.ask(http::verb::head, "/unsafe/x").status == bad_gateway);
    });
}

TEST_CASE("a stream that is cut at any byte never looks complete to its caller, and runs once") {
    const std::string events = make_events(1, 3);
    for (const framing frame : framings) {
        const encoded_response response = encode_response(stream_head, frame, events);
        for_each_cut(response, frame, [&](serving_fixture& serving, std::size_t sent) {
            const raw_server& engine = serving.add_server("d", decode, cut_response(response, sent));
            const serving_fixture::answer got = serving.generate("/gen/x");
            check_not_complete(got);
            CHECK((got.status == bad_gateway || events.starts_with(got.body)));
            CHECK(engine.get_requests().size() == 1);
        });
    }
}

TEST_CASE("an unframed stream that ends in the middle of an event never looks complete to its caller") {
    const encoded_response response = encode_response(stream_head, framing::by_connection_end, make_events(1, 3));
    for (std::size_t sent = response.head_size; sent < response.bytes.size(); ++sent) {
        CAPTURE(sent);
        // A connection that is closed right after an event is the complete end of a stream without a length.
        if (sent == response.head_size || response.bytes.substr(0, sent).ends_with("\n\n")) {
            continue;
        }
        serving_fixture serving;
        serving.configure();
        serving.add_server("d", decode, cut_response(response, sent));
        check_not_complete(serving.generate("/gen/x"));
    }
}

TEST_CASE("a resumable stream that is cut at any byte is completed by another engine with each event once") {
    const std::string events = make_events(1, 3);
    for (const framing frame : framings) {
        const encoded_response response = encode_response(stream_head, frame, events);
        for_each_cut(response, frame, [&](serving_fixture& serving, std::size_t sent) {
            bool was_cut = false;
            const raw_server::behaviour cut = cut_response(response, sent);
            const auto cut_first = [&](const servers::http_request& request,
                                       raw_connection& connection) -> asio::awaitable<void> {
                const std::string last_id(request["Last-Event-Id"]);
                const raw_server::behaviour resume =
                    serving_fixture::stream_events(last_id.empty() ? 1 : std::stoi(last_id) + 1, 3);
                const raw_server::behaviour& chosen = was_cut ? resume : cut;
                was_cut = true;
                co_await chosen(request, connection);
            };
            serving.add_server("d1", decode, cut_first);
            serving.add_server("d2", decode, cut_first);
            const serving_fixture::answer got = serving.generate("/resume/x");
            CHECK(got.status == 200);
            CHECK(got.body == events);
            CHECK_FALSE(got.is_cut);
        });
    }
}

TEST_CASE("a stream whose resumption is cut at any byte never looks complete to its caller") {
    const std::string events = make_events(1, 3);
    const encoded_response first =
        encode_response(stream_head, framing::by_length, serving_fixture::make_event(1) + "id: 2\nda");
    for (const framing frame : framings) {
        const encoded_response second = encode_response(stream_head, frame, make_events(2, 3));
        for_each_cut(second, frame, [&](serving_fixture& serving, std::size_t sent) {
            const raw_server::behaviour begin = cut_response(first, first.bytes.size() - 1);
            const raw_server::behaviour resume = cut_response(second, sent);
            const auto answer = [&](const servers::http_request& request,
                                    raw_connection& connection) -> asio::awaitable<void> {
                const raw_server::behaviour& chosen = request["Last-Event-Id"].empty() ? begin : resume;
                co_await chosen(request, connection);
            };
            const raw_server& one = serving.add_server("d1", decode, answer);
            const raw_server& other = serving.add_server("d2", decode, answer);
            const serving_fixture::answer got = serving.generate("/resume/x");
            CHECK(got.is_cut);
            CHECK(events.starts_with(got.body));
            CHECK(one.get_requests().size() + other.get_requests().size() == 2);
        });
    }
}

TEST_CASE("a prefill response that is cut at any byte is not used, and another engine runs the prefill") {
    const std::string body = R"({"kvHandle":"h123456","tokens":100,"version":1})";
    const std::string head = "HTTP/1.1 200 OK\r\nDragonflywell-Attempt-Id: a1\r\n";
    for (const framing frame : framings) {
        const encoded_response response = encode_response(head, frame, body);
        // A body without a length that ends early is not a whole JSON document.
        for (std::size_t sent = 0; sent < response.bytes.size(); ++sent) {
            CAPTURE(static_cast<int>(frame));
            CAPTURE(sent);
            serving_fixture serving;
            serving.configure();
            bool was_cut = false;
            const raw_server::behaviour cut = cut_response(response, sent);
            const raw_server::behaviour whole = serving_fixture::read_prompts("whole");
            const auto cut_first = [&](const servers::http_request& request,
                                       raw_connection& connection) -> asio::awaitable<void> {
                const raw_server::behaviour& chosen = was_cut ? whole : cut;
                was_cut = true;
                co_await chosen(request, connection);
            };
            serving.add_server("p1", prefill, cut_first);
            serving.add_server("p2", prefill, cut_first);
            const raw_server& engine = serving.add_server("d", decode, serving_fixture::stream_events(1, 2));
            const serving_fixture::answer got = serving.generate("/gen/x");
            CHECK(got.status == 200);
            CHECK(got.body == make_events(1, 2));
            REQUIRE(engine.get_requests().size() == 1);
            CHECK(engine.get_requests().front()["Dragonflywell-Kv-Source"].ends_with("/whole"));
        }
    }
}
