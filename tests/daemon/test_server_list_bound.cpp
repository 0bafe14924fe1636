#include <doctest/doctest.h>

#include "list_simulation.hpp"

using namespace dragonflywell;
using testing::list_simulation;
using testing::list_simulation_options;
using testing::list_simulation_result;
using testing::message_fault;
using namespace std::chrono_literals;

namespace {

list_simulation_result play(const list_simulation_options& options) {
    return list_simulation(options).run();
}

/// Checks that no host uses a server, or holds a list, for longer than the bound less the time to send a request.
void check_bound(const list_simulation_result& result, duration bound) {
    const duration limit = bound - policy::read_times::within(bound).margin;
    CHECK(result.longest_use <= limit);
    CHECK(result.highest_age <= limit);
}

} // namespace

// Guards against DRAIN: one lost answer of the store cost more than the whole bound.
TEST_CASE("a server that leaves gets no work beyond the bound with any one message lost, late or stale") {
    for (const duration bound : {2s, 4s}) {
        const std::uint64_t messages = play({.bound = bound}).messages;
        REQUIRE(messages > 50);
        for (const message_fault fault : {message_fault::lost, message_fault::late, message_fault::stale}) {
            for (std::uint64_t message = 1; message <= messages; ++message) {
                CAPTURE(bound.count());
                CAPTURE(static_cast<int>(fault));
                CAPTURE(message);
                check_bound(play({.bound = bound, .fault = fault, .faulty_message = message}), bound);
            }
        }
    }
}

TEST_CASE("the same holds after the leader of the group has fallen silent") {
    for (std::uint64_t seed = 1; seed <= 8; ++seed) {
        const duration stops_at = 2s + std::chrono::milliseconds(237 * seed);
        const std::uint64_t messages = play({.seed = seed, .leader_stops_at = stops_at}).messages;
        for (const message_fault fault : {message_fault::lost, message_fault::late, message_fault::stale}) {
            for (std::uint64_t message = 1; message <= messages; ++message) {
                CAPTURE(seed);
                CAPTURE(static_cast<int>(fault));
                CAPTURE(message);
                check_bound(
                    play({.seed = seed, .fault = fault, .faulty_message = message, .leader_stops_at = stops_at}), 2s);
            }
        }
    }
}

// Guards against DRAIN: records were skipped when a relayed page arrived during a read of the store.
TEST_CASE("the same holds while pages of the leader arrive during reads of the other hosts") {
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        CAPTURE(seed);
        check_bound(play({.hosts = 6, .seed = seed, .relay_time = 1200ms}), 2s);
    }
}

TEST_CASE("a host that the store does not answer gets the records that it missed from the leader") {
    const std::uint64_t messages = play({}).messages;
    for (std::uint64_t message = 1; message <= messages; ++message) {
        CAPTURE(message);
        check_bound(play({.fault = message_fault::lost, .faulty_message = message, .last_host_cut_off_at = 1500ms}),
                    2s);
    }
}

TEST_CASE("hosts that hear the leader hardly read the store themselves") {
    const list_simulation_result one = play({.hosts = 1});
    const list_simulation_result many = play({.hosts = 12});
    // Each of the eleven others lists the servers once.
    CHECK(many.store_calls <= one.store_calls + 11 + 2);
}
