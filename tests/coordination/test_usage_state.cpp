#include <doctest/doctest.h>

#include "coordination/usage_state.hpp"
#include "core/error.hpp"

using namespace dragonflywell;
using namespace dragonflywell::coordination;

TEST_CASE("the usage of a window is summed over hosts and incarnations") {
    const organisation_name a("a");
    const organisation_name b("b");
    const std::vector<usage_record> records{{.windows = {{7, {{a, 2}}}, {8, {{a, 50}}}}, .closed = 8},
                                            {.windows = {{7, {{a, 1}, {b, 4}}}}, .closed = 7}};
    CHECK(sum_window(records, 7) == window_usage{.window = 7, .counts = {{a, 3}, {b, 4}}});
    CHECK(sum_window(records, 9).counts.empty());
}

TEST_CASE("a host's record and a copy of it merge to the greater counts") {
    const organisation_name a("a");
    const organisation_name b("b");
    const usage_record own{.windows = {{7, {{a, 2}}}}, .closed = 7};
    const usage_record copy{.windows = {{7, {{a, 1}, {b, 4}}}, {8, {{a, 3}}}}, .closed = 6};
    const usage_record merged{.windows = {{7, {{a, 2}, {b, 4}}}, {8, {{a, 3}}}}, .closed = 7};
    CHECK(merge_usage_records(own, copy) == merged);
    CHECK(merge_usage_records(copy, own) == merged);
}

TEST_CASE("the key of a copy identifies the same incarnation of the same host") {
    CHECK(get_usage_owner(make_usage_key("h", 7)) == make_usage_key("h", 7));
    CHECK(get_usage_owner(make_usage_copy_key("h", 7)) == make_usage_key("h", 7));
    CHECK(make_usage_copy_key("h", 7) != make_usage_key("h", 7));
}

TEST_CASE("usage records and report states are unchanged after encoding and decoding") {
    const usage_record record{.windows = {{7, {{organisation_name("a"), 2}}}, {8, {}}}, .closed = 7};
    CHECK(decode_usage_record(encode_usage_record(record)) == record);
    const report_state state{
        .last = 8, .pending = {{.window = 7, .counts = {{organisation_name("a"), 2}}}}, .era = 3, .settled = 7};
    CHECK(decode_report_state(encode_report_state(state)) == state);
    CHECK(decode_report_state(encode_report_state({})) == report_state{});
}

TEST_CASE("malformed usage records and report states are rejected") {
    CHECK_THROWS_AS(static_cast<void>(decode_usage_record("[]")), malformed_message_error);
    CHECK_THROWS_AS(static_cast<void>(decode_usage_record(R"({"closed":1,"windows":{"x":{}}})")),
                    malformed_message_error);
    CHECK_THROWS_AS(static_cast<void>(decode_report_state(R"({"pending":[3]})")), malformed_message_error);
}
