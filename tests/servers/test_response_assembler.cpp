#include <doctest/doctest.h>

#include <fmt/format.h>

#include "servers/response_assembler.hpp"

using namespace dragonflywell;
using namespace dragonflywell::servers;

namespace {

server_sent_event make_token(std::uint64_t position, const std::string& stream = "s") {
    return {.id = std::to_string(position),
            .data = fmt::format(R"({{"id":"cmpl-{}","choices":[{{"text":"t{}"}}]}})", stream, position)};
}

const server_sent_event end_event{.id = {}, .data = "[DONE]"};

response_assembler make_started(std::uint64_t max_tokens) {
    response_assembler answer(completion_shape::text, max_tokens);
    answer.start_attempt("s");
    return answer;
}

} // namespace

TEST_CASE("a repeated token or one beyond the requested number does not reach the caller") {
    response_assembler answer = make_started(2);
    CHECK(answer.add(make_token(0)) == event_action::forward);
    CHECK(answer.add(make_token(0)) == event_action::drop);
    CHECK(answer.add(make_token(1)) == event_action::forward);
    CHECK(answer.add(make_token(2)) == event_action::drop);
    CHECK(answer.add(end_event) == event_action::end);
    CHECK(answer.get_text() == "t0t1");
    CHECK(answer.get_tokens() == 2);
}

TEST_CASE("a malformed or foreign event is rejected and leaves the response unchanged") {
    response_assembler answer = make_started(4);
    CHECK(answer.add(make_token(0)) == event_action::forward);
    CHECK_THROWS_AS(static_cast<void>(answer.add(make_token(2))), malformed_message_error);
    CHECK_THROWS_AS(static_cast<void>(answer.add(make_token(1, "other"))), mismatched_response_error);
    CHECK_THROWS_AS(static_cast<void>(answer.add({.id = "x", .data = make_token(1).data})), malformed_message_error);
    for (const char* data : {"", "{", "[]", "{}", R"({"choices":[1]})", R"({"choices":[{"text":1}]})",
                             R"({"error":{"message":"out of memory"}})"}) {
        CAPTURE(data);
        CHECK_THROWS_AS(static_cast<void>(answer.add({.id = {}, .data = data})), malformed_message_error);
    }
    CHECK_THROWS_AS(static_cast<void>(answer.add(end_event)), malformed_message_error);
    CHECK(answer.get_text() == "t0");
    CHECK(answer.add(make_token(1)) == event_action::forward);
}
