#include <doctest/doctest.h>

#include <string>

#include "servers/exchange_history.hpp"

using namespace dragonflywell::servers;

TEST_CASE("exchange history: a request is not sent again on a connection that has carried its id") {
    exchange_history history;
    CHECK(history.may_carry("a"));
    history.record("a");
    history.record("b");
    CHECK_FALSE(history.may_carry("a"));
    CHECK(history.may_carry("c"));
}

TEST_CASE("exchange history: a request without an id is sent on a new connection only, since its response names none") {
    exchange_history history;
    CHECK(history.may_carry(""));
    history.record("a");
    CHECK_FALSE(history.may_carry(""));
}

TEST_CASE("exchange history: a response that names no request proves something on a new connection only") {
    const response_owner unnamed{.request_id = "", .may_omit_id = true};
    exchange_history history;
    history.record("a");
    CHECK(history.match("a", unnamed) == response_match::own);
    history.record("b");
    CHECK(history.match("b", unnamed) == response_match::ambiguous);
    CHECK(history.match("b", {.request_id = "b", .may_omit_id = true}) == response_match::own);
    CHECK(history.match("b", {.request_id = "a", .may_omit_id = true}) == response_match::foreign);
    CHECK(history.match("b", {.request_id = "", .may_omit_id = false}) == response_match::foreign);
    history.record("");
    CHECK(history.match("", unnamed) == response_match::ambiguous);
    CHECK(history.match("", {.request_id = "a", .may_omit_id = true}) == response_match::foreign);
}

TEST_CASE("exchange history: it does not grow without end") {
    exchange_history history;
    for (std::size_t number = 0; number < exchange_history::max_requests; ++number) {
        const std::string id = std::to_string(number);
        REQUIRE(history.may_carry(id));
        history.record(id);
    }
    CHECK(history.is_full());
    CHECK_FALSE(history.may_carry("new"));
}
