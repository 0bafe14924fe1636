#include <algorithm>
#include <doctest/doctest.h>
#include <numeric>

#include "policy/part_quarantine.hpp"
#include "support/allocation_meter.hpp"

using namespace dragonflywell;
using namespace std::chrono_literals;
using dragonflywell::testing::allocation_meter;
using policy::part_quarantine;
using policy::prompt_part_id;

namespace {

using parts = std::vector<prompt_part_id>;

constexpr prompt_part_id guilty = 1;

/// Memory that a host may spend on the evidence of all crashes.
constexpr std::size_t evidence_limit_bytes = 16UL * 1024 * 1024;

/// Prompts that are listed in many parts, of which the first ones are shared by all prompts.
struct long_prompts {
    virtual_clock clock;
    part_quarantine quarantine;
    std::uint64_t crash_id{0};
    prompt_part_id next_part{1'000'000};

    parts make_prompt(std::size_t shared, std::size_t own) {
        parts prompt(shared + own);
        std::iota(prompt.begin(), prompt.begin() + static_cast<std::ptrdiff_t>(shared), prompt_part_id{1000});
        std::iota(prompt.begin() + static_cast<std::ptrdiff_t>(shared), prompt.end(), next_part);
        next_part += own;
        return prompt;
    }
    void crash(const std::vector<parts>& waiting) {
        ++crash_id;
        for (const parts& request : waiting) {
            quarantine.record_crash({.crash_id = crash_id, .parts = request, .moment = clock.wall_now()});
        }
        clock.advance(10ms);
    }
    bool is_refused(const parts& request) { return quarantine.is_refused(request, clock.wall_now()); }
    void answer(const parts& request) { quarantine.record_answer(request, clock.wall_now()); }
};

} // namespace

TEST_CASE_FIXTURE(long_prompts, "prompts listed in short blocks do not cost the square of their blocks in memory") {
    const allocation_meter meter;
    for (int engine = 0; engine < 2; ++engine) {
        std::vector<parts> waiting;
        for (int request = 0; request < 8; ++request) {
            waiting.push_back(make_prompt(831, 233));
        }
        crash(waiting);
    }
    CHECK_FALSE(is_refused(make_prompt(831, 233)));
    CHECK(meter.get_peak_bytes() < evidence_limit_bytes);
}

TEST_CASE_FIXTURE(long_prompts, "the evidence of many crashes of long prompts stays within its limit") {
    const allocation_meter meter;
    for (const std::size_t length : {3, 300, 3000}) {
        for (int number = 0; number < 512; ++number) {
            const parts prompt = make_prompt(length / 2, length - length / 2);
            crash({prompt, make_prompt(length / 2, length)});
            is_refused(prompt);
            if (number % 8 == 0) {
                answer(make_prompt(length / 4, length));
            }
        }
    }
    CHECK(meter.get_peak_bytes() < evidence_limit_bytes);
}

TEST_CASE_FIXTURE(long_prompts, "a guilty part at the end of a long prompt is blamed after three crashes") {
    std::size_t length = 0;
    SUBCASE("of 100 parts") {
        length = 100;
    }
    SUBCASE("of 3000 parts") {
        length = 3000;
    }
    for (int number = 0; number < 3; ++number) {
        std::vector<parts> waiting;
        for (int request = 0; request < 4; ++request) {
            waiting.push_back(make_prompt(length / 2, length / 2));
        }
        waiting.back().push_back(guilty);
        CHECK_FALSE(is_refused({guilty}));
        crash(waiting);
        answer(make_prompt(length / 2, 5));
    }
    CHECK(is_refused({2, guilty}));
    CHECK_FALSE(is_refused(make_prompt(length / 2, 5)));
}

TEST_CASE_FIXTURE(long_prompts, "a part that a prompt lists twice does not stand for another part of its group") {
    for (int number = 0; number < 3; ++number) {
        crash({{guilty, 7}});
    }
    CHECK_FALSE(is_refused({guilty, guilty}));
    CHECK(is_refused({guilty, 7, guilty}));
}

TEST_CASE_FIXTURE(long_prompts, "a restarted host refuses a part of long prompts from short records of another host") {
    for (int number = 0; number < 3; ++number) {
        parts prompt = make_prompt(500, 500);
        prompt.push_back(guilty);
        crash({prompt, make_prompt(500, 500)});
    }
    answer(make_prompt(500, 5));
    part_quarantine restarted;
    for (const policy::part_crash& known : quarantine.get_blamed_crashes(clock.wall_now(), 64)) {
        CHECK(known.parts.size() <= part_quarantine::max_announced_parts);
        CHECK(restarted.record_crash(known));
    }
    CHECK(restarted.is_refused(parts{2, guilty}, clock.wall_now()));
}

TEST_CASE_FIXTURE(long_prompts, "the announced part of a long record has the parts that occurred in the most crashes") {
    for (int number = 0; number < 2; ++number) {
        parts prompt = make_prompt(0, 500);
        prompt.push_back(guilty);
        crash({prompt});
    }
    parts prompt = make_prompt(0, 500);
    prompt.push_back(guilty);
    const policy::part_crash record{.crash_id = 9, .parts = prompt, .moment = clock.wall_now()};
    const policy::part_crash announced = quarantine.shorten(record);
    CHECK(announced.parts.size() == part_quarantine::max_announced_parts);
    CHECK(std::find(announced.parts.begin(), announced.parts.end(), guilty) != announced.parts.end());
    // A record that comes back from another host does not count as a further request.
    quarantine.record_crash(record);
    CHECK_FALSE(quarantine.record_crash(announced));
}
