// Measures what prompts that are listed in many parts cost the quarantine of parts, when engines that run them crash.
#include <algorithm>
#include <chrono>
#include <fmt/format.h>
#include <functional>
#include <malloc.h>
#include <numeric>
#include <vector>

#include "policy/part_quarantine.hpp"

namespace {

using namespace dragonflywell;
using policy::prompt_part_id;

struct trial {
    std::size_t parts{};
    std::size_t records{};
};

/// Longest step of each kind, in milliseconds, and the bytes that are held at the end.
struct trial_result {
    double crash_ms{};
    double check_ms{};
    double answer_ms{};
    double clearance_ms{};
    std::size_t held_bytes{};
};

double measure_ms(const std::function<void()>& step) {
    const auto began_at = std::chrono::steady_clock::now();
    step();
    return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - began_at).count();
}

void note_longest(double& longest, double measured) {
    longest = std::max(longest, measured);
}

trial_result run(const trial& options) {
    // Half of the parts of a prompt are shared with the others. Eight prompts wait at an engine when it crashes.
    constexpr std::size_t records_per_crash = 8;
    trial_result result;
    prompt_part_id next_part = 1'000'000;
    const auto make_prompt = [&] {
        std::vector<prompt_part_id> prompt(options.parts);
        const auto middle = prompt.begin() + static_cast<std::ptrdiff_t>(options.parts / 2);
        std::iota(prompt.begin(), middle, prompt_part_id{1});
        std::iota(middle, prompt.end(), next_part);
        next_part += options.parts;
        return prompt;
    };
    virtual_clock clock;
    const std::size_t before = mallinfo2().uordblks;
    policy::part_quarantine quarantine;
    for (std::size_t number = 0; number < options.records; ++number) {
        const policy::part_crash crash{
            .crash_id = number / records_per_crash, .parts = make_prompt(), .moment = clock.wall_now()};
        note_longest(result.crash_ms, measure_ms([&] { quarantine.record_crash(crash); }));
        const std::vector<prompt_part_id> prompt = make_prompt();
        note_longest(result.check_ms,
                     measure_ms([&] { static_cast<void>(quarantine.is_refused(prompt, clock.wall_now())); }));
        clock.advance(std::chrono::milliseconds(1));
    }
    result.held_bytes = mallinfo2().uordblks - before;
    const std::vector<prompt_part_id> answered = make_prompt();
    const std::vector<prompt_part_id> half(answered.begin(),
                                           answered.begin() + 1 + static_cast<std::ptrdiff_t>(options.parts / 4));
    result.answer_ms = measure_ms([&] { quarantine.record_answer(half, clock.wall_now()); });
    note_longest(result.check_ms,
                 measure_ms([&] { static_cast<void>(quarantine.is_refused(answered, clock.wall_now())); }));
    const policy::part_clearance clearance{.part = options.parts / 2, .moment = clock.wall_now()};
    result.clearance_ms = measure_ms([&] { quarantine.record_clearance(clearance); });
    note_longest(result.check_ms,
                 measure_ms([&] { static_cast<void>(quarantine.is_refused(answered, clock.wall_now())); }));
    return result;
}

} // namespace

int main() {
    fmt::print("{:>6} {:>8} {:>10} {:>10} {:>10} {:>13} {:>10}\n", "parts", "records", "crash ms", "check ms",
               "answer ms", "clearance ms", "held kB");
    for (const trial& options : {trial{3, 1}, trial{3, 512}, trial{300, 1}, trial{300, 16}, trial{300, 512},
                                 trial{1000, 1}, trial{1000, 16}, trial{3000, 1}, trial{1000, 512}, trial{3000, 512}}) {
        const trial_result result = run(options);
        fmt::print("{:>6} {:>8} {:>10.3f} {:>10.3f} {:>10.3f} {:>13.3f} {:>10}\n", options.parts, options.records,
                   result.crash_ms, result.check_ms, result.answer_ms, result.clearance_ms, result.held_bytes / 1024);
        std::fflush(stdout);
    }
}
