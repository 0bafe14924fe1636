#include <doctest/doctest.h>
#include <fmt/format.h>

#include "platform/store_client.hpp"
#include "standin/raw_server.hpp"
#include "support/event_loop.hpp"
#include "support/odd_keys.hpp"
#include "support/store_fixture.hpp"

using namespace dragonflywell;
using namespace dragonflywell::platform;
using dragonflywell::testing::make_odd_keys;
using dragonflywell::testing::run_until_done;
using dragonflywell::testing::store_fixture;
namespace asio = boost::asio;

namespace {

const std::string topic = "keyed.t";

struct fixture : store_fixture {
    /// Returns the values of a listing by their keys, or nothing if the listing fails.
    std::optional<std::map<std::string, std::string>> list(store_client& client, std::string_view listed = topic) {
        std::optional<std::map<std::string, std::string>> values;
        run_until_done(loop, [&]() -> asio::awaitable<void> {
            try {
                const store_page page = co_await client.read_newest(listed);
                values.emplace();
                for (const keyed_record& record : page.records) {
                    CHECK(values->emplace(record.key, record.value.value_or("")).second);
                }
            } catch (const store_unavailable_error&) {
                values.reset();
            }
        });
        return values;
    }
};

} // namespace

TEST_CASE_FIXTURE(fixture, "a key that a query cannot hold as it is at the end of a page ends no listing") {
    for (const std::string& key : make_odd_keys()) {
        CAPTURE(key);
        for (const std::size_t page_keys : {1U, 2U, 3U}) {
            store.set_listing_page_keys(page_keys);
            const std::string name = fmt::format("keyed.{}-{}", page_keys, std::hash<std::string>{}(key));
            store.put(name, key, "odd");
            for (const std::string ordinary : {"0", "b", "c", "zzz"}) {
                store.put(name, ordinary, "value of " + ordinary);
            }
            store_client client = make_client();
            const std::uint64_t calls = store.get_calls();
            const auto listed = list(client, name);
            REQUIRE(listed);
            CHECK(listed->size() == 5);
            CHECK(listed->at(key) == "odd");
            CHECK(listed->at("zzz") == "value of zzz");
            constexpr std::size_t keys = 5;
            CHECK(store.get_calls() - calls == (keys + page_keys - 1) / page_keys);
        }
    }
}

TEST_CASE_FIXTURE(fixture, "many odd keys together end no listing") {
    store.set_listing_page_keys(2);
    for (const std::string& key : make_odd_keys()) {
        store.put(topic, key, "odd");
    }
    store.put(topic, "i-1", "1");
    store.put(topic, "i-2", "2");
    store_client client = make_client();
    const auto listed = list(client);
    REQUIRE(listed);
    CHECK(listed->size() == make_odd_keys().size() + 2);
    CHECK(listed->at("i-2") == "2");
}

TEST_CASE_FIXTURE(fixture, "a topic whose name a query cannot hold as it is is read and written under that name") {
    const std::string odd_topic = "keyed.a b&part=1#+%41";
    store_client client = make_client();
    run_until_done(loop, [&]() -> asio::awaitable<void> {
        const append_result appended = co_await client.append(odd_topic, "k", "v");
        CHECK(appended.position == log_position{.era = 1, .offset = 0});
        const store_page page = co_await client.read(odd_topic, {.era = 1, .offset = 0}, duration::zero());
        REQUIRE(page.records.size() == 1);
        CHECK(page.records[0].value == "v");
    });
    const auto listed = list(client, odd_topic);
    REQUIRE(listed);
    CHECK(listed->at("k") == "v");
    CHECK(store.get(odd_topic, "k") == "v");
}

namespace {

/// A store that answers each call with the next of the given documents, and the last one again.
struct scripted_store : fixture {
    std::vector<std::string> pages;
    std::size_t calls{0};
    standin::raw_server server{
        loop,
        [this](const servers::http_request& /*request*/, standin::raw_connection& connection) -> asio::awaitable<void> {
            const std::string& body = pages.at(std::min(calls, pages.size() - 1));
            ++calls;
            co_await connection.write(
                fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}", body.size(), body));
        }};
    store_client client{make_client(server.get_endpoint())};

    /// Returns a page with the given items. "MQ==" is the value "1".
    static std::string make_page(const std::string& items, bool has_more = false) {
        return fmt::format(R"({{"items":[{}],"more":{},"endOffset":9}})", items, has_more);
    }
    static std::string make_item(const std::string& key) {
        return fmt::format(R"({{"key":"{}","value":"MQ==","offset":1}})", key);
    }
};

} // namespace

TEST_CASE_FIXTURE(scripted_store, "an item of a listing that cannot be read spoils no other") {
    for (const std::string odd :
         {R"(null)", R"(1)", R"("i-9")", R"([])", R"({})", R"({"value":"MQ==","offset":1})",
          R"({"key":7,"value":"MQ==","offset":1})", R"({"key":null,"value":"MQ=="})",
          R"({"key":"","value":"MQ==","offset":1})", R"({"key":"a","value":"!","offset":1})",
          R"({"key":"a","value":"MQ=","offset":1})", R"({"key":"a","value":"M=Q=","offset":1})",
          R"({"key":"a","value":"====","offset":1})", R"({"key":"a","value":" MQ==","offset":1})",
          R"({"key":"a","value":7,"offset":1})", R"({"key":"a","value":{},"offset":1})",
          R"({"key":"a","value":"MQ==","offset":-1})", R"({"key":"a","value":"MQ==","offset":"1"})"}) {
        CAPTURE(odd);
        for (const std::string& items : {odd + "," + make_item("i-1") + "," + make_item("i-2"),
                                         make_item("i-1") + "," + odd + "," + make_item("i-2"),
                                         make_item("i-1") + "," + make_item("i-2") + "," + odd}) {
            pages = {make_page(items, true), make_page(odd + "," + make_item("i-3"))};
            calls = 0;
            const auto listed = list(client);
            REQUIRE(listed);
            CHECK(*listed == std::map<std::string, std::string>{{"i-1", "1"}, {"i-2", "1"}, {"i-3", "1"}});
        }
    }
}

TEST_CASE_FIXTURE(scripted_store, "a listing goes on after an item whose value cannot be read") {
    pages = {make_page(make_item("i-1") + R"(,{"key":"a b","value":"!"})", true), make_page(make_item("i-2"))};
    const auto listed = list(client);
    REQUIRE(listed);
    CHECK(listed->size() == 2);
    CHECK(server.get_requests().back().target().ends_with("after=a%20b"));
}

TEST_CASE_FIXTURE(scripted_store, "a key with bytes that are no text spoils no other item") {
    for (const std::string key : {"\xff", "\xc3", "\xed\xa0\x80", "\xf5\x80\x80\x80"}) {
        pages = {make_page(make_item("i-1") + "," + make_item(key), true), make_page(make_item("i-2"))};
        calls = 0;
        const auto listed = list(client);
        REQUIRE(listed);
        CHECK(listed->contains("i-1"));
        CHECK(listed->contains("i-2"));
        CHECK(server.get_requests().back().target().find("&after=%") != std::string_view::npos);
    }
}

TEST_CASE_FIXTURE(scripted_store, "a listing whose pages repeat is told at once") {
    for (const std::string& repeated : {make_page(make_item("i-1") + "," + make_item("i-2"), true),
                                        make_page(make_item(""), true), make_page("", true), make_page("null", true)}) {
        CAPTURE(repeated);
        pages = {repeated};
        calls = 0;
        CHECK_FALSE(list(client));
        CHECK(calls <= 2);
    }
}

TEST_CASE_FIXTURE(scripted_store, "a listing whose pages alternate is told after both") {
    pages.clear();
    for (int page = 0; page < 10; ++page) {
        pages.push_back(make_page(make_item(page % 2 == 0 ? "i-1" : "i-2"), true));
    }
    CHECK_FALSE(list(client));
    CHECK(calls == 3);
}
