#include <doctest/doctest.h>

#include "coordination/configuration.hpp"
#include "support/fake_log.hpp"

using namespace dragonflywell;
using namespace dragonflywell::coordination;

namespace {

struct operator_session {
    operator_session(testing::fake_log& log, const char* host)
        : stream(log, std::string(configuration_stream), {.host = host, .incarnation = 1}) {
        stream.add_observer(fold);
    }

    folded_stream stream;
    configuration_fold fold;
};

} // namespace

TEST_CASE("one of two concurrent operators gets a conflict and its delta has no effect") {
    testing::fake_log log;
    operator_session first(log, "operator-1");
    operator_session second(log, "operator-2");
    const log_offset published = publish_configuration(first.stream, {.set = {{"a/x", "1"}}, .removed = {}}, {});
    CHECK_THROWS_AS(publish_configuration(second.stream, {.set = {{"a/y", "2"}}, .removed = {}}, {}),
                    configuration_conflict_error);
    second.stream.poll();
    CHECK(second.fold.get()->version == published);
    CHECK(second.fold.get()->entries == std::map<std::string, std::string>{{"a/x", "1"}});
}

TEST_CASE("a publication is recognised as successful if the response was lost after it took effect") {
    testing::fake_log log;
    operator_session session(log, "operator-1");
    log.drops_next_answer = true;
    const log_offset published = publish_configuration(session.stream, {.set = {{"a/x", "1"}}, .removed = {}}, {});
    CHECK(session.fold.get()->version == published);
}

TEST_CASE("a delta contains the changed, added and removed entries") {
    const std::map<std::string, std::string> from{{"a", "1"}, {"b", "2"}};
    const std::map<std::string, std::string> to{{"b", "3"}, {"c", "4"}};
    const configuration_delta delta = get_difference(from, to);
    CHECK(delta.set == std::map<std::string, std::string>{{"b", "3"}, {"c", "4"}});
    CHECK(delta.removed == std::vector<std::string>{"a"});
}
