#include <doctest/doctest.h>

#include <fmt/format.h>
#include <set>
#include <string>

#include "support/generation_parts.hpp"
#include "support/let_others_run.hpp"
#include "support/request_headers.hpp"

using namespace dragonflywell;
using dragonflywell::standin::raw_connection;
using dragonflywell::testing::decode;
using dragonflywell::testing::get;
using dragonflywell::testing::prefill;
using dragonflywell::testing::run_until_done;
using dragonflywell::testing::serving_fixture;
namespace asio = boost::asio;
namespace http = servers::http;

namespace {

/// Engines of which each crashes when it begins to answer a prompt with a given part: it closes the connection and
/// accepts no other one. Each request has parts of its own beside the shared ones.
struct crashing_engines : serving_fixture {
    static constexpr int engines = 12;
    std::set<std::string> crashed;
    int requests{0};
    /// Whether the list shows that an engine drains before it ends.
    bool is_end_planned{false};

    crashing_engines() {
        configure();
        add_server("p", prefill, read_prompts());
        for (int number = 0; number < engines; ++number) {
            add_engine(fmt::format("d{}", number));
        }
    }

    void add_engine(const std::string& name) {
        add_server(
            name, decode,
            [this, name](const servers::http_request& request, raw_connection& connection) -> asio::awaitable<void> {
                if (get(request, "Dragonflywell-Prompt-Prefix").find("dead:") == std::string::npos) {
                    co_await stream_events(1, 2)(request, connection);
                    co_return;
                }
                crashed.insert(name);
                if (is_end_planned) {
                    fleet::server_record record = state.eligibility.get_list().find(backend_server_name(name))->record;
                    record.is_draining = true;
                    state.eligibility.get_list().apply(record, time.now());
                    state.refresh_servers();
                }
                added[name]->stop_listening();
                connection.reset();
            });
    }

    /// Sends a request whose prompt has the given shared parts, and lets probes of broken connections end.
    unsigned send(const std::string& shared_parts) {
        ++requests;
        auto headers = get_headers(make_id());
        headers.emplace_back("Dragonflywell-Model", "m");
        headers.emplace_back("Dragonflywell-Token-Count", "100,10");
        headers.emplace_back("Dragonflywell-Prompt-Prefix", fmt::format("{},{:x}:40", shared_parts, 0x1000 + requests));
        const unsigned status = ask(http::verb::post, "/gen/x", fmt::format("prompt {}", requests), headers).status;
        run_until_done(loop, [&]() -> asio::awaitable<void> { co_await testing::let_others_run(); });
        return status;
    }
};

} // namespace

TEST_CASE_FIXTURE(crashing_engines, "a prompt part that crashes engines does not crash one after the other") {
    for (int number = 0; number < 20; ++number) {
        const unsigned status = send(fmt::format("{:x}:30,dead:30", 0x100 + number));
        CHECK(status == (number < 3 ? 502 : 503));
        CHECK(send(fmt::format("{:x}:60", 0x100 + number)) == 200);
    }
    CHECK(crashed.size() == 3);
}

TEST_CASE_FIXTURE(crashing_engines,
                  "sound prompts that share the first part with those that crash engines are served") {
    for (int number = 0; number < 10; ++number) {
        send("a1:30,dead:30");
    }
    CHECK(send("a1:60") == 200);
    CHECK(send("a1:60") == 200);
    CHECK(send("a1:30,dead:30") == 503);
    CHECK(send("c1:30,dead:30") == 503);
    CHECK(crashed.size() == 3);
}

TEST_CASE_FIXTURE(crashing_engines, "a prompt part is not blamed for engines that end after they began to drain") {
    is_end_planned = true;
    for (int number = 0; number < 5; ++number) {
        send(fmt::format("{:x}:30,dead:30", 0x100 + number));
    }
    CHECK(crashed.size() == 5);
    CHECK(state.part_suspects.is_empty());
}
