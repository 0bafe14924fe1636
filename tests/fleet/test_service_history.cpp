#include <doctest/doctest.h>

#include <boost/json.hpp>

#include "fleet/service_history.hpp"

using namespace dragonflywell;
using namespace dragonflywell::fleet;

namespace {

coordination::record make_record(std::uint64_t second, const service_counts& counts) {
    const coordination::record_draft draft = make_history_draft(second, counts);
    coordination::record value;
    value.type = draft.type;
    value.body = draft.body;
    return value;
}

service_counts make_counts(const char* name, std::uint64_t requested, std::uint64_t completed) {
    service_counts counts;
    counts.organisations[organisation_name(name)] = {.requested = requested, .completed = completed};
    counts.refusals["queue_full"] = requested - completed;
    counts.delivered_tokens = completed;
    counts.spend_milli = 5;
    return counts;
}

} // namespace

TEST_CASE("the reports of all hosts are summed by span, and a snapshot keeps the state") {
    service_history history;
    history.on_record(0, make_record(3600, make_counts("a", 100, 90)));
    history.on_record(1, make_record(3700, make_counts("b", 50, 10)));
    history.on_record(2, make_record(4000, make_counts("a", 10, 10)));
    CHECK(history.get_fine().size() == 2);
    REQUIRE(history.get_hours().size() == 1);
    const service_counts& hour = history.get_hours().at(3600);
    CHECK(hour.organisations.at(organisation_name("a")).completed == 100);
    CHECK(hour.refusals.at("queue_full") == 50);
    CHECK(get_goodput(hour) == doctest::Approx(110.0 / 160));
    CHECK(get_worst_goodput(hour, 20) == doctest::Approx(0.2));
    CHECK(get_worst_goodput(hour, 60) == doctest::Approx(100.0 / 110));
    service_history copy;
    copy.restore_state(boost::json::parse(boost::json::serialize(history.save_state())));
    CHECK(copy.get_hours() == history.get_hours());
    CHECK(copy.get_fine() == history.get_fine());
}

TEST_CASE(
    "the number of spans and organisations is bounded, and the organisations with the worst service keep their names") {
    service_history history;
    for (int index = 0; index < 200; ++index) {
        history.on_record(static_cast<std::uint64_t>(index),
                          make_record(3600, make_counts(std::to_string(index).c_str(), 100, index == 150 ? 0 : 99)));
    }
    const auto& organisations = history.get_hours().at(3600).organisations;
    CHECK(organisations.size() <= 64);
    CHECK(organisations.contains(organisation_name("150")));
    std::uint64_t requested = 0;
    for (const auto& [name, service] : organisations) {
        requested += service.requested;
    }
    CHECK(requested == 20000);
    history.on_record(200, make_record(3600 + 91 * 86400, make_counts("a", 1, 1)));
    CHECK(history.get_hours().size() == 1);
}

TEST_CASE("a malformed report does not change the state") {
    service_history history;
    coordination::record value = make_record(3600, make_counts("a", 1, 1));
    value.body["organisations"] = {{"a", 7}};
    CHECK_THROWS_AS(history.on_record(0, value), malformed_message_error);
    CHECK(history.get_hours().empty());
}
