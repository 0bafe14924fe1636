#include <doctest/doctest.h>

#include <array>
#include <random>

#include "coordination/claim_book.hpp"
#include "support/fake_log.hpp"

using namespace dragonflywell;
using namespace dragonflywell::coordination;

namespace {

const organisation_name rovers("rovers");

struct claiming_host {
    claiming_host(testing::fake_log& log, const clock_source& time, const char* host, std::uint64_t incarnation = 1,
                  claim_options options = {})
        : stream(log, std::string(claim_stream), {.host = host, .incarnation = incarnation}),
          book(stream, time, options) {}

    claim_answer claim(std::string_view key, std::string_view body = "b") {
        const std::array requests{claim_request{.id = make_claim_id(rovers, key),
                                                .digest = get_request_digest("POST", "/subscriptions", body)}};
        return book.process(requests, {}).front();
    }

    void settle(std::string_view key, claim_end end, recorded_answer answer = {}) {
        const std::array settlements{
            claim_settlement{.id = make_claim_id(rovers, key), .end = end, .answer = std::move(answer)}};
        static_cast<void>(book.process({}, settlements));
    }

    folded_stream stream;
    claim_book book;
};

} // namespace

TEST_CASE("of two arrivals at two hosts one wins, and the other sees each state of it") {
    testing::fake_log log;
    virtual_clock time;
    claiming_host first(log, time, "host-1");
    claiming_host second(log, time, "host-2");
    CHECK(first.claim("k").verdict == claim_verdict::won);
    CHECK(second.claim("k").verdict == claim_verdict::running);
    CHECK(second.claim("k", "other").verdict == claim_verdict::different_request);
    first.settle("k", claim_end::done, {.status = 201, .content_type = "text/plain", .body = "subscribed"});
    const claim_answer again = second.claim("k");
    CHECK(again.verdict == claim_verdict::done);
    CHECK(again.answer.body == "subscribed");
}

TEST_CASE("only its owner can free a claim, and only while it has not run") {
    testing::fake_log log;
    virtual_clock time;
    claiming_host first(log, time, "host-1");
    claiming_host second(log, time, "host-2");
    CHECK(first.claim("k").verdict == claim_verdict::won);
    second.settle("k", claim_end::released);
    CHECK(second.claim("k").verdict == claim_verdict::running);
    first.settle("k", claim_end::released);
    CHECK(second.claim("k").verdict == claim_verdict::won);
    second.settle("k", claim_end::done, {.status = 200});
    second.settle("k", claim_end::released);
    CHECK(first.claim("k").verdict == claim_verdict::done);
}

TEST_CASE("a claim whose owner is gone is unknown and never runs again") {
    testing::fake_log log;
    virtual_clock time;
    claiming_host second(log, time, "host-2");
    {
        claiming_host first(log, time, "host-1");
        CHECK(first.claim("replaced").verdict == claim_verdict::won);
        CHECK(first.claim("silent").verdict == claim_verdict::won);
    }
    CHECK(second.claim("replaced").verdict == claim_verdict::running);
    SUBCASE("since its host has a new incarnation") {
        claiming_host replacement(log, time, "host-1", 2);
        CHECK(replacement.claim("another").verdict == claim_verdict::won);
        CHECK(replacement.claim("replaced").verdict == claim_verdict::unknown);
        CHECK(second.claim("replaced").verdict == claim_verdict::unknown);
    }
    SUBCASE("since it had its whole time") {
        time.advance(claim_options{}.run_limit);
        CHECK(second.claim("silent").verdict == claim_verdict::unknown);
    }
}

TEST_CASE("an outage refuses new claims and keeps how the old ones ended") {
    testing::fake_log log;
    virtual_clock time;
    claiming_host first(log, time, "host-1");
    claiming_host second(log, time, "host-2");
    CHECK(first.claim("old").verdict == claim_verdict::won);
    log.is_down = true;
    CHECK(first.claim("k").verdict == claim_verdict::log_unavailable);
    CHECK(first.claim("old").verdict == claim_verdict::running);
    first.settle("old", claim_end::done, {.status = 200});
    log.is_down = false;
    CHECK(first.claim("k").verdict == claim_verdict::won);
    CHECK(second.claim("old").verdict == claim_verdict::done);
}

TEST_CASE("a refused claim that takes effect late holds the key only until its writer speaks again") {
    testing::fake_log log;
    virtual_clock time;
    claiming_host first(log, time, "host-1");
    claiming_host second(log, time, "host-2");
    log.hides_next_append = true;
    CHECK(first.claim("k").verdict == claim_verdict::log_unavailable);
    SUBCASE("before its writer has spoken") {
        log.deliver_hidden();
        CHECK(second.claim("k").verdict == claim_verdict::running);
        CHECK(first.claim("another").verdict == claim_verdict::won);
        CHECK(second.claim("k").verdict == claim_verdict::won);
        CHECK(first.claim("k").verdict == claim_verdict::running);
    }
    SUBCASE("after its writer has spoken") {
        CHECK(first.claim("another").verdict == claim_verdict::won);
        log.deliver_hidden();
        CHECK(second.claim("k").verdict == claim_verdict::won);
    }
}

TEST_CASE("an answer lost after the effect does not lose the claim") {
    testing::fake_log log;
    virtual_clock time;
    claiming_host first(log, time, "host-1");
    claiming_host second(log, time, "host-2");
    log.drops_next_answer = true;
    CHECK(first.claim("k").verdict == claim_verdict::won);
    CHECK(second.claim("k").verdict == claim_verdict::running);
}

TEST_CASE("a key is remembered for the window and memory does not grow beyond it") {
    testing::fake_log log;
    virtual_clock time;
    const claim_options options{
        .window = std::chrono::seconds(100), .run_limit = std::chrono::seconds(50), .most_entries = 3};
    claiming_host host(log, time, "host-1", 1, options);
    CHECK(host.claim("a").verdict == claim_verdict::won);
    host.settle("a", claim_end::done, {.status = 200});
    time.advance(std::chrono::seconds(99));
    CHECK(host.claim("a").verdict == claim_verdict::done);
    CHECK(host.claim("b").verdict == claim_verdict::won);
    CHECK(host.claim("c").verdict == claim_verdict::won);
    CHECK(host.claim("d").verdict == claim_verdict::full);
    time.advance(std::chrono::seconds(1));
    host.settle("b", claim_end::done, {.status = 200});
    CHECK(host.claim("a").verdict == claim_verdict::won);
    CHECK(host.book.get_size() == 3);
}

TEST_CASE("a fresh host reads on where the log has forgotten older claims") {
    testing::fake_log log;
    virtual_clock time;
    claiming_host first(log, time, "host-1");
    CHECK(first.claim("a").verdict == claim_verdict::won);
    CHECK(first.claim("b").verdict == claim_verdict::won);
    log.oldest_kept[std::string(claim_stream)] = 1;
    claiming_host fresh(log, time, "host-2");
    CHECK(fresh.claim("b").verdict == claim_verdict::running);
}

TEST_CASE("the same key of two organisations is two claims, however names and keys are cut") {
    CHECK(make_claim_id(rovers, "k") != make_claim_id(organisation_name("surveyors"), "k"));
    CHECK(make_claim_id(organisation_name("a"), "bc") != make_claim_id(organisation_name("ab"), "c"));
    CHECK(parse_claim_id(format_claim_id(make_claim_id(rovers, "k"))) == make_claim_id(rovers, "k"));
}

TEST_CASE("an answer that is no text, or too long, is recorded by its status alone") {
    CHECK(make_recorded_answer(200, "text/plain", "ok", 2).body == "ok");
    CHECK_FALSE(make_recorded_answer(200, "text/plain", "long", 2).body);
    CHECK_FALSE(make_recorded_answer(200, "image/png", "\xff\xfe", 10).body);
}

TEST_CASE("under random faults no key runs twice without a true release in between") {
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        CAPTURE(seed);
        std::mt19937_64 random(seed);
        testing::fake_log log;
        virtual_clock time;
        std::array hosts{std::make_unique<claiming_host>(log, time, "host-1"),
                         std::make_unique<claiming_host>(log, time, "host-2")};
        std::array<std::uint64_t, 2> incarnations{1, 1};
        // What the service saw: how often each key ran.
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
            if (hosts.at(index)->claim(key).verdict != claim_verdict::won) {
                continue;
            }
            if (random() % 3 == 0) {
                hosts.at(index)->settle(key, claim_end::released);
                continue;
            }
            ++runs[key];
            if (random() % 2 == 0) {
                hosts.at(index)->settle(key, claim_end::done, {.status = 200});
            }
        }
        for (const auto& [key, count] : runs) {
            CHECK(count == 1);
        }
    }
}
