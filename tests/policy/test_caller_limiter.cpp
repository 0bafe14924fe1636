#include "policy/caller_limiter.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <random>

using namespace dragonflywell;
using namespace std::chrono_literals;
using policy::caller_limiter;

namespace {

constexpr std::size_t kilobyte = 1024;
constexpr std::size_t megabyte = 1024 * kilobyte;

/// A limiter whose connections have begun a request.
class limiter_fixture {
public:
    explicit limiter_fixture(std::size_t budget_bytes) : limiter({.budget_bytes = budget_bytes}) {}

    void begin(caller_limiter::connection_id id) {
        REQUIRE(limiter.add(id, clock.now()).is_admitted);
        limiter.begin_request(id, clock.now());
    }
    /// The request has received all the bytes that it holds.
    caller_limiter::decision receive(caller_limiter::connection_id id, std::size_t bytes) {
        return limiter.resize(id, bytes, bytes, clock.now());
    }

    virtual_clock clock;
    caller_limiter limiter;
};

using ids = std::vector<caller_limiter::connection_id>;

} // namespace

// Load: callers that stop one byte short of the end of a large body, and one that goes on.
TEST_CASE("a request that has stopped growing makes way before one that grows, the oldest first") {
    limiter_fixture test(10 * megabyte);
    for (const caller_limiter::connection_id id : {1, 2, 3}) {
        test.begin(id);
        test.clock.advance(10ms);
    }
    CHECK(test.receive(2, 3 * megabyte).to_close.empty());
    CHECK(test.receive(1, 3 * megabyte).to_close.empty());
    test.clock.advance(1s);
    CHECK(test.receive(3, 2 * megabyte).to_close.empty());
    test.begin(4);
    CHECK(test.receive(4, 2 * megabyte).to_close == ids{1});
    CHECK(test.receive(4, 4 * megabyte).to_close == ids{2});
}

// Load: large bodies that all arrive at once, at different paces.
TEST_CASE("of the requests that grow, the slowest makes way") {
    limiter_fixture test(10 * megabyte);
    test.begin(1);
    test.begin(2);
    test.clock.advance(400ms);
    CHECK(test.receive(1, 4 * megabyte).is_admitted);
    CHECK(test.receive(2, 3 * megabyte).is_admitted);
    test.begin(3);
    test.clock.advance(100ms);
    CHECK(test.receive(3, 4 * megabyte).to_close == ids{2});
}

// Load: large bodies that fill the budget, besides ordinary callers.
TEST_CASE("small requests find room beside large ones and stay") {
    limiter_fixture test(8 * megabyte);
    test.begin(1);
    CHECK(test.receive(1, 6 * megabyte).is_admitted);
    for (caller_limiter::connection_id id = 2; id < 12; ++id) {
        test.begin(id);
        const caller_limiter::decision decision = test.receive(id, 30 * kilobyte);
        CHECK(decision.is_admitted);
        CHECK(decision.to_close.empty());
    }
    // A large request that needs more than large ones may have makes no way for itself among the small ones.
    test.begin(12);
    test.clock.advance(1s);
    const caller_limiter::decision decision = test.receive(12, 4 * megabyte);
    CHECK(decision.to_close == ids{1});
}

// Load: none but one request.
TEST_CASE("a request alone is admitted whatever its size") {
    limiter_fixture test(megabyte);
    test.begin(1);
    CHECK(test.receive(1, 100 * megabyte).is_admitted);
    CHECK(test.limiter.begin_run(1, 300 * megabyte, test.clock.now()).is_admitted);
}

// Load: complete requests that hold the whole budget while they run.
TEST_CASE("a complete request is never closed, and one without room is refused") {
    limiter_fixture test(8 * megabyte);
    test.begin(1);
    CHECK(test.limiter.begin_run(1, 6 * megabyte, test.clock.now()).is_admitted);
    test.begin(2);
    test.clock.advance(1min);
    const std::size_t held = test.limiter.get_held_bytes();
    const caller_limiter::decision decision = test.receive(2, 4 * megabyte);
    CHECK_FALSE(decision.is_admitted);
    CHECK(decision.to_close.empty());
    CHECK(test.limiter.get_held_bytes() == held);
    test.limiter.begin_idle(1, test.clock.now());
    CHECK(test.receive(2, 4 * megabyte).is_admitted);
}

// Load: many half-sent heads that fill the budget, and new callers.
TEST_CASE("small requests make way for new ones, the oldest first") {
    limiter_fixture test(megabyte);
    caller_limiter::connection_id id = 1;
    for (; test.limiter.get_held_bytes() + 24 * kilobyte <= megabyte; ++id) {
        test.begin(id);
        CHECK(test.receive(id, 15 * kilobyte).is_admitted);
    }
    while (test.limiter.get_held_bytes() + caller_limiter::connection_bytes <= megabyte) {
        test.begin(id++);
    }
    // The new callers come while the others have not stopped growing yet, and have received less.
    test.clock.advance(100ms);
    for (const caller_limiter::connection_id last = id + 20; id < last; ++id) {
        test.begin(id);
        CHECK(test.receive(id, kilobyte).is_admitted);
        CHECK(test.receive(id, 15 * kilobyte).is_admitted);
    }
}

// Load: more connections than descriptors.
TEST_CASE("at the limit of connections idle ones are closed first, then unfinished requests, and running ones never") {
    virtual_clock clock;
    caller_limiter limiter({.max_connections = 3});
    for (const caller_limiter::connection_id id : {1, 2, 3}) {
        CHECK(limiter.add(id, clock.now()).to_close.empty());
        clock.advance(1ms);
    }
    CHECK(limiter.begin_run(1, 0, clock.now()).is_admitted);
    limiter.begin_request(2, clock.now());
    clock.advance(1s);
    CHECK(limiter.add(4, clock.now()).to_close == ids{3});
    CHECK(limiter.begin_run(4, 0, clock.now()).is_admitted);
    CHECK(limiter.add(5, clock.now()).to_close == ids{2});
    CHECK(limiter.begin_run(5, 0, clock.now()).is_admitted);
    const caller_limiter::decision decision = limiter.add(6, clock.now());
    CHECK_FALSE(decision.is_admitted);
    CHECK(limiter.get_connections() == 3);
}

// Load: callers of the readiness address that do not read the responses.
TEST_CASE("where a run has no effect, the oldest running request makes way for a new connection") {
    virtual_clock clock;
    caller_limiter limiter({.max_connections = 2, .may_close_running = true});
    for (const caller_limiter::connection_id id : {1, 2}) {
        CHECK(limiter.add(id, clock.now()).is_admitted);
        CHECK(limiter.begin_run(id, 0, clock.now()).is_admitted);
        clock.advance(1ms);
    }
    const caller_limiter::decision decision = limiter.add(3, clock.now());
    CHECK(decision.is_admitted);
    CHECK(decision.to_close == ids{1});
}

// Load: random requests of all sizes that come, grow, run and go.
TEST_CASE("what is held stays within the budget but for one request, and is counted exactly") {
    constexpr std::size_t budget = 8 * megabyte;
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        CAPTURE(seed);
        std::mt19937_64 random(seed);
        virtual_clock clock;
        caller_limiter limiter({.budget_bytes = budget, .max_connections = 200});
        std::map<caller_limiter::connection_id, std::size_t> held;
        const auto apply = [&](const caller_limiter::decision& decision) {
            for (const caller_limiter::connection_id id : decision.to_close) {
                CHECK(held.erase(id) == 1);
            }
            return decision.is_admitted;
        };
        for (caller_limiter::connection_id next = 1; next < 3000; ++next) {
            clock.advance(std::chrono::milliseconds(random() % 20));
            if (apply(limiter.add(next, clock.now()))) {
                held[next] = 0;
                limiter.begin_request(next, clock.now());
            }
            for (int step = 0; step < 3 && !held.empty(); ++step) {
                const auto chosen = std::next(held.begin(), static_cast<std::ptrdiff_t>(random() % held.size()));
                const caller_limiter::connection_id id = chosen->first;
                const std::size_t bytes = held[id] + random() % (random() % 4 == 0 ? megabyte : 8 * kilobyte);
                if (random() % 8 == 0) {
                    limiter.remove(id);
                    held.erase(id);
                } else if (apply(limiter.resize(id, bytes, bytes, clock.now()))) {
                    held[id] = bytes;
                }
            }
            std::size_t sum = 0;
            std::size_t largest = 0;
            for (const auto& [id, bytes] : held) {
                sum += bytes + caller_limiter::connection_bytes;
                largest = std::max(largest, bytes);
            }
            CHECK(limiter.get_held_bytes() == sum);
            CHECK(sum <= std::max(budget, budget + largest));
            CHECK(limiter.get_connections() == held.size());
        }
    }
}

// Load: callers whose link stands still for seconds.
TEST_CASE("a body has the time of its request, and at least the time of a header") {
    const steady_time began{1h};
    CHECK(policy::get_body_deadline(began, 3s, std::nullopt) == began + 3s);
    CHECK(policy::get_body_deadline(began, 3s, 1s) == began + 3s);
    CHECK(policy::get_body_deadline(began, 3s, 20s) == began + 20s);
}

// Load: callers that read a byte now and then.
TEST_CASE("a response has the time that its size needs on a slow link") {
    const steady_time began{1h};
    CHECK(policy::get_response_deadline(began, 3s, 0) == began + 3s);
    CHECK(policy::get_response_deadline(began, 3s, 1'250'000) == began + 13s);
}
