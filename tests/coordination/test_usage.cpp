#include <doctest/doctest.h>

#include <array>

#include "coordination/usage.hpp"
#include "support/fake_log.hpp"

using namespace dragonflywell;
using namespace dragonflywell::coordination;

TEST_CASE("a usage record that was appended twice is counted once") {
    testing::fake_log log;
    const writer_id self{.host = "host-1", .incarnation = 1};
    folded_stream stream(log, std::string(usage_stream), self);
    usage_fold fold;
    stream.add_observer(fold);
    usage_meter meter;
    const usage_key key{.organisation = organisation_name("rovers"), .window = 7};
    meter.add(key, {.requests = 1, .prompt_tokens = 10, .completion_tokens = 3});
    const std::array drafts{make_usage_record(self, meter.get_unflushed())};
    log.drops_next_answer = true;
    stream.submit(drafts);
    stream.submit(drafts);
    meter.mark_flushed(meter.get_unflushed());
    CHECK(meter.get_unflushed().empty());
    CHECK(fold.get_totals() == usage_table{{key, {.requests = 1, .prompt_tokens = 10, .completion_tokens = 3}}});
}
