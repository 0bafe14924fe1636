#include <doctest/doctest.h>

#include <array>

#include "servers/peer_client.hpp"
#include "servers/peer_server.hpp"

using namespace dragonflywell;
using namespace dragonflywell::coordination;

namespace {

/// A daemon that gives every message back to its sender.
class echo_handler final : public servers::peer_handler {
public:
    std::vector<gossip_message> on_gossip(const gossip_message& message) override { return {message}; }
    std::optional<log_batch> on_read_records(std::string_view stream, log_offset from, std::size_t most) override {
        if (stream != "held") {
            return std::nullopt;
        }
        return log_batch{.entries = {{.offset = from, .data = std::string(1, '\0')}}, .oldest = 0, .end = most};
    }
    servers::configuration_page on_read_configuration(const std::string& after) override {
        return {.version = 5, .entries = {{after + "x", "{}"}}, .is_last = false};
    }
};

member make_member(const std::string& host) {
    return {.host = host_name(host),
            .zone = zone_name("a"),
            .address = {.address = "127.0.0.1", .port = 65535},
            .incarnation = UINT64_MAX,
            .state = member_state::suspect};
}

gossip_message make_message() {
    return {.kind = gossip_kind::ping_request,
            .sender = make_member("h1"),
            .subject = make_member("h2"),
            .origin = endpoint{.address = "::1", .port = 1},
            .members = {make_member("h3"), make_member("h4")},
            .items = {{.key = {.owner = host_name("h3"), .kind = item_kind::usage_copy, .subject = "s"},
                       .scope = item_scope::fleet,
                       .version = 9,
                       .value = std::string("\0\xff", 2)}},
            .digest = {{.host = host_name("h4"), .incarnation = 1, .state = member_state::left, .items_hash = 2}}};
}

endpoint get_endpoint(const servers::peer_server& server) {
    return {.address = "127.0.0.1", .port = server.get_port()};
}

const endpoint any_port{.address = "127.0.0.1", .port = 0};

} // namespace

TEST_CASE("a gossip message comes back as it was sent") {
    echo_handler handler;
    servers::peer_server server(any_port, handler);
    servers::peer_client client({.deadline = std::chrono::seconds(10)});
    const std::array<addressed_message, 1> messages{{{.to = get_endpoint(server), .message = make_message()}}};
    const std::vector<gossip_message> answers = client.exchange(messages);
    REQUIRE(answers.size() == 1);
    CHECK(answers.front() == make_message());
}

TEST_CASE("a daemon that is gone costs its own answer only") {
    echo_handler handler;
    servers::peer_server server(any_port, handler);
    endpoint gone;
    {
        const servers::peer_server stopped(any_port, handler);
        gone = get_endpoint(stopped);
    }
    servers::peer_client client({.deadline = std::chrono::seconds(5), .most_connections = 1});
    const std::array<addressed_message, 2> messages{
        {{.to = gone, .message = make_message()}, {.to = get_endpoint(server), .message = make_message()}}};
    CHECK(client.exchange(messages).size() == 1);
    CHECK_FALSE(client.read_records(gone, "held", 0, 1).has_value());
    CHECK_FALSE(client.read_configuration(gone, "").has_value());
}

TEST_CASE("records and configuration pages pass the wire") {
    echo_handler handler;
    servers::peer_server server(any_port, handler);
    servers::peer_client client({.deadline = std::chrono::seconds(10)});
    const auto batch = client.read_records(get_endpoint(server), "held", 3, 9);
    REQUIRE(batch);
    CHECK(batch->entries.front().offset == 3);
    CHECK(batch->entries.front().data == std::string(1, '\0'));
    CHECK(batch->end == 9);
    CHECK_FALSE(client.read_records(get_endpoint(server), "other", 3, 9).has_value());
    const auto page = client.read_configuration(get_endpoint(server), "p");
    REQUIRE(page);
    CHECK(page->version == log_offset{5});
    CHECK(page->entries == std::map<std::string, std::string>{{"px", "{}"}});
    CHECK_FALSE(page->is_last);
}

TEST_CASE("a port that is in use is refused with a typed error") {
    echo_handler handler;
    const servers::peer_server server(any_port, handler);
    CHECK_THROWS_AS(servers::peer_server(get_endpoint(server), handler), servers::peer_listen_error);
}
