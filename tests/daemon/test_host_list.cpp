#include "daemon/host_list.hpp"

#include <doctest/doctest.h>

#include "core/error.hpp"
#include "core/json.hpp"
#include "daemon/store_topics.hpp"
#include "platform/engine_codec.hpp"
#include "support/event_loop.hpp"
#include "support/store_fixture.hpp"

using namespace dragonflywell;
using daemon::listed_host;
using dragonflywell::testing::run_until;
using dragonflywell::testing::store_fixture;

TEST_CASE("the entry of a host survives encoding and decoding, and malformed entries are rejected") {
    const listed_host host{
        .name = "h1", .zone = zone_name("z1"), .address = {.address = "10.0.0.1", .port = 7000}, .incarnation = 12};
    CHECK(daemon::decode_host_entry("h1", daemon::encode_host_entry(host)) == host);
    listed_host measured = host;
    measured.core_thousandths = 90;
    CHECK(daemon::decode_host_entry("h1", daemon::encode_host_entry(measured)) == measured);
    for (const char* text : {"", "[]", "{}", R"({"address":"nowhere","zone":"z"})", R"({"address":"10.0.0.1:1"})"}) {
        CAPTURE(text);
        CHECK_THROWS_AS(static_cast<void>(daemon::decode_host_entry("h1", text)), malformed_message_error);
    }
}

TEST_CASE_FIXTURE(store_fixture, "a host whose entry the store has lost registers again, and drops no other host") {
    const std::string topic(daemon::topics::hosts);
    const listed_host own{
        .name = "h1", .zone = zone_name("z"), .address = {.address = "10.0.0.1", .port = 7000}, .incarnation = 12};
    listed_host other = own;
    other.name = "h2";
    store.put("keyed.t", "k", "v");
    store.take_copy();
    store.put(topic, other.name, daemon::encode_host_entry(other));
    platform::engine_codec dialect;
    servers::serving_state state{loop.get_executor(), time, pool, dialect, metrics, {}};
    platform::store_client client = make_client();
    daemon::host_list hosts(client, state, own);
    int listed = 0;
    int removed = 0;
    int pages = 0;
    hosts.start({.on_listed = [&](const listed_host&) { ++listed; },
                 .on_removed = [&](const std::string&) { ++removed; },
                 .on_page = [&] { ++pages; }});
    run_until(loop, [&] { return pages == 1; });
    REQUIRE(store.get(topic, own.name));
    store.restore();
    REQUIRE_FALSE(store.get(topic, own.name));
    testing::run_until_done(loop,
                            [&]() -> boost::asio::awaitable<void> { co_await client.append("keyed.t", "k", "v"); });
    run_until(loop, [&] { return pages == 3; });
    CHECK(store.get(topic, own.name) == daemon::encode_host_entry(own));
    CHECK(listed == 1);
    CHECK(removed == 0);
}
