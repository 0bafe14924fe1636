#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <doctest/doctest.h>
#include <fmt/format.h>

#include "platform/store_client.hpp"
#include "standin/raw_server.hpp"
#include "support/event_loop.hpp"
#include "support/store_fixture.hpp"

using namespace dragonflywell;
using namespace dragonflywell::platform;
using dragonflywell::testing::run_until;
using dragonflywell::testing::run_until_done;
using dragonflywell::testing::store_fixture;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

log_position at(std::uint64_t offset, std::uint64_t era = 1) {
    return {.era = era, .offset = offset};
}

/// Remembers the eras that it was told.
class recording_listener final : public store_era_listener {
public:
    void on_era_changed(std::uint64_t era) override { m_eras.push_back(era); }
    [[nodiscard]] const std::vector<std::uint64_t>& get_eras() const noexcept { return m_eras; }

private:
    std::vector<std::uint64_t> m_eras;
};

/// How a call ended.
enum class outcome : std::uint8_t { done, refused, unknown, dropped };

template <typename Call>
outcome run(asio::io_context& loop, Call call) {
    outcome ended = outcome::done;
    run_until_done(loop, [&]() -> asio::awaitable<void> {
        try {
            co_await call();
        } catch (const store_unavailable_error& fault) {
            ended = fault.is_refused() ? outcome::refused : outcome::unknown;
        } catch (const store_history_dropped_error&) {
            ended = outcome::dropped;
        }
    });
    return ended;
}

struct fixture : store_fixture {
    store_client client = make_client();
    recording_listener listener;

    fixture() { client.add_era_listener(listener); }

    outcome read(const log_position& from) {
        return run(loop, [&]() { return client.read("keyed.t", from, duration::zero()); });
    }
    outcome append(std::optional<log_position> expected_end = std::nullopt) {
        return run(loop, [&]() { return client.append("keyed.t", "k", "v", expected_end); });
    }
    outcome list() {
        return run(loop, [&]() { return client.read_newest("keyed.t"); });
    }
    /// Returns a server that sends this response to each call.
    standin::raw_server make_server(std::string response) {
        return {loop,
                [response](const servers::http_request&, standin::raw_connection& connection) -> asio::awaitable<void> {
                    co_await connection.write(response);
                }};
    }
};

std::string make_response(unsigned status, const std::string& header, const std::string& body) {
    return fmt::format("HTTP/1.1 {} X\r\n{}Content-Length: {}\r\n\r\n{}", status, header, body.size(), body);
}

} // namespace

TEST_CASE_FIXTURE(fixture,
                  "a read position of an earlier era is not read on from, even if the log has reached it again") {
    store.put("keyed.t", "k", "1");
    store.put("keyed.t", "k", "2");
    CHECK(read(at(2)) == outcome::done);
    SUBCASE("the log ends at the position") {
        store.restore_to({{"keyed.t", 1}});
        store.put("keyed.t", "k", "3");
    }
    SUBCASE("the log ends beyond it") {
        store.restore_to({{"keyed.t", 1}});
        store.put("keyed.t", "k", "3");
        store.put("keyed.t", "k", "4");
    }
    SUBCASE("the log ends before it") {
        store.restore_to({{"keyed.t", 1}});
    }
    SUBCASE("the store has returned twice") {
        store.restore_to({{"keyed.t", 1}}, 2);
        store.put("keyed.t", "k", "3");
    }
    CHECK(read(at(2)) == outcome::dropped);
    const std::uint64_t calls = store.get_calls();
    CHECK(read(at(2)) == outcome::dropped);
    CHECK(store.get_calls() == calls);
    CHECK(listener.get_eras().size() == 2);
    CHECK(client.get_era() == store.get_era());
    CHECK(read(at(1, client.get_era())) == outcome::done);
}

TEST_CASE_FIXTURE(fixture, "a response of any status shows a new era") {
    for (const unsigned status : {200U, 409U, 410U, 412U, 429U, 503U}) {
        CAPTURE(status);
        recording_listener told;
        standin::raw_server server = make_server(make_response(status, "store-era: 7\r\n", "{\"endOffset\":1}"));
        store_client other = make_client(server.get_endpoint());
        other.add_era_listener(told);
        const outcome ended = run(loop, [&]() { return other.append("keyed.t", "k", "v"); });
        const bool is_refusal = status == 429 || status == 503;
        CHECK((ended == outcome::refused) == is_refusal);
        CHECK(told.get_eras() == std::vector<std::uint64_t>{7});
        CHECK(other.get_era() == 7);
        pool.clear();
    }
    CHECK(metrics.get_counter("dragonflywell_store_era_changes_total").get() == 6);
}

TEST_CASE_FIXTURE(fixture, "a conditional append whose condition is of another era did not certainly fail or succeed") {
    store.put("keyed.t", "k", "1");
    SUBCASE("the offset agrees by chance") {
        store.set_era(3);
        CHECK(append(at(1)) == outcome::unknown);
    }
    SUBCASE("the offset differs") {
        store.restore_to({{"keyed.t", 0}});
        CHECK(append(at(1)) == outcome::unknown);
    }
    const std::uint64_t calls = store.get_calls();
    CHECK(append(at(1)) == outcome::refused);
    CHECK(store.get_calls() == calls);
}

TEST_CASE_FIXTURE(fixture, "a response without a usable era is not used") {
    CHECK(append() == outcome::done);
    for (const std::string text : {"", "x", "-2", "2x", "0x2", "1.0", " ", "18446744073709551617", "99999999999"}) {
        CAPTURE(text);
        store.set_era_text(text);
        store_client known = make_client();
        CHECK(known.get_era() == 0);
        store.set_era_text("1");
        CHECK(run(loop, [&]() { return known.append("keyed.t", "k", "v"); }) == outcome::done);
        store.set_era_text(text);
        CHECK(run(loop, [&]() { return known.append("keyed.t", "k", "v"); }) == outcome::unknown);
        CHECK(known.get_era() == 1);
    }
}

TEST_CASE("a single response with a damaged era does not make all later ones look old") {
    metrics_registry metrics;
    store_era_tracker eras(metrics);
    CHECK(eras.record("1") == 1);
    CHECK_THROWS_AS(eras.record("900000"), malformed_message_error);
    CHECK(eras.record("1") == 1);
    CHECK_THROWS_AS(eras.record("900000"), malformed_message_error);
    CHECK(eras.record("900000") == 900'000);
    CHECK(eras.get() == 900'000);
}

TEST_CASE_FIXTURE(fixture, "a store that counts its eras from 0 is known to have returned when it is in era 1") {
    store.set_era(0);
    CHECK(append() == outcome::done);
    CHECK(listener.get_eras().empty());
    store.set_era(1);
    CHECK(append() == outcome::done);
    CHECK(client.get_first_era() == 0);
    CHECK(listener.get_eras() == std::vector<std::uint64_t>{1});
}

TEST_CASE_FIXTURE(fixture, "a store that has no eras works") {
    store.set_era_text("");
    CHECK(append(at(0, 0)) == outcome::done);
    CHECK(read(at(0, 0)) == outcome::done);
    CHECK(list() == outcome::done);
    CHECK(client.get_era() == 0);
    CHECK(listener.get_eras().empty());
}

TEST_CASE_FIXTURE(fixture, "a late response of an earlier era is not used") {
    store.set_era(5);
    CHECK(list() == outcome::done);
    store.set_era(4);
    CHECK(append() == outcome::unknown);
    CHECK(client.get_era() == 5);
    CHECK(listener.get_eras() == std::vector<std::uint64_t>{5});
}

TEST_CASE_FIXTURE(fixture, "a listing whose pages are of different eras is not used") {
    const auto make_page = [](int era, const std::string& rest) {
        return make_response(200, fmt::format("Store-Era: {}\r\n", era), "{\"items\":[{\"key\":\"k\"}]," + rest + "}");
    };
    int calls = 0;
    standin::raw_server server(
        loop, [&](const servers::http_request&, standin::raw_connection& connection) -> asio::awaitable<void> {
            ++calls;
            const std::string page = make_page(calls, calls == 1 ? "\"more\":true" : "\"more\":false");
            co_await connection.write(page);
        });
    store_client other = make_client(server.get_endpoint());
    CHECK(run(loop, [&]() { return other.read_newest("keyed.t"); }) == outcome::unknown);
    CHECK(calls == 2);
}

TEST_CASE_FIXTURE(fixture, "a long poll of an earlier era ends as soon as another call shows the new one") {
    standin::raw_server server(
        loop, [&](const servers::http_request& request, standin::raw_connection& connection) -> asio::awaitable<void> {
            if (request.target().find("waitMs") != std::string_view::npos) {
                co_await connection.wait_for_end();
                co_return;
            }
            co_await connection.write(make_response(200, "Store-Era: 2\r\n", R"({"offset":0,"endOffset":1})"));
        });
    store_client other = make_client(server.get_endpoint());
    bool is_poll_over = false;
    asio::co_spawn(
        loop,
        [&]() -> asio::awaitable<void> {
            CHECK_THROWS_AS(co_await other.read("keyed.t", at(1), 24h), store_history_dropped_error);
            is_poll_over = true;
        },
        asio::detached);
    run_until(loop, [&] { return server.get_requests().size() == 1; });
    CHECK(run(loop, [&]() { return other.append("keyed.u", "k", "v"); }) == outcome::done);
    run_until(loop, [&] { return is_poll_over; });
    CHECK(is_poll_over);
    CHECK(metrics.get_counter("dragonflywell_store_failures_total").get() == 0);
}
