#include <doctest/doctest.h>

#include <vector>

#include "core/clock.hpp"
#include "policy/expected_work_times.hpp"
#include "policy/server_speed_estimator.hpp"

using namespace dragonflywell;
using namespace dragonflywell::policy;
using namespace std::chrono_literals;

namespace {

const backend_server_name fast("fast");
const backend_server_name slow("slow");
constexpr duration work = 100ms;

/// Requests that are sent in batches, one batch after the other.
struct request_sequence {
    server_speed_estimator speeds;
    steady_time now{1h};

    void send(const backend_server_name& server, duration taken, double load = 0.5, int count = 4) {
        std::vector<std::uint64_t> numbers;
        numbers.reserve(static_cast<std::size_t>(count));
        for (int request = 0; request < count; ++request) {
            numbers.push_back(speeds.start(server, work, load, now));
        }
        now += taken;
        for (const std::uint64_t number : numbers) {
            speeds.finish(number, now);
        }
        speeds.refresh(now);
    }

    /// Two servers, of which the second takes longer by a factor.
    void send_pairs(int count, double factor, double load = 0.5) {
        for (int pair = 0; pair < count; ++pair) {
            send(fast, work, load);
            send(slow, std::chrono::duration_cast<duration>(work * factor), load);
        }
    }

    [[nodiscard]] double get_speed(const backend_server_name& server, double load = 0.5) {
        now += 100ms;
        speeds.refresh(now);
        return speeds.get_speed(server, load);
    }
};

} // namespace

TEST_CASE("a server has the speed 1 without observations, and with those of a single request") {
    request_sequence sequence;
    CHECK(sequence.get_speed(slow) == 1);
    sequence.send(slow, work * 2, 0.5, 1);
    CHECK(sequence.get_speed(slow) == 1);
}

TEST_CASE("a slow server is found, and its estimate returns to 1 when it gets no requests") {
    request_sequence sequence;
    sequence.send_pairs(20, 2.5);
    CHECK(sequence.get_speed(slow) < 0.8);
    CHECK(sequence.get_speed(fast) > 1.2);
    sequence.now += 15s;
    CHECK(sequence.get_speed(slow) == 1);
}

TEST_CASE("a server that has recovered is found within a few seconds") {
    request_sequence sequence;
    sequence.send_pairs(20, 2.5);
    sequence.send_pairs(30, 1);
    CHECK(sequence.get_speed(slow) == 1);
}

TEST_CASE("a server that slows down under load is slower at a higher load only") {
    request_sequence sequence;
    for (int round = 0; round < 10; ++round) {
        sequence.send_pairs(1, 1, 0.1);
        sequence.send_pairs(1, 4, 1);
    }
    CHECK(sequence.get_speed(slow, 1) < 0.7);
    CHECK(sequence.get_speed(slow, 0.1) > sequence.get_speed(slow, 1) * 1.5);
    CHECK(sequence.speeds.get_limit(slow) < 1);
    CHECK(sequence.speeds.get_limit(fast) == 1);
}

// Guards against learning only from requests that came back: a server that answers nothing would keep its estimate.
TEST_CASE("a request that runs for longer than expected counts while it runs, and when it is abandoned") {
    request_sequence sequence;
    for (int round = 0; round < 20; ++round) {
        sequence.send(fast, work);
    }
    constexpr std::size_t requests = 6;
    std::vector<std::uint64_t> numbers;
    numbers.reserve(requests);
    while (numbers.size() < requests) {
        numbers.push_back(sequence.speeds.start(slow, work, 0.5, sequence.now));
    }
    CHECK(sequence.get_speed(slow) == 1);
    sequence.now += 1s;
    CHECK(sequence.get_speed(slow) < 0.8);
    for (const std::uint64_t number : numbers) {
        sequence.speeds.abandon(number, sequence.now);
    }
    CHECK(sequence.get_speed(slow) < 0.8);
}

TEST_CASE("a request that is cut off before its time says nothing about the server") {
    request_sequence sequence;
    for (int round = 0; round < 20; ++round) {
        sequence.send(fast, work);
        const std::uint64_t number = sequence.speeds.start(slow, work, 0.5, sequence.now);
        sequence.speeds.abandon(number, sequence.now + 10ms);
        sequence.speeds.discard(sequence.speeds.start(slow, work, 0.5, sequence.now));
    }
    CHECK(sequence.get_speed(slow) == 1);
    CHECK_FALSE(sequence.speeds.get_own_sums(sequence.now).contains(slow));
}

// Guards against taking a caller that reads slowly for a slow server.
TEST_CASE("the time in which a caller does not take a response says nothing about the server") {
    request_sequence sequence;
    for (int round = 0; round < 20; ++round) {
        sequence.send(fast, work);
        const std::uint64_t number = sequence.speeds.start(slow, work, 0.5, sequence.now);
        sequence.speeds.pause(number, sequence.now + 50ms);
        sequence.now += 1s;
        CHECK(sequence.get_speed(slow) == 1);
        sequence.speeds.resume(number, sequence.now);
        sequence.speeds.finish(number, sequence.now + 50ms);
    }
    CHECK(sequence.get_speed(slow) == 1);
}

TEST_CASE("the sums of another host count as observations of this one, until it is removed") {
    request_sequence other;
    other.send_pairs(20, 2.5);
    request_sequence own;
    own.now = other.now;
    own.speeds.merge("other", other.speeds.get_own_sums(other.now), own.now);
    CHECK(own.get_speed(slow) < 0.85);
    // A repeated message replaces the one before it.
    const double once = own.get_speed(slow);
    own.speeds.merge("other", other.speeds.get_own_sums(own.now), own.now);
    CHECK(own.get_speed(slow) == doctest::Approx(once).epsilon(0.05));
    own.speeds.remove_host("other");
    CHECK(own.get_speed(slow) == 1);
}

TEST_CASE("requests of a long kind are expected to take longer, whichever servers ran them") {
    expected_work_times times;
    CHECK(times.get(1) == duration::zero());
    for (int round = 0; round < 50; ++round) {
        times.observe(1, 50ms, 1);
        times.observe(2, 1s, 0.5);
    }
    CHECK(times.get(1) > 49ms);
    CHECK(times.get(1) < 51ms);
    CHECK(times.get(2) > 490ms);
    CHECK(times.get(2) < 510ms);
}
