#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <doctest/doctest.h>
#include <fmt/format.h>

#include "platform/store_client.hpp"
#include "servers/caller_channel.hpp"
#include "standin/store_standin.hpp"
#include "support/event_loop.hpp"
#include "support/let_others_run.hpp"

using namespace dragonflywell;
using dragonflywell::testing::run_until_done;
namespace asio = boost::asio;
namespace http = servers::http;

namespace {

/// Keeps the response in place of sending it.
class recording_channel final : public servers::caller_channel {
public:
    asio::awaitable<void> send(servers::http_response response) override {
        received = std::move(response);
        co_return;
    }
    asio::awaitable<void> start_stream(servers::stream_head /*head*/) override { co_return; }
    asio::awaitable<void> send_chunk(std::string_view /*data*/) override { co_return; }
    asio::awaitable<void> finish_stream() override { co_return; }
    void abort_stream() override {}
    [[nodiscard]] bool is_started() const noexcept override { return received.has_value(); }

    std::optional<servers::http_response> received;
};

struct fixture {
    asio::io_context loop{1};
    standin::store_standin store;

    servers::http_response call(http::verb method, const std::string& target, const std::string& body = "") {
        recording_channel caller;
        run_until_done(loop, [&] { return send(caller, method, target, body); });
        return *caller.received;
    }

    asio::awaitable<void> send(recording_channel& caller, http::verb method, std::string target, std::string body) {
        servers::http_request request(method, target, 11);
        request.body() = std::move(body);
        co_await store.handle(std::move(request), caller);
    }

    unsigned read(std::uint64_t from) {
        return call(http::verb::get, fmt::format("/-/log-read?topic=keyed.t&part=0&from={}", from)).result_int();
    }

    unsigned append_at(std::uint64_t at) {
        return call(http::verb::post, fmt::format("/-/log-append?topic=keyed.t&part=0&at={}", at),
                    platform::encode_keyed_record("k", "v"))
            .result_int();
    }
};

} // namespace

TEST_CASE_FIXTURE(fixture, "every response of the store stand-in names its era") {
    store.put("keyed.t", "k", "v");
    store.drop_history("keyed.t");
    const auto get_era = [&](const std::string& path) {
        return std::string(call(http::verb::get, path + "topic=keyed.t&part=0")["Store-Era"]);
    };
    CHECK(get_era("/-/log-newest?") == "1");
    CHECK(get_era("/-/log-read?from=0&") == "1");
    CHECK(get_era("/-/log-read?from=1&waitMs=1&") == "1");
    CHECK(get_era("/-/log-append?at=7&") == "1");
    CHECK(get_era("/-/log-append?") == "1");
    store.set_refusing(true);
    store.set_era(9);
    CHECK(get_era("/-/log-newest?") == "9");
    store.set_era_text("x");
    CHECK(get_era("/-/log-newest?") == "x");
    store.set_era_text("");
    CHECK(get_era("/-/log-newest?").empty());
}

TEST_CASE_FIXTURE(fixture, "after its return from a copy the store stand-in has the copy's records and a new era") {
    store.put("keyed.t", "k", "1");
    store.take_copy();
    store.put("keyed.t", "k", "2");
    store.put("keyed.u", "k", "3");
    store.restore();
    CHECK(store.get("keyed.t", "k") == "1");
    CHECK_FALSE(store.get("keyed.u", "k"));
    CHECK(store.get_era() == 2);
    CHECK(read(1) == 200);
    CHECK(read(2) == 410);
    CHECK(append_at(2) == 412);
    CHECK(append_at(1) == 200);
    store.restore_to({{"keyed.t", 1}}, 3);
    CHECK(store.get_history("keyed.t") == std::vector<std::string>{"1"});
    CHECK(store.get_era() == 5);
}

TEST_CASE_FIXTURE(fixture, "a long poll of the store stand-in ends when the store returns from a copy") {
    store.take_copy();
    store.put("keyed.t", "k", "1");
    recording_channel caller;
    run_until_done(loop, [&]() -> asio::awaitable<void> {
        asio::co_spawn(loop, send(caller, http::verb::get, "/-/log-read?topic=keyed.t&part=0&from=1&waitMs=60000", ""),
                       asio::detached);
        co_await testing::let_others_run();
        CHECK_FALSE(caller.received);
        store.restore();
    });
    testing::run_until(loop, [&] { return caller.received.has_value(); });
    CHECK(caller.received->result_int() == 410);
    CHECK((*caller.received)["Store-Era"] == "2");
}
