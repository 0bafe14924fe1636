#include <doctest/doctest.h>
#include <fmt/format.h>

#include "core/json.hpp"
#include "daemon/host_list.hpp"
#include "daemon/lease_keeper.hpp"
#include "daemon/server_list_follower.hpp"
#include "daemon/store_topics.hpp"
#include "gossip/relayed_records.hpp"
#include "platform/engine_codec.hpp"
#include "support/event_loop.hpp"
#include "support/odd_keys.hpp"
#include "support/run_in_time.hpp"
#include "support/store_fixture.hpp"

using namespace dragonflywell;
using dragonflywell::testing::make_odd_keys;
using dragonflywell::testing::run_until;
using namespace std::chrono_literals;

namespace {

const std::string servers_topic = "keyed.servers";
constexpr int true_servers = 4;
const std::string unreadable = "\xff\xfe not an entry";

std::string make_entry(int number) {
    return fmt::format(R"({{"service":"app","addr":"10.0.0.{}:80","zone":"z","version":"1","slots":4,)"
                       R"("state":"ready","coldRemainingMs":0,"seq":1,"born":1}})",
                       number);
}

std::string get_name(int number) {
    return fmt::format("i-{}", number);
}

struct fixture : testing::store_fixture {
    virtual_clock clock;
    platform::engine_codec dialect;
    servers::serving_state state{loop.get_executor(), clock, pool, dialect, metrics, {}};
    platform::store_client client = make_client();
    std::optional<daemon::server_list_follower> follower;

    fixture() {
        store.set_listing_page_keys(2);
        for (int number = 1; number <= true_servers; ++number) {
            store.put(servers_topic, get_name(number), make_entry(number));
        }
    }

    void start() {
        follower.emplace(client, state, 2s);
        boost::asio::co_spawn(loop, follower->run(), boost::asio::detached);
        run_until(loop, [this] { return follower->is_loaded(); });
    }

    template <typename Condition>
    void run_in_time_until(Condition condition) {
        testing::run_in_time_until(loop, clock, condition);
    }

    [[nodiscard]] int count_true_servers() const {
        int found = 0;
        for (int number = 1; number <= true_servers; ++number) {
            found += state.is_usable(backend_server_name(get_name(number))) ? 1 : 0;
        }
        return found;
    }
};

} // namespace

TEST_CASE_FIXTURE(fixture, "a host that starts knows all servers beside entries of another writer") {
    for (const std::string& value : {unreadable, std::string("{}"), std::string("[]"), make_entry(9)}) {
        for (const std::string& key : make_odd_keys()) {
            store.put(servers_topic, key, value);
        }
        start();
        CHECK(count_true_servers() == true_servers);
        for (const auto& [name, listed] : state.eligibility.get_list().get_servers()) {
            CHECK(name.value().find_first_of("\r\n\t\x7f") == std::string::npos);
        }
        follower.reset();
    }
}

TEST_CASE_FIXTURE(fixture, "entries of another writer that arrive later spoil no relayed page and no list") {
    start();
    const std::uint64_t checksum = follower->get_read_position().checksum;
    std::vector<gossip::relayed_records> relayed;
    follower->set_relay([&](const log_position& from, const platform::store_page& page, duration age) {
        relayed.push_back({.from = from, .page = page, .sender = {}, .sent_at = {}, .age = age});
    });
    follower->set_reader(true);
    store.put(servers_topic, "a\r\nX-Injected: 1", make_entry(9));
    store.put(servers_topic, "\xff", make_entry(9));
    const auto is_read_to = [&](std::uint64_t offset) {
        return follower->get_read_position().end == log_position{.era = 1, .offset = offset};
    };
    run_in_time_until([&] { return is_read_to(true_servers + 2); });
    CHECK(follower->get_read_position().checksum == checksum);
    store.put(servers_topic, "odd", unreadable + std::string(100'000, 'x'));
    store.put(servers_topic, get_name(true_servers + 1), make_entry(true_servers + 1));
    run_in_time_until([&] { return is_read_to(true_servers + 4); });
    CHECK(state.is_usable(backend_server_name(get_name(true_servers + 1))));
    REQUIRE_FALSE(relayed.empty());
    for (const gossip::relayed_records& page : relayed) {
        const std::string datagram = gossip::encode_relayed_records(page);
        CHECK(datagram.size() < 1000);
        const boost::json::value message = json::parse(datagram);
        const gossip::relayed_records decoded = gossip::decode_relayed_records(message.as_object());
        CHECK(decoded.page.next == page.page.next);
    }
}

TEST_CASE_FIXTURE(fixture, "a host rejects the same entries whether it lists them or gets them relayed") {
    start();
    const log_position begin = follower->get_read_position().end.value();
    const log_position end{.era = 1, .offset = begin.offset + 1};
    const std::vector<platform::keyed_record> records{{.offset = begin.offset, .key = "odd", .value = ""}};
    follower->apply_relayed(begin, {.records = records, .next = end, .end = end}, 0ms);
    const std::uint64_t checksum = follower->get_read_position().checksum;
    store.put(servers_topic, "odd", unreadable);
    servers::serving_state other_state{loop.get_executor(), clock, pool, dialect, metrics, {}};
    daemon::server_list_follower other(client, other_state, 2s);
    boost::asio::co_spawn(loop, other.run(), boost::asio::detached);
    run_until(loop, [&] { return other.is_loaded(); });
    CHECK(other.get_read_position().checksum == checksum);
}

TEST_CASE_FIXTURE(fixture, "a host that starts knows all hosts beside entries of another writer") {
    const std::string topic(daemon::topics::hosts);
    daemon::listed_host host{
        .name = "h1", .zone = zone_name("z"), .address = {.address = "10.0.0.1", .port = 7000}, .incarnation = 12};
    for (const std::string& key : make_odd_keys()) {
        store.put(topic, key, unreadable);
        store.put(topic, key + "\n", daemon::encode_host_entry(host));
    }
    for (const std::string name : {"h2", "h3", "zz9"}) {
        store.put(topic, name, daemon::encode_host_entry(host));
    }
    std::set<std::string> listed;
    bool is_read = false;
    daemon::host_list hosts(client, state, host);
    hosts.start({.on_listed = [&](const daemon::listed_host& found) { listed.insert(found.name); },
                 .on_removed = [](const std::string&) {},
                 .on_page = [&] { is_read = true; }});
    run_until(loop, [&] { return is_read; });
    CHECK(listed == std::set<std::string>{"h2", "h3", "zz9"});
}

TEST_CASE_FIXTURE(fixture, "an entry of another writer in the topic of the lease ends no lease") {
    const std::string topic(daemon::topics::lease);
    daemon::lease_keeper lease(client, clock, {.holder = "h1", .incarnation = 1, .length = 3s, .takeover_delay = 3s});
    boost::asio::co_spawn(loop, lease.run(), boost::asio::detached);
    run_until(loop, [&] { return lease.is_held(); });
    const std::optional<std::uint64_t> term = lease.get_term();
    for (int second = 0; second < 4; ++second) {
        const std::size_t records = store.get_history(topic).size();
        store.put(topic, fmt::format("odd {}", second), unreadable);
        clock.advance(1s);
        run_until(loop, [&] { return store.get_history(topic).size() > records + 1 || !lease.is_held(); });
        CHECK(lease.get_term() == term);
    }
}
