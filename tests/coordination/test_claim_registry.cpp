#include <doctest/doctest.h>

#include <array>
#include <random>

#include "coordination/claim_registry.hpp"
#include "support/fake_log.hpp"

using namespace dragonflywell;
using namespace dragonflywell::coordination;

namespace {

const organisation_name rovers("rovers");

struct claiming_host {
    claiming_host(testing::fake_log& log, const clock_source& time, const char* host, std::uint64_t incarnation = 1,
                  claim_options options = {})
        : stream(log, std::string(claim_stream), {.host = host, .incarnation = incarnation}),
          registry(stream, time, options) {}

    claim_result claim(std::string_view key, std::string_view body = "b") {
        const std::array requests{claim_request{.id = make_claim_id(rovers, key),
                                                .digest = get_request_digest("POST", "/subscriptions", body)}};
        return registry.process(requests, {}).front();
    }

    void settle(std::string_view key, claim_outcome end, recorded_response answer = {}) {
        const std::array settlements{
            claim_settlement{.id = make_claim_id(rovers, key), .outcome = end, .response = std::move(answer)}};
        static_cast<void>(registry.process({}, settlements));
    }

    folded_stream stream;
    claim_registry registry;
};

} // namespace

TEST_CASE("if two hosts receive the same request, one acquires the claim and the other sees each state of it") {
    testing::fake_log log;
    virtual_clock time;
    claiming_host first(log, time, "host-1");
    claiming_host second(log, time, "host-2");
    CHECK(first.claim("k").status == claim_status::acquired);
    CHECK(second.claim("k").status == claim_status::running);
    CHECK(second.claim("k", "other").status == claim_status::different_request);
    first.settle("k", claim_outcome::done, {.status = 201, .content_type = "text/plain", .body = "subscribed"});
    const claim_result again = second.claim("k");
    CHECK(again.status == claim_status::done);
    CHECK(again.response.body == "subscribed");
}

TEST_CASE("only the owner can release a claim, and only before its request has run") {
    testing::fake_log log;
    virtual_clock time;
    claiming_host first(log, time, "host-1");
    claiming_host second(log, time, "host-2");
    CHECK(first.claim("k").status == claim_status::acquired);
    second.settle("k", claim_outcome::released);
    CHECK(second.claim("k").status == claim_status::running);
    first.settle("k", claim_outcome::released);
    CHECK(second.claim("k").status == claim_status::acquired);
    second.settle("k", claim_outcome::done, {.status = 200});
    second.settle("k", claim_outcome::released);
    CHECK(first.claim("k").status == claim_status::done);
}

TEST_CASE("a claim whose owner has terminated becomes unknown and its request never runs again") {
    testing::fake_log log;
    virtual_clock time;
    claiming_host second(log, time, "host-2");
    {
        claiming_host first(log, time, "host-1");
        CHECK(first.claim("replaced").status == claim_status::acquired);
        CHECK(first.claim("silent").status == claim_status::acquired);
    }
    CHECK(second.claim("replaced").status == claim_status::running);
    SUBCASE("its host has a new incarnation") {
        claiming_host replacement(log, time, "host-1", 2);
        CHECK(replacement.claim("another").status == claim_status::acquired);
        CHECK(replacement.claim("replaced").status == claim_status::unknown);
        CHECK(second.claim("replaced").status == claim_status::unknown);
    }
    SUBCASE("the maximum run time is over") {
        time.advance(claim_options{}.max_run_time);
        CHECK(second.claim("silent").status == claim_status::unknown);
    }
}

TEST_CASE("an outage of the log refuses new claims and loses no outcome of earlier ones") {
    testing::fake_log log;
    virtual_clock time;
    claiming_host first(log, time, "host-1");
    claiming_host second(log, time, "host-2");
    CHECK(first.claim("old").status == claim_status::acquired);
    log.is_down = true;
    CHECK(first.claim("k").status == claim_status::log_unavailable);
    CHECK(first.claim("old").status == claim_status::running);
    first.settle("old", claim_outcome::done, {.status = 200});
    log.is_down = false;
    CHECK(first.claim("k").status == claim_status::acquired);
    CHECK(second.claim("old").status == claim_status::done);
}

TEST_CASE("a refused claim that takes effect late blocks its key only until its writer writes again") {
    testing::fake_log log;
    virtual_clock time;
    claiming_host first(log, time, "host-1");
    claiming_host second(log, time, "host-2");
    log.delays_next_append = true;
    CHECK(first.claim("k").status == claim_status::log_unavailable);
    SUBCASE("it takes effect before its writer writes again") {
        log.deliver_delayed_appends();
        CHECK(second.claim("k").status == claim_status::running);
        CHECK(first.claim("another").status == claim_status::acquired);
        CHECK(second.claim("k").status == claim_status::acquired);
        CHECK(first.claim("k").status == claim_status::running);
    }
    SUBCASE("it takes effect after its writer writes again") {
        CHECK(first.claim("another").status == claim_status::acquired);
        log.deliver_delayed_appends();
        CHECK(second.claim("k").status == claim_status::acquired);
    }
}

TEST_CASE("a claim is not lost if the response of the log is lost after the append took effect") {
    testing::fake_log log;
    virtual_clock time;
    claiming_host first(log, time, "host-1");
    claiming_host second(log, time, "host-2");
    log.drops_next_answer = true;
    CHECK(first.claim("k").status == claim_status::acquired);
    CHECK(second.claim("k").status == claim_status::running);
}

TEST_CASE("a key is remembered for the window, and the number of stored claims is bounded") {
    testing::fake_log log;
    virtual_clock time;
    const claim_options options{
        .window = std::chrono::seconds(100), .max_run_time = std::chrono::seconds(50), .max_entries = 3};
    claiming_host host(log, time, "host-1", 1, options);
    CHECK(host.claim("a").status == claim_status::acquired);
    host.settle("a", claim_outcome::done, {.status = 200});
    time.advance(std::chrono::seconds(99));
    CHECK(host.claim("a").status == claim_status::done);
    CHECK(host.claim("b").status == claim_status::acquired);
    CHECK(host.claim("c").status == claim_status::acquired);
    CHECK(host.claim("d").status == claim_status::full);
    time.advance(std::chrono::seconds(1));
    host.settle("b", claim_outcome::done, {.status = 200});
    CHECK(host.claim("a").status == claim_status::acquired);
    CHECK(host.registry.get_size() == 3);
}

TEST_CASE("a new host starts at the oldest record that retention has left") {
    testing::fake_log log;
    virtual_clock time;
    claiming_host first(log, time, "host-1");
    CHECK(first.claim("a").status == claim_status::acquired);
    CHECK(first.claim("b").status == claim_status::acquired);
    log.oldest_kept[std::string(claim_stream)] = 1;
    claiming_host fresh(log, time, "host-2");
    CHECK(fresh.claim("b").status == claim_status::running);
}

TEST_CASE(
    "the same key of two organisations gives different claims, even if names and keys concatenate to the same text") {
    CHECK(make_claim_id(rovers, "k") != make_claim_id(organisation_name("surveyors"), "k"));
    CHECK(make_claim_id(organisation_name("a"), "bc") != make_claim_id(organisation_name("ab"), "c"));
    CHECK(parse_claim_id(format_claim_id(make_claim_id(rovers, "k"))) == make_claim_id(rovers, "k"));
}

TEST_CASE("a response that is not text or is too long is recorded with its status only") {
    CHECK(make_recorded_response(200, "text/plain", "ok", 2).body == "ok");
    CHECK_FALSE(make_recorded_response(200, "text/plain", "long", 2).body);
    CHECK_FALSE(make_recorded_response(200, "image/png", "\xff\xfe", 10).body);
}

TEST_CASE("under random faults no request runs twice unless its claim was released in between") {
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        CAPTURE(seed);
        std::mt19937_64 random(seed);
        testing::fake_log log;
        virtual_clock time;
        std::array hosts{std::make_unique<claiming_host>(log, time, "host-1"),
                         std::make_unique<claiming_host>(log, time, "host-2")};
        std::array<std::uint64_t, 2> incarnations{1, 1};
        // How often the request of each key ran at the service.
        std::map<std::string, int> runs;
        for (int step = 0; step < 60; ++step) {
            const std::size_t index = random() % hosts.size();
            const std::string key = "k" + std::to_string(random() % 3);
            log.is_down = random() % 5 == 0;
            log.drops_next_answer = random() % 4 == 0;
            if (random() % 8 == 0) {
                hosts.at(index) = std::make_unique<claiming_host>(log, time, index == 0 ? "host-1" : "host-2",
                                                                  ++incarnations.at(index));
            }
            if (hosts.at(index)->claim(key).status != claim_status::acquired) {
                continue;
            }
            if (random() % 3 == 0) {
                hosts.at(index)->settle(key, claim_outcome::released);
                continue;
            }
            ++runs[key];
            if (random() % 2 == 0) {
                hosts.at(index)->settle(key, claim_outcome::done, {.status = 200});
            }
        }
        for (const auto& [key, count] : runs) {
            CHECK(count == 1);
        }
    }
}
