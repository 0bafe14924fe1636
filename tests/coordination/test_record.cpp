#include <doctest/doctest.h>

#include "coordination/record.hpp"

using namespace dragonflywell;
using namespace dragonflywell::coordination;

TEST_CASE("a record is unchanged after encoding and decoding") {
    const record original{.writer = {.host = "h", .incarnation = 9},
                          .sequence = 4,
                          .condition = record_condition{.subject = "s", .supersedes = 12},
                          .fence = fencing_token{.scope = "control/a", .number = 3},
                          .type = "order",
                          .body = {{"x", 1}}};
    const record decoded = decode_record(encode_record(original));
    CHECK(decoded.writer == original.writer);
    CHECK(decoded.sequence == original.sequence);
    CHECK(decoded.condition == original.condition);
    CHECK(decoded.fence == original.fence);
    CHECK(decoded.type == original.type);
    CHECK(decoded.body == original.body);
}

TEST_CASE("text that is not a record is refused") {
    CHECK_THROWS_AS(static_cast<void>(decode_record("{")), malformed_message_error);
    CHECK_THROWS_AS(static_cast<void>(decode_record("{\"host\":3}")), malformed_message_error);
}
