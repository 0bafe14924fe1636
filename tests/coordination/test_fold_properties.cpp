#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <cstdlib>

#include "coordination/configuration.hpp"
#include "coordination/order_fold.hpp"
#include "coordination/snapshot.hpp"
#include "support/fake_log.hpp"

using namespace dragonflywell;
using namespace dragonflywell::coordination;

namespace {

const std::string stream_name = "control/a";
const std::string scope = "control/a";
const std::string malformed_record = "not a record";

/// Every run uses the same cases, unless RC_PARAMS asks for others.
const int sets_default_parameters = ::setenv("RC_PARAMS", "seed=1 max_success=300", 0);

/// One step of a random history: the writer, the kind of record, and the choices within it, such as stale offsets.
struct history_step {
    std::uint8_t writer{};
    std::uint8_t kind{};
    std::uint8_t choice{};
};

/// Turns random steps into records. Most of them are valid; others are malformed or come from stale writers.
class history_builder {
public:
    void add(const history_step& step) {
        constexpr std::uint8_t kinds = 8;
        switch (step.kind % kinds) {
        case 0:
            append(step, make_acquisition(step));
            return;
        case 1:
            append(step, {.type = std::string(lease_renewal_type),
                          .body = {},
                          .condition = {},
                          .fence = get_fencing_token(step)});
            return;
        case 2:
            append(step, {.type = std::string(lease_release_type),
                          .body = {},
                          .condition = {},
                          .fence = get_fencing_token(step)});
            return;
        case 3:
        case 4:
            append(step, make_intent(step));
            return;
        case 5:
            append(step, make_outcome(step));
            return;
        case 6:
            append(step, make_delta(step));
            return;
        default:
            records.push_back(malformed_record);
        }
    }

    std::vector<std::string> records;

private:
    [[nodiscard]] bool is_stale(const history_step& step) const { return step.choice % 4 == 0; }

    [[nodiscard]] std::optional<log_offset> get_newest(const history_step& step, const std::string& subject) const {
        const std::optional<log_offset> newest = m_fold.get_newest(subject);
        return newest && is_stale(step) ? std::optional(*newest / 2) : newest;
    }

    [[nodiscard]] fencing_token get_fencing_token(const history_step& step) const {
        const lease_record* lease = m_fold.get_lease(scope);
        const log_offset number = lease == nullptr ? 0 : lease->token.number;
        return {.scope = scope, .number = is_stale(step) ? number / 2 : number};
    }

    [[nodiscard]] record_draft make_acquisition(const history_step& step) const {
        const std::string subject = get_lease_subject(scope);
        return {.type = std::string(lease_acquisition_type),
                .body = {},
                .condition = record_condition{.subject = subject, .supersedes = get_newest(step, subject)},
                .fence = {}};
    }

    [[nodiscard]] record_draft make_intent(const history_step& step) const {
        const order value{
            .subject = "engine/" + std::to_string(step.choice % 2),
            .kind = "set_role",
            .body = {},
            .idempotency_key = std::to_string(step.choice % 3),
            .receiver = step.choice % 2 == 0 ? receiver_kind::checks_fencing : receiver_kind::ignores_fencing,
            .duplicates = step.choice % 5 == 0 ? duplicate_handling::deduplicated : duplicate_handling::idempotent};
        return {.type = std::string(order_intent_type),
                .body = encode_order(value),
                .condition = {},
                .fence = get_fencing_token(step)};
    }

    [[nodiscard]] record_draft make_outcome(const history_step& step) const {
        const order_outcome value{.subject = "engine/" + std::to_string(step.choice % 2),
                                  .intent = records.empty() ? 0 : records.size() - 1 - step.choice % records.size(),
                                  .outcome = step.choice % 2 == 0 ? send_outcome::applied : send_outcome::not_sent};
        return {.type = std::string(order_outcome_type), .body = encode_outcome(value), .condition = {}, .fence = {}};
    }

    [[nodiscard]] record_draft make_delta(const history_step& step) const {
        const std::string subject(configuration_subject);
        return {.type = std::string(configuration_delta_type),
                .body = {{"set", {{"path/" + std::to_string(step.choice % 3), step.choice}}},
                         {"removed", boost::json::array{}}},
                .condition = record_condition{.subject = subject, .supersedes = get_newest(step, subject)},
                .fence = {}};
    }

    void append(const history_step& step, record_draft draft) {
        const std::uint64_t writer = step.writer % 3;
        const record value{.writer = {.host = "host-" + std::to_string(writer), .incarnation = 1},
                           .sequence = ++m_sequences[writer],
                           .condition = std::move(draft.condition),
                           .fence = std::move(draft.fence),
                           .type = std::move(draft.type),
                           .body = std::move(draft.body)};
        m_fold.apply(records.size(), value);
        records.push_back(encode_record(value));
    }

    record_fold m_fold;
    std::map<std::uint64_t, std::uint64_t> m_sequences;
};

struct reader {
    explicit reader(append_log& log) : stream(log, stream_name, {.host = "reader", .incarnation = 1}) {
        stream.add_observer(configuration);
        stream.add_observer(orders);
    }

    [[nodiscard]] std::string get_state() const { return stream.take_snapshot().state; }

    folded_stream stream;
    configuration_fold configuration;
    order_fold orders;
};

std::string get_state(std::vector<std::string> records) {
    testing::fake_log log;
    log.streams[stream_name] = std::move(records);
    reader all(log);
    all.stream.poll();
    return all.get_state();
}

std::vector<std::string> generate_history() {
    history_builder builder;
    const auto step = rc::gen::build<history_step>(
        rc::gen::set(&history_step::writer), rc::gen::set(&history_step::kind), rc::gen::set(&history_step::choice));
    const auto steps = *rc::gen::container<std::vector<history_step>>(step);
    for (const history_step& one : steps) {
        builder.add(one);
    }
    return builder.records;
}

} // namespace

TEST_CASE("a snapshot at any offset and the records after it give the state of the whole stream") {
    CHECK(rc::check([] {
        const std::vector<std::string> records = generate_history();
        const auto snapshot_offset = *rc::gen::inRange<std::size_t>(0, records.size() + 1);
        testing::fake_log log;
        log.streams[stream_name].assign(records.begin(),
                                        records.begin() + static_cast<std::ptrdiff_t>(snapshot_offset));
        reader old_reader(log);
        old_reader.stream.poll();
        write_snapshot(log, old_reader.stream.take_snapshot(), {.host = "writer", .incarnation = 1});
        log.streams[stream_name] = records;
        log.oldest_kept[stream_name] = *rc::gen::inRange<std::size_t>(0, snapshot_offset + 1);
        reader fresh(log);
        fresh.stream.poll();
        RC_ASSERT(fresh.get_state() == get_state(records));
    }));
}

TEST_CASE("readers that poll at any offsets reach the same state") {
    CHECK(rc::check([] {
        const std::vector<std::string> records = generate_history();
        testing::fake_log log;
        reader stepwise(log);
        for (const std::string& data : records) {
            log.streams[stream_name].push_back(data);
            if (*rc::gen::arbitrary<bool>()) {
                stepwise.stream.poll();
            }
        }
        stepwise.stream.poll();
        RC_ASSERT(stepwise.get_state() == get_state(records));
    }));
}

TEST_CASE("copies of earlier records at any offset do not change the state") {
    CHECK(rc::check([] {
        const std::vector<std::string> records = generate_history();
        std::vector<std::string> with_copies = records;
        for (std::size_t place = 1; place < records.size(); ++place) {
            if (records[place] == malformed_record) {
                with_copies[place] = records[*rc::gen::inRange<std::size_t>(0, place)];
            }
        }
        RC_ASSERT(get_state(with_copies) == get_state(records));
    }));
}

TEST_CASE("saving and restoring keeps the state") {
    CHECK(rc::check([] {
        testing::fake_log log;
        log.streams[stream_name] = generate_history();
        RC_PRE(!log.streams[stream_name].empty());
        reader first(log);
        first.stream.poll();
        reader second(log);
        RC_ASSERT(second.stream.restore(first.stream.take_snapshot()));
        RC_ASSERT(second.stream.get_fold() == first.stream.get_fold());
        RC_ASSERT(second.get_state() == first.get_state());
    }));
}
