#include <doctest/doctest.h>

#include "coordination/configuration.hpp"
#include "coordination/lease.hpp"
#include "coordination/leased_snapshot_writer.hpp"
#include "coordination/order_fold.hpp"
#include "coordination/record_fold.hpp"
#include "core/error.hpp"
#include "core/json.hpp"
#include "support/fake_log.hpp"

using namespace dragonflywell;
using namespace dragonflywell::coordination;

namespace {

const std::string stream_name = "control/a";

struct reader {
    reader(testing::fake_log& log, const char* host) : stream(log, stream_name, {.host = host, .incarnation = 1}) {
        stream.add_observer(configuration);
        stream.add_observer(orders);
    }

    folded_stream stream;
    configuration_fold configuration;
    order_fold orders;
};

/// A stream with a lease, an unresolved order and a configuration of several chunks.
struct filled_stream {
    testing::fake_log log;
    virtual_clock time;
    reader writer{log, "host-1"};
    lease_candidate lease{writer.stream, time, {.scope = "control/a"}};

    filled_stream() {
        lease.tick();
        const std::string value = "\"" + std::string(snapshot_chunk_bytes, 'x') + "ż\"";
        publish_configuration(writer.stream, {.set = {{"a", value}, {"b", value}}, .removed = {}}, {});
        const order intended{
            .subject = "e1", .kind = "set_role", .body = {}, .idempotency_key = "k", .receiver = {}, .duplicates = {}};
        const record_draft intent{.type = std::string(order_intent_type),
                                  .body = encode_order(intended),
                                  .condition = {},
                                  .fence = lease.get_authority()};
        writer.stream.submit(std::span(&intent, 1));
    }

    void expire_all_records() { log.oldest_kept[stream_name] = log.streams[stream_name].size(); }
};

} // namespace

TEST_CASE("a new reader continues from the newest snapshot and reaches the same state as a reader of all records") {
    filled_stream filled;
    snapshot_writer snapshots(filled.log, filled.writer.stream, filled.time, {});
    CHECK(snapshots.tick());
    CHECK(filled.log.streams[get_snapshot_stream(stream_name)].size() == 3);
    filled.expire_all_records();
    filled.log.streams[stream_name].push_back(filled.log.streams[stream_name].front());
    publish_configuration(filled.writer.stream, {.set = {{"c", "1"}}, .removed = {}},
                          filled.writer.configuration.get()->version);
    reader fresh(filled.log, "host-2");
    fresh.stream.poll();
    CHECK(fresh.stream.get_fold() == filled.writer.stream.get_fold());
    CHECK(*fresh.configuration.get() == *filled.writer.configuration.get());
    CHECK(fresh.orders.save_state() == filled.writer.orders.save_state());
    CHECK(fresh.orders.get_all().size() == 1);
    const record_draft by_old_number{
        .type = "x", .body = {}, .condition = {}, .fence = fencing_token{.scope = "control/a", .number = 77}};
    CHECK(fresh.stream.submit(std::span(&by_old_number, 1)).front().status == record_status::fenced);
}

TEST_CASE("a gap that no snapshot covers is an error and leaves the state unchanged") {
    filled_stream filled;
    reader fresh(filled.log, "host-2");
    SUBCASE("no snapshot") {}
    SUBCASE("a snapshot that is too old") {
        snapshot_writer snapshots(filled.log, filled.writer.stream, filled.time, {});
        snapshots.tick();
        publish_configuration(filled.writer.stream, {.set = {{"c", "1"}}, .removed = {}},
                              filled.writer.configuration.get()->version);
    }
    SUBCASE("a snapshot with a chunk missing") {
        snapshot_writer snapshots(filled.log, filled.writer.stream, filled.time, {});
        snapshots.tick();
        filled.log.streams[get_snapshot_stream(stream_name)].pop_back();
    }
    SUBCASE("a snapshot with damaged content") {
        fold_snapshot damaged = filled.writer.stream.take_snapshot();
        write_snapshot(filled.log, damaged, {.host = "h", .incarnation = 1});
        std::string& chunk = filled.log.streams[get_snapshot_stream(stream_name)].front();
        chunk.replace(chunk.find("xxx"), 3, "yyy");
    }
    filled.expire_all_records();
    CHECK_THROWS_AS(fresh.stream.poll(), log_gap_error);
    CHECK(fresh.stream.get_next_offset() == 0);
    CHECK_FALSE(fresh.configuration.get()->version.has_value());
}

TEST_CASE("an older complete snapshot is used while a newer one is incomplete") {
    filled_stream filled;
    snapshot_writer snapshots(filled.log, filled.writer.stream, filled.time, {});
    snapshots.tick();
    const log_offset covered = filled.writer.stream.get_next_offset();
    filled.expire_all_records();
    publish_configuration(filled.writer.stream, {.set = {{"c", "1"}}, .removed = {}},
                          filled.writer.configuration.get()->version);
    const std::vector<std::string> chunks =
        encode_snapshot(filled.writer.stream.take_snapshot(), {.host = "host-1", .incarnation = 1});
    filled.log.append(get_snapshot_stream(stream_name), std::span(chunks).first(1));
    CHECK(read_newest_snapshot(filled.log, stream_name, 0)->end_offset == covered);
    reader fresh(filled.log, "host-2");
    fresh.stream.poll();
    CHECK(fresh.configuration.get()->entries.contains("c"));
}

TEST_CASE("snapshots are written several times within the retention, and a failed one is written again") {
    filled_stream filled;
    snapshot_writer snapshots(filled.log, filled.writer.stream, filled.time,
                              {.retention = std::chrono::hours(8), .snapshots_per_retention = 4});
    filled.log.is_down = true;
    CHECK_THROWS_AS(snapshots.tick(), log_unavailable_error);
    filled.log.is_down = false;
    CHECK(snapshots.tick());
    filled.time.advance(std::chrono::minutes(119));
    CHECK_FALSE(snapshots.tick());
    filled.time.advance(std::chrono::minutes(1));
    CHECK(snapshots.tick());
    CHECK_THROWS_AS(snapshot_writer(filled.log, filled.writer.stream, filled.time, {.snapshots_per_retention = 1}),
                    invalid_input_error);
}

TEST_CASE("a process starts from a peer's copy while the log is unavailable and never goes back to an older state") {
    struct peer final : snapshot_source {
        explicit peer(fold_snapshot value) : copy(std::move(value)) {}
        std::optional<fold_snapshot> get_snapshot(std::string_view stream) override {
            return stream == copy.stream ? std::optional(copy) : std::nullopt;
        }
        fold_snapshot copy;
    };
    filled_stream filled;
    peer old_peer(filled.writer.stream.take_snapshot());
    publish_configuration(filled.writer.stream, {.set = {{"c", "1"}}, .removed = {}},
                          filled.writer.configuration.get()->version);
    peer new_peer(filled.writer.stream.take_snapshot());
    filled.log.is_down = true;
    reader fresh(filled.log, "host-2");
    CHECK(fresh.stream.start_from(new_peer));
    CHECK_FALSE(fresh.stream.start_from(old_peer));
    CHECK(*fresh.configuration.get() == *filled.writer.configuration.get());
    CHECK_THROWS_AS(fresh.stream.poll(), log_unavailable_error);
}

TEST_CASE("a malformed copy leaves the state unchanged") {
    filled_stream filled;
    fold_snapshot copy = filled.writer.stream.take_snapshot();
    const std::size_t place = copy.state.find("\"orders\":[");
    copy.state.insert(place + std::string("\"orders\":[").size(), "7,");
    reader fresh(filled.log, "host-2");
    CHECK_THROWS_AS(fresh.stream.restore(copy), malformed_message_error);
    CHECK_FALSE(fresh.configuration.get()->version.has_value());
    CHECK(fresh.stream.get_next_offset() == 0);
}

TEST_CASE("a copy with a lease that lacks a number leaves the state unchanged and does not end the process") {
    const std::string long_name(100, 'n');
    const std::string good = R"({"host":")" + long_name + R"(","incarnation":1,"scope":")" + long_name +
                             R"(","number":5,"newest":6,"sequence":7,"released":false})";
    for (const std::string field : {"host", "incarnation", "number", "newest", "sequence"}) {
        CAPTURE(field);
        std::string lacking = good;
        lacking.replace(lacking.find("\"" + field + "\""), field.size() + 2, "\"other\"");
        const boost::json::value state = json::parse(R"({"writers":[],"newest":{},"leases":[)" + lacking + "]}");
        CHECK_THROWS_AS(static_cast<void>(record_fold::restore(state.get_object())), malformed_message_error);
    }
}

TEST_CASE("the fold drops the writers that have not written for longest, so that its state is bounded") {
    record_fold fold;
    log_offset offset = 0;
    for (std::uint64_t incarnation = 0; incarnation < 2 * max_tracked_writers; ++incarnation) {
        const record value{.writer = {.host = "h", .incarnation = incarnation},
                           .sequence = 1,
                           .condition = {},
                           .fence = {},
                           .type = "x",
                           .body = {}};
        fold.apply(offset++, value);
    }
    CHECK(fold.get_writer_count() == max_tracked_writers);
    CHECK(record_fold::restore(fold.save()) == fold);
}

TEST_CASE("one of several processes writes the snapshots, and another takes over within half the retention") {
    constexpr duration retention = std::chrono::hours(64);
    testing::fake_log log;
    virtual_clock time;
    reader first(log, "host-1");
    reader second(log, "host-2");
    leased_snapshot_writer first_writer(log, first.stream, time, retention);
    leased_snapshot_writer second_writer(log, second.stream, time, retention);
    CHECK(first_writer.tick());
    CHECK_FALSE(second_writer.tick());
    duration waited{};
    while (!second_writer.tick()) {
        time.advance(std::chrono::minutes(10));
        waited += std::chrono::minutes(10);
        REQUIRE(waited < retention / 2);
    }
    second_writer.release();
    time.advance(retention / 4);
    CHECK(first_writer.tick());
}
