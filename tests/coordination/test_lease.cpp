#include <doctest/doctest.h>

#include "coordination/lease.hpp"
#include "support/fake_log.hpp"

using namespace dragonflywell;
using namespace dragonflywell::coordination;

namespace {

struct candidate {
    candidate(testing::fake_log& log, const clock_source& time, const char* host)
        : stream(log, "control/a", {.host = host, .incarnation = 1}), holder(stream, time, {.scope = "control/a"}) {}

    folded_stream stream;
    lease_holder holder;
};

} // namespace

TEST_CASE("the first candidate wins the lease and the second does not") {
    testing::fake_log log;
    virtual_clock time;
    candidate first(log, time, "host-1");
    candidate second(log, time, "host-2");
    first.holder.tick();
    second.holder.tick();
    CHECK(first.holder.get_authority().has_value());
    CHECK_FALSE(second.holder.get_authority().has_value());
}

TEST_CASE("a paused holder loses its authority before a challenger can win") {
    testing::fake_log log;
    virtual_clock time;
    candidate first(log, time, "host-1");
    candidate second(log, time, "host-2");
    first.holder.tick();
    second.holder.tick();
    const fencing_token old_token = first.holder.get_authority().value();
    time.advance(std::chrono::seconds(10));
    second.holder.tick();
    CHECK_FALSE(first.holder.get_authority().has_value());
    CHECK_FALSE(second.holder.get_authority().has_value());
    time.advance(std::chrono::seconds(1));
    second.holder.tick();
    REQUIRE(second.holder.get_authority().has_value());
    CHECK(second.holder.get_authority()->number > old_token.number);
}

TEST_CASE("an order of a superseded holder is void") {
    testing::fake_log log;
    virtual_clock time;
    candidate first(log, time, "host-1");
    candidate second(log, time, "host-2");
    first.holder.tick();
    const fencing_token old_token = first.holder.get_authority().value();
    second.holder.tick();
    time.advance(std::chrono::seconds(11));
    second.holder.tick();
    REQUIRE(second.holder.get_authority().has_value());
    const record_draft order{.type = "order", .body = {}, .condition = {}, .fence = old_token};
    CHECK(first.stream.submit(std::span(&order, 1)).front().verdict == record_verdict::fenced);
}

TEST_CASE("a renewal keeps the fencing number and a release hands over at once") {
    testing::fake_log log;
    virtual_clock time;
    candidate first(log, time, "host-1");
    candidate second(log, time, "host-2");
    first.holder.tick();
    const fencing_token token = first.holder.get_authority().value();
    time.advance(std::chrono::seconds(5));
    first.holder.tick();
    time.advance(std::chrono::seconds(5));
    CHECK(first.holder.get_authority() == token);
    first.holder.release();
    second.holder.tick();
    CHECK_FALSE(first.holder.get_authority().has_value());
    CHECK(second.holder.get_authority().has_value());
}
