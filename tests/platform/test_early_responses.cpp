#include <doctest/doctest.h>
#include <fmt/format.h>

#include "servers/sleep.hpp"
#include "support/generation_parts.hpp"

using namespace dragonflywell;
using dragonflywell::standin::raw_connection;
using dragonflywell::standin::raw_server;
using dragonflywell::standin::request_part;
using dragonflywell::testing::decode;
using dragonflywell::testing::make_events;
using dragonflywell::testing::serving_fixture;
using namespace std::chrono_literals;
namespace http = servers::http;
namespace asio = boost::asio;

namespace {

constexpr unsigned bad_gateway = 502;
const std::string upload(3'900'000, 'u');
const std::string whole_body = "the whole body of it.";
const std::string part_of_body = whole_body.substr(0, 9);

/// How a server goes on after the bytes of its response.
enum class ending { reset, close, reset_later, end_and_reset, end_and_close, end_and_read_on, read_on_and_close };

constexpr std::array broken_endings{ending::reset, ending::close, ending::reset_later};
constexpr std::array ended_early{ending::end_and_reset, ending::end_and_close};

/// Returns the header of a response that ends with its connection.
std::string make_head(const servers::http_request& request, const std::string& fields = "") {
    return fmt::format("HTTP/1.1 200 OK\r\nDragonflywell-Attempt-Id: {}\r\nDragonflywell-Server-Seal: seal\r\n{}\r\n",
                       serving_fixture::get_id(request), fields);
}

asio::awaitable<void> end_connection(raw_connection& connection, ending how) {
    switch (how) {
    case ending::reset:
        connection.reset();
        break;
    case ending::close:
        connection.close();
        break;
    case ending::reset_later:
        co_await servers::sleep_for(20ms);
        connection.reset();
        break;
    case ending::end_and_reset:
        connection.end_sending();
        connection.reset();
        break;
    case ending::end_and_close:
        connection.end_sending();
        connection.close();
        break;
    case ending::end_and_read_on:
        connection.end_sending();
        co_await servers::sleep_for(20ms);
        co_await connection.wait_for_end();
        break;
    case ending::read_on_and_close:
        co_await connection.read(upload.size() / 2);
        connection.end_sending();
        co_await connection.wait_for_end();
        break;
    }
}

/// Responds before the body of the request is read.
raw_server::behaviour answer_early(const std::string& body, ending how, const std::string& fields = "") {
    return
        [body, how, fields](const servers::http_request& request, raw_connection& connection) -> asio::awaitable<void> {
            std::string bytes = make_head(request, fields) + body;
            co_await connection.write(std::move(bytes));
            co_await end_connection(connection, how);
        };
}

/// Returns what a caller gets that uploads to a server with the given behaviour.
serving_fixture::answer upload_to(const raw_server::behaviour& server, const std::string& route) {
    serving_fixture serving;
    serving.configure();
    serving.add_server("a", std::nullopt, server, request_part::head);
    return serving.ask(http::verb::post, route, upload);
}

/// Returns what a caller gets that sends a long prompt to an engine with the given behaviour.
serving_fixture::answer generate_at(const raw_server::behaviour& engine) {
    serving_fixture serving;
    serving.configure();
    serving.add_server("d", decode, engine, request_part::head);
    auto headers = serving_fixture::get_headers();
    headers.emplace_back("Dragonflywell-Model", "m");
    headers.emplace_back("Dragonflywell-Token-Count", "100,10");
    headers.emplace_back("Dragonflywell-Prompt-Prefix", "a1:60,b2:40");
    return serving.ask(http::verb::post, "/gen/x", upload, headers);
}

} // namespace

TEST_CASE("a part of a response without a length, cut while the upload is being written, is not a whole response") {
    for (const ending how : broken_endings) {
        for (const std::string route : {"/unsafe/x", "/safe/x"}) {
            for (int round = 0; round < 12; ++round) {
                CAPTURE(static_cast<int>(how));
                CAPTURE(route);
                CHECK(upload_to(answer_early(part_of_body, how), route).status == bad_gateway);
            }
        }
    }
}

TEST_CASE("a response without a length whose end comes with a failure of the upload is not a whole response") {
    for (const ending how : ended_early) {
        CAPTURE(static_cast<int>(how));
        CHECK(upload_to(answer_early(part_of_body, how), "/unsafe/x").status == bad_gateway);
    }
}

TEST_CASE("a stream without a length, cut while the prompt is being written, never looks complete to its caller") {
    const std::string events = make_events(1, 3);
    for (const ending how : {ending::reset, ending::close, ending::reset_later, ending::end_and_reset}) {
        for (int round = 0; round < 12; ++round) {
            CAPTURE(static_cast<int>(how));
            const serving_fixture::answer got =
                generate_at(answer_early(events, how, "Content-Type: text/event-stream\r\n"));
            CHECK((got.status == bad_gateway || got.is_cut));
        }
    }
}

TEST_CASE("a whole response without a length and its end arrive before the server reads the rest of the upload") {
    for (const ending how : {ending::end_and_read_on, ending::read_on_and_close}) {
        CAPTURE(static_cast<int>(how));
        for (int round = 0; round < 12; ++round) {
            const serving_fixture::answer got = upload_to(answer_early(whole_body, how), "/unsafe/x");
            CHECK(got.status == 200);
            CHECK(got.body == whole_body);
            CHECK_FALSE(got.is_cut);
        }
        const serving_fixture::answer stream =
            generate_at(answer_early(make_events(1, 3), how, "Content-Type: text/event-stream\r\n"));
        CHECK(stream.body == make_events(1, 3));
        CHECK_FALSE(stream.is_cut);
    }
}

TEST_CASE("a response without a length after the whole upload is whole at the end of its connection") {
    serving_fixture serving;
    serving.configure();
    serving.add_server("a", std::nullopt,
                       [](const servers::http_request& request, raw_connection& connection) -> asio::awaitable<void> {
                           co_await connection.write(make_head(request) + whole_body);
                           connection.close();
                       });
    for (int round = 0; round < 12; ++round) {
        const serving_fixture::answer got = serving.ask(http::verb::post, "/unsafe/x", upload);
        CHECK(got.status == 200);
        CHECK(got.body == whole_body);
    }
}

TEST_CASE("an early response with a length is whole, whatever happens to the upload after it") {
    for (const ending how : {ending::reset_later, ending::end_and_read_on}) {
        const std::string length = fmt::format("Content-Length: {}\r\n", whole_body.size());
        const serving_fixture::answer got = upload_to(answer_early(whole_body, how, length), "/unsafe/x");
        CHECK(got.status == 200);
        CHECK(got.body == whole_body);
    }
}
