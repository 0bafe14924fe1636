#include <doctest/doctest.h>

#include "coordination/configuration.hpp"
#include "coordination/fan_out_log.hpp"
#include "coordination/log_freshness.hpp"
#include "support/fake_log.hpp"

using namespace dragonflywell;
using namespace dragonflywell::coordination;
using dragonflywell::testing::fake_log;
using std::chrono::seconds;

namespace {

/// Another daemon, as far as a test lets it answer.
class fake_relay final : public record_relay {
public:
    [[nodiscard]] bool is_reader(std::string_view /*stream*/) const override { return reads_log; }
    [[nodiscard]] std::optional<log_offset> get_fresh_end(std::string_view /*stream*/) const override { return end; }
    [[nodiscard]] std::optional<log_batch> read(std::string_view stream, log_offset from, std::size_t most) override {
        ++asked;
        return source == nullptr ? std::nullopt : std::optional(source->read(stream, from + skipped, most));
    }
    void on_read(std::string_view /*stream*/, const log_batch& /*batch*/, bool /*is_from_log*/) override {}

    bool reads_log{false};
    std::optional<log_offset> end;
    append_log* source{nullptr};
    log_offset skipped{0};
    int asked{0};
};

struct fan_out_fixture {
    fan_out_fixture() {
        folded_stream operator_stream(log, std::string(configuration_stream), {.host = "operator", .incarnation = 1});
        publish_configuration(operator_stream, {.set = {{"zones/a", R"({"region":"r"})"}}, .removed = {}}, {});
        stream.add_observer(fold);
    }

    fake_log log;
    fake_relay relay;
    fan_out_log fan_out{log, relay};
    folded_stream stream{fan_out, std::string(configuration_stream), {.host = "h1", .incarnation = 1}};
    configuration_fold fold;
};

} // namespace

TEST_CASE("records of another daemon are folded without a read of the log") {
    fan_out_fixture fixture;
    fixture.relay.end = 1;
    fixture.relay.source = &fixture.log;
    fixture.stream.poll();
    CHECK(fixture.fold.get()->version == log_offset{0});
    fixture.stream.poll();
    CHECK(fixture.fan_out.get_direct_reads() == 0);
    CHECK(fixture.relay.asked == 1);
}

TEST_CASE("the log is read when the others are silent, lack the records or give them with a gap") {
    fan_out_fixture fixture;
    SUBCASE("silent") {
        fixture.relay.source = &fixture.log;
    }
    SUBCASE("lack") {
        fixture.relay.end = 1;
    }
    SUBCASE("gap") {
        fixture.relay.end = 1;
        fixture.relay.source = &fixture.log;
        fixture.relay.skipped = 1;
    }
    fixture.stream.poll();
    CHECK(fixture.fold.get()->version == log_offset{0});
    CHECK(fixture.fan_out.get_direct_reads() == 1);
}

TEST_CASE("a reader reads the log itself") {
    fan_out_fixture fixture;
    fixture.relay.reads_log = true;
    fixture.relay.end = 1;
    fixture.relay.source = &fixture.log;
    fixture.stream.poll();
    CHECK(fixture.fan_out.get_direct_reads() == 1);
    CHECK(fixture.relay.asked == 0);
}

TEST_CASE("news of the log's end survives the wire") {
    const log_freshness value{.end = 77, .read_at = wall_time(std::chrono::microseconds(1234567))};
    CHECK(decode_log_freshness(encode_log_freshness(value)) == value);
    for (const char* text : {"", "7", "7 ", "7 8x", "x 8", "-1 8"}) {
        CAPTURE(text);
        CHECK_THROWS_AS(static_cast<void>(decode_log_freshness(text)), malformed_message_error);
    }
}

TEST_CASE("an outage for all is told apart from a zone that is cut off") {
    const wall_time now{std::chrono::hours(1)};
    const duration bound = seconds(15);
    const wall_time old = now - seconds(60);
    CHECK(judge_log_reach({.own_zone_read_at = now, .any_zone_read_at = old}, now, bound) == log_reach::reachable);
    CHECK(judge_log_reach({.own_zone_read_at = old, .any_zone_read_at = old}, now, bound) == log_reach::down_for_all);
    CHECK(judge_log_reach({.own_zone_read_at = old, .any_zone_read_at = now}, now, bound) == log_reach::cut_off);
    CHECK(judge_log_reach({.own_zone_read_at = {}, .any_zone_read_at = {}, .is_linked = false}, now, bound) ==
          log_reach::cut_off);
}
