#include <boost/asio/steady_timer.hpp>
#include <doctest/doctest.h>
#include <fmt/format.h>

#include "support/generation_parts.hpp"

using namespace dragonflywell;
using dragonflywell::standin::raw_connection;
using dragonflywell::standin::raw_server;
using dragonflywell::testing::decode;
using dragonflywell::testing::prefill;
using dragonflywell::testing::run_until;
using dragonflywell::testing::serving_fixture;
namespace http = servers::http;
namespace asio = boost::asio;

namespace {

/// Takes everything that a budget has left, in pieces, so that other users find no room in it.
class byte_budget_holder {
public:
    explicit byte_budget_holder(const servers::byte_budget& budget) : m_share(budget) {
        constexpr std::size_t first_step = 1UL << 30U;
        for (std::size_t step = first_step; step > 0; step /= 2) {
            while (m_share.take(step)) {
            }
        }
    }

private:
    servers::byte_budget::share m_share;
};

} // namespace

// Guards against a host that runs out of memory: incomplete events counted for no limit of the host as a whole.
TEST_CASE_FIXTURE(serving_fixture, "incomplete events of many streams together do not exceed the buffer budget") {
    constexpr std::size_t event_bytes = 1000UL * 1000;
    constexpr std::size_t streams = 40;
    // The budget, and what each stream may hold besides it.
    constexpr std::size_t max_held_bytes = 32UL * 1024 * 1024 + streams * servers::unbudgeted_response_bytes;
    constexpr std::size_t min_aborted = streams - max_held_bytes / event_bytes;
    configure();
    add_server("p", prefill, read_prompts());
    asio::steady_timer hold(loop, std::chrono::seconds(20));
    bool is_hold_over = false;
    hold.async_wait([&](const servers::error_code& fault) { is_hold_over = !fault; });
    for (int engine = 0; engine < 5; ++engine) {
        add_server("d" + std::to_string(engine), decode,
                   [&](const servers::http_request& request, raw_connection& connection) -> asio::awaitable<void> {
                       std::string bytes = serving_fixture::make_stream_head(request);
                       bytes += serving_fixture::make_chunk("id: 1\ndata: " + std::string(event_bytes, 'a'));
                       co_await connection.write(std::move(bytes));
                       servers::error_code ignored;
                       co_await hold.async_wait(servers::store_error(ignored));
                       connection.close();
                   });
    }
    std::size_t aborted = 0;
    std::size_t ended = 0;
    for (std::size_t number = 0; number < streams; ++number) {
        asio::co_spawn(
            loop,
            [&, number]() -> asio::awaitable<void> {
                asio::ip::tcp::socket socket = co_await connect();
                const std::string bytes =
                    fmt::format("POST /gen/x HTTP/1.1\r\nHost: host.example\r\nDragonflywell-Attempt-Id: a{}\r\n"
                                "Api-Key: secret\r\nDragonflywell-Model: m\r\nDragonflywell-Token-Count: 100,10\r\n"
                                "Dragonflywell-Prompt-Prefix: a1:60,b2:40\r\nContent-Length: 0\r\n\r\n",
                                number);
                co_await asio::async_write(socket, asio::buffer(bytes), asio::use_awaitable);
                const answer got = co_await read_answer(socket);
                aborted += got.status == 502 ? 1 : 0;
            },
            [&](const std::exception_ptr&) { ++ended; });
    }
    run_until(loop, [&] { return is_hold_over || aborted >= min_aborted; });
    CHECK(aborted >= min_aborted);
    CHECK_FALSE(is_hold_over);
    // A wait that begins later ends at once, too.
    hold.expires_at(asio::steady_timer::time_point::min());
    run_until(loop, [&] { return ended == streams; });
}

// Guards against one faulty server that ends the responses of all others by filling the budget.
TEST_CASE_FIXTURE(serving_fixture, "ordinary events and responses need no room in the buffer budget") {
    configure();
    const byte_budget_holder all(pool.get_buffer_budget());
    add_server("s1", {}, answer_with(200, "hello"));
    CHECK(ask(http::verb::post, "/unsafe/x", "{}").body == "hello");
    add_server("p", prefill, read_prompts());
    add_server("d", decode,
               [&](const servers::http_request& request, raw_connection& connection) -> asio::awaitable<void> {
                   const std::string event = make_event(1);
                   std::string beginning = make_stream_head(request) + make_chunk(event.substr(0, 3));
                   co_await connection.write(std::move(beginning));
                   // The first part of the event is read before the second one is sent.
                   asio::steady_timer pause(loop, std::chrono::milliseconds(20));
                   co_await pause.async_wait(asio::use_awaitable);
                   std::string rest = make_chunk(event.substr(3)) + "0\r\n\r\n";
                   co_await connection.write(std::move(rest));
               });
    const answer got = generate("/gen/x");
    CHECK(got.status == 200);
    CHECK(got.body == serving_fixture::make_event(1));
}

// Guards against ORDER: events that were refused for lack of room counted as delivered, and the resumed stream left
// them out.
TEST_CASE_FIXTURE(serving_fixture,
                  "a stream that finds no room in the budget is resumed after the last delivered event") {
    configure();
    const byte_budget_holder all(pool.get_buffer_budget());
    add_server("p", prefill, read_prompts());
    // The event does not fit without the budget, and becomes too large for it with the piece in which it ends.
    const std::string long_event = "id: 2\ndata: " + std::string(servers::unbudgeted_response_bytes, 'a') + "\n\n";
    add_server("d1", decode,
               [&](const servers::http_request& request, raw_connection& connection) -> asio::awaitable<void> {
                   std::string beginning = make_stream_head(request) + make_chunk(make_event(1));
                   co_await connection.write(std::move(beginning));
                   // The first event is delivered before the second one arrives.
                   asio::steady_timer pause(loop, std::chrono::milliseconds(20));
                   co_await pause.async_wait(asio::use_awaitable);
                   std::string rest = make_chunk(long_event);
                   co_await connection.write(std::move(rest));
                   co_await connection.wait_for_end();
               });
    const raw_server& second = add_server("d2", decode, stream_events(2, 3));
    state.find_engines(service_name("llm"))->load_tracker.start_decode(backend_server_name("d2"), 5000, {});
    const answer got = generate("/resume/x");
    CHECK_FALSE(got.is_cut);
    CHECK(got.body == make_event(1) + make_event(2) + make_event(3));
    REQUIRE(second.get_requests().size() == 1);
    CHECK(std::string(second.get_requests().at(0)["Last-Event-Id"]) == "1");
}
