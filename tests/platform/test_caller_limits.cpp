#include <boost/asio/steady_timer.hpp>
#include <doctest/doctest.h>
#include <fmt/format.h>

#include "support/serving_fixture.hpp"

using namespace dragonflywell;
using dragonflywell::standin::raw_server;
using dragonflywell::testing::run_until_done;
using dragonflywell::testing::serving_fixture;
namespace asio = boost::asio;
namespace http = servers::http;

namespace {

constexpr std::string_view ordinary_fields =
    "Host: host.example\r\nDragonflywell-Attempt-Id: a1\r\nDragonflywell-Deadline-Ms: 60000\r\n";

/// Sends bytes on a new connection and returns the response, without sending anything else.
serving_fixture::answer send_bytes(serving_fixture& fixture, const std::string& bytes) {
    serving_fixture::answer got;
    run_until_done(fixture.loop, [&]() -> asio::awaitable<void> {
        asio::ip::tcp::socket socket = co_await fixture.connect();
        co_await asio::async_write(socket, asio::buffer(bytes), asio::use_awaitable);
        got = co_await serving_fixture::read_answer(socket);
    });
    return got;
}

std::string make_head(const std::string& path, const std::string& fields) {
    return fmt::format("POST {} HTTP/1.1\r\n{}{}\r\n", path, ordinary_fields, fields);
}

} // namespace

// Guards against a host that reads a body only to refuse the request afterwards.
TEST_CASE_FIXTURE(serving_fixture, "a request that is refused by its head is refused before its body is read") {
    configure();
    const raw_server& server = add_server("s1", {}, answer_with(200, "hello"));
    const std::string length = "Content-Length: 4000000\r\n";
    const std::string chunked = "Transfer-Encoding: chunked\r\n";
    for (const std::string& framing : {length, chunked}) {
        const answer without_route = send_bytes(*this, make_head("/unknown/x", "Api-Key: secret\r\n" + framing));
        CHECK(without_route.status == 404);
        CHECK(without_route.headers.at("Connection") == "close");
        const answer without_key = send_bytes(*this, make_head("/safe/x", framing));
        CHECK(without_key.status == 401);
        CHECK(without_key.headers.at("Connection") == "close");
        CHECK(send_bytes(*this, make_head("/safe/x", "Api-Key: wrong\r\n" + framing)).status == 401);
    }
    const answer too_large = send_bytes(*this, make_head("/safe/x", "Api-Key: secret\r\nContent-Length: 99000000\r\n"));
    CHECK(too_large.status == 413);
    CHECK(too_large.headers.at("Connection") == "close");
    CHECK(server.get_requests().empty());
}

// Guards against a body whose pieces are put together wrongly, or that takes bytes of the next request.
TEST_CASE_FIXTURE(serving_fixture, "bodies of requests that follow each other on a connection arrive unchanged") {
    configure();
    const raw_server& server = add_server("s1", {}, answer_with(200, "hello"));
    constexpr std::size_t long_body_bytes = 700'001;
    std::string long_body;
    for (std::size_t position = 0; position < long_body_bytes; ++position) {
        long_body += static_cast<char>('a' + position % 23);
    }
    const std::string key = "Api-Key: secret\r\n";
    std::string bytes = make_head("/safe/1", key + "Transfer-Encoding: chunked\r\n");
    for (std::size_t position = 0; position < long_body.size();) {
        const std::string piece = long_body.substr(position, 1 + position % 5000);
        bytes += make_chunk(piece);
        position += piece.size();
    }
    bytes += "0\r\n\r\n";
    bytes += make_head("/safe/2", key + "Content-Length: 3\r\n") + "abc";
    bytes += make_head("/safe/3", key + fmt::format("Content-Length: {}\r\n", long_body.size())) + long_body;
    bytes += make_head("/safe/4", key + "Transfer-Encoding: chunked\r\n") + "1\r\nx\r\n0\r\n\r\n";
    bytes += make_head("/safe/5", key + "Content-Length: 0\r\n");
    run_until_done(loop, [&]() -> asio::awaitable<void> {
        asio::ip::tcp::socket socket = co_await connect();
        co_await asio::async_write(socket, asio::buffer(bytes), asio::use_awaitable);
        servers::beast::flat_buffer buffer;
        for (int response = 0; response < 5; ++response) {
            servers::http_response got;
            co_await http::async_read(socket, buffer, got, asio::use_awaitable);
            CHECK(got.result_int() == 200);
        }
    });
    REQUIRE(server.get_requests().size() == 5);
    CHECK(server.get_requests().at(0).body() == long_body);
    CHECK(server.get_requests().at(1).body() == "abc");
    CHECK(server.get_requests().at(2).body() == long_body);
    CHECK(server.get_requests().at(3).body() == "x");
    CHECK(server.get_requests().at(4).body().empty());
}

// Guards against limits that are off by one: the largest body and head that are permitted are served.
TEST_CASE_FIXTURE(serving_fixture,
                  "a body and a head of exactly the permitted size are served, and larger ones are not") {
    constexpr std::size_t body_limit = 100'000;
    constexpr std::size_t head_limit = 16UL * 1024;
    entry.set_limits({.header_limit_bytes = head_limit, .body_limit_bytes = body_limit});
    configure();
    add_server("s1", {}, answer_with(200, "hello"));
    const auto send_body = [&](std::size_t size, bool is_chunked) {
        const std::string body(size, 'a');
        const std::string framing =
            is_chunked ? "Transfer-Encoding: chunked\r\n" : fmt::format("Content-Length: {}\r\n", size);
        const std::string framed = is_chunked ? make_chunk(body) + "0\r\n\r\n" : body;
        return send_bytes(*this, make_head("/safe/x", "Api-Key: secret\r\n" + framing) + framed).status;
    };
    for (const bool is_chunked : {false, true}) {
        CHECK(send_body(body_limit, is_chunked) == 200);
        CHECK(send_body(body_limit + 1, is_chunked) == 413);
    }
    const auto send_head = [&](std::size_t size) {
        const std::string start = make_head("/safe/x", "Api-Key: secret\r\nContent-Length: 0\r\nX: ");
        // The last line of the head ends with the empty line.
        std::string head = start.substr(0, start.size() - 2);
        head += std::string(size - head.size() - 4, 'a') + "\r\n\r\n";
        return send_bytes(*this, head).status;
    };
    CHECK(send_head(head_limit - 1) == 200);
    // A head that arrives at once may be a little longer than permitted, since the parser sees its end first.
    constexpr std::size_t tolerated_bytes = 1024;
    CHECK(send_head(head_limit + tolerated_bytes) == 431);
}

// Guards against a pace that ends a request of a caller whose link stands still for longer than a header may take.
TEST_CASE_FIXTURE(serving_fixture, "a body may take longer than a header, as long as its request has time") {
    entry.set_limits({.io_timeout = std::chrono::milliseconds(100)});
    configure();
    add_server("s1", {}, answer_with(200, "hello"));
    answer got;
    run_until_done(loop, [&]() -> asio::awaitable<void> {
        asio::ip::tcp::socket socket = co_await connect();
        const std::string head = make_head("/safe/x", "Api-Key: secret\r\nContent-Length: 6\r\n") + "abc";
        co_await asio::async_write(socket, asio::buffer(head), asio::use_awaitable);
        asio::steady_timer pause(loop, std::chrono::milliseconds(300));
        co_await pause.async_wait(asio::use_awaitable);
        const std::string rest = "def";
        co_await asio::async_write(socket, asio::buffer(rest), asio::use_awaitable);
        got = co_await read_answer(socket);
    });
    CHECK(got.status == 200);
}

// Guards against a body that keeps its request alive for longer than its caller waits.
TEST_CASE_FIXTURE(serving_fixture, "the connection of a body that takes all the time of its request is closed") {
    entry.set_limits({.io_timeout = std::chrono::milliseconds(50)});
    configure();
    const raw_server& server = add_server("s1", {}, answer_with(200, "hello"));
    const std::string fields =
        "Host: host.example\r\nDragonflywell-Attempt-Id: a1\r\nDragonflywell-Deadline-Ms: 100\r\n"
        "Api-Key: secret\r\nContent-Length: 6\r\n\r\nabc";
    CHECK(send_bytes(*this, "POST /safe/x HTTP/1.1\r\n" + fields).is_cut);
    CHECK(server.get_requests().empty());
}
