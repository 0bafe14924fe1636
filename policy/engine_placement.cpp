#include "policy/engine_placement.hpp"

#include <algorithm>
#include <limits>

#include "core/hash.hpp"

namespace dragonflywell::policy {

namespace {

/// How much fuller an engine of the same zone may be, as a share of its slots, before one of another zone is better.
constexpr double near_zone_advantage = 0.08;
/// An engine that may be reclaimed is chosen for long runs only when others are this much fuller.
constexpr double cheap_disadvantage = 0.25;
/// Urgencies of the requests that can be in time, and of those that can't, for the most urgent rank.
constexpr std::uint32_t in_time_urgency = 1;
constexpr std::uint32_t late_urgency = 6;
constexpr std::uint32_t most_ranks = 3;
/// Transfers between zones take this many times as long.
constexpr int other_zone_move_factor = 2;

/// A beginning shorter than this is read again as quickly as it is fetched.
constexpr std::uint64_t least_fetched_tokens = 1024;
/// Engines whose times differ by less than this are about as good: decisions of other hosts are heard as much later.
constexpr duration equal_time = std::chrono::milliseconds(20);
/// The same for how full engines are that generate: about one request more or less.
constexpr double equal_fullness = 0.015;

/// Time in which a fetch begins, beside that for the tokens.
constexpr duration fetch_start = std::chrono::milliseconds(5);

/// The engine that reads a prompt first, and when.
struct reader_choice {
    backend_server_name engine;
    std::optional<backend_server_name> fetch_from;
    prefill_work reading;
    duration reading_time{};
    duration done_after{};
};

/// An engine that has the beginning of a prompt.
struct cached_beginning {
    backend_server_name engine;
    zone_name zone;
    std::uint64_t tokens{0};
};

/// Returns the engines with the longest beginning, one for each zone.
std::vector<cached_beginning> find_beginnings(const engine_load_tracker& board, const generation_requirements& request,
                                              const engine_status_lookup& judge) {
    std::vector<cached_beginning> beginnings;
    for (const auto& [name, engine] : board.get_engines()) {
        const std::uint64_t tokens = engine.cache.get_cached_tokens(request.parts);
        if (tokens < least_fetched_tokens || judge(name).usability != engine_usability::healthy) {
            continue;
        }
        const zone_name& zone = engine.facts.zone;
        const auto same_zone = std::find_if(beginnings.begin(), beginnings.end(),
                                            [&zone](const cached_beginning& item) { return item.zone == zone; });
        const cached_beginning beginning{.engine = name, .zone = zone, .tokens = tokens};
        if (same_zone == beginnings.end()) {
            beginnings.push_back(beginning);
        } else if (tokens > same_zone->tokens) {
            *same_zone = beginning;
        }
    }
    return beginnings;
}

duration get_move_time(const engine_costs& costs, std::uint64_t tokens, bool is_same_zone) {
    return costs.transfer_per_token * static_cast<std::int64_t>(tokens) * (is_same_zone ? 1 : other_zone_move_factor);
}

prefill_work get_reading(std::uint64_t prompt_tokens, std::uint64_t cached_tokens) {
    // The last token is always read, or there would be nothing to generate from.
    const std::uint64_t cached = std::min(cached_tokens, prompt_tokens - std::min<std::uint64_t>(prompt_tokens, 1));
    return {.tokens = prompt_tokens - cached, .cached_tokens = cached};
}

/// Returns how the engine would read the prompt, from its own cache or with the help of another's.
reader_choice plan_reading(const backend_server_name& name, const engine_load_tracker::engine_entry& engine,
                           const engine_costs& costs, const generation_requirements& request,
                           std::span<const cached_beginning> beginnings) {
    const std::uint64_t own = engine.cache.get_cached_tokens(request.parts);
    reader_choice best{.engine = name, .reading = get_reading(request.prompt_tokens, own)};
    best.reading_time = costs.prefill_model->predict(best.reading);
    for (const cached_beginning& beginning : beginnings) {
        if (beginning.engine == name || beginning.tokens < own + least_fetched_tokens) {
            continue;
        }
        const prefill_work reading = get_reading(request.prompt_tokens, beginning.tokens);
        const duration fetch =
            fetch_start + get_move_time(costs, beginning.tokens - own, beginning.zone == engine.facts.zone);
        const duration total = costs.prefill_model->predict(reading) + fetch;
        if (total < best.reading_time) {
            best = {.engine = name, .fetch_from = beginning.engine, .reading = reading, .reading_time = total};
        }
    }
    return best;
}

std::optional<reader_choice> choose_reader_among(const engine_load_tracker& board, const engine_costs& costs,
                                                 const generation_requirements& request, std::uint32_t urgency,
                                                 const engine_status_lookup& judge, engine_usability least,
                                                 steady_time now) {
    const std::vector<cached_beginning> beginnings = find_beginnings(board, request, judge);
    std::optional<reader_choice> best;
    duration best_rank{};
    for (const auto& [name, engine] : board.get_engines()) {
        if (engine.facts.stage != fleet::engine_stage::prefill) {
            continue;
        }
        const engine_status suitability = judge(name);
        if (suitability.usability < least) {
            continue;
        }
        reader_choice choice = plan_reading(name, engine, costs, request, beginnings);
        choice.done_after =
            board.get_backlog(name, now, urgency) + suitability.unobserved_backlog + choice.reading_time;
        const duration by_chance =
            std::chrono::duration_cast<duration>(equal_time * hash_to_unit_interval(name.value(), request.seed));
        if (!best || choice.done_after + by_chance < best_rank) {
            best_rank = choice.done_after + by_chance;
            best = std::move(choice);
        }
    }
    return best;
}

std::optional<reader_choice> choose_reader(const engine_load_tracker& board, const engine_costs& costs,
                                           const generation_requirements& request, std::uint32_t urgency,
                                           const engine_status_lookup& judge, steady_time now) {
    std::optional<reader_choice> reader =
        choose_reader_among(board, costs, request, urgency, judge, engine_usability::healthy, now);
    if (!reader) {
        reader = choose_reader_among(board, costs, request, urgency, judge, engine_usability::degraded, now);
    }
    return reader;
}

double get_fullness(const engine_load_tracker& board, const backend_server_name& name, const engine_attributes& facts,
                    std::uint64_t needed_tokens) {
    const double slots = static_cast<double>(board.get_running(name) + 1) / std::max<std::uint32_t>(1, facts.slots);
    if (facts.memory_tokens == 0) {
        return slots;
    }
    const double memory =
        static_cast<double>(board.get_running_tokens(name) + needed_tokens) / static_cast<double>(facts.memory_tokens);
    return std::max(slots, memory);
}

} // namespace

namespace {

std::optional<backend_server_name> choose_generator_among(const engine_load_tracker& board,
                                                          const generation_requirements& request, const zone_name& near,
                                                          const engine_status_lookup& judge, engine_usability least) {
    std::optional<backend_server_name> best;
    double best_score = std::numeric_limits<double>::max();
    for (const auto& [name, engine] : board.get_engines()) {
        if (engine.facts.stage != fleet::engine_stage::decode) {
            continue;
        }
        const engine_status suitability = judge(name);
        if (suitability.usability < least) {
            continue;
        }
        double score = suitability.unobserved_utilisation +
                       equal_fullness * hash_to_unit_interval(name.value(), request.seed) +
                       get_fullness(board, name, engine.facts, request.prompt_tokens + request.output_tokens);
        score -= engine.facts.zone == near ? near_zone_advantage : 0;
        score += engine.facts.is_cheap ? cheap_disadvantage : 0;
        if (score < best_score) {
            best_score = score;
            best = name;
        }
    }
    return best;
}

} // namespace

std::optional<backend_server_name> choose_decode_engine(const engine_load_tracker& board,
                                                        const generation_requirements& request, const zone_name& near,
                                                        const engine_status_lookup& judge) {
    std::optional<backend_server_name> generator =
        choose_generator_among(board, request, near, judge, engine_usability::healthy);
    if (!generator) {
        generator = choose_generator_among(board, request, near, judge, engine_usability::degraded);
    }
    return generator;
}

namespace {

std::uint32_t get_urgency(const generation_requirements& request, bool is_in_time) {
    return (is_in_time ? in_time_urgency : late_urgency) + std::min(request.priority, most_ranks);
}

/// Chooses engines for a request that is sent with that urgency.
std::optional<engine_choice> choose_at(const engine_load_tracker& board, const engine_costs& costs,
                                       const generation_requirements& request, std::uint32_t urgency,
                                       const zone_name& own_zone, const engine_status_lookup& judge, steady_time now) {
    const std::optional<reader_choice> reader = choose_reader(board, costs, request, urgency, judge, now);
    const zone_name near = reader ? board.find(reader->engine)->facts.zone : own_zone;
    const std::optional<backend_server_name> generator = choose_decode_engine(board, request, near, judge);
    if (!generator) {
        return std::nullopt;
    }
    engine_choice choice{.prefill_engine = {}, .decode_engine = *generator, .urgency = urgency};
    const engine_load_tracker::engine_entry& generating = *board.find(*generator);
    if (!reader) {
        choice.prefill = get_reading(request.prompt_tokens, generating.cache.get_cached_tokens(request.parts));
        choice.prefill_duration = std::chrono::duration_cast<duration>(costs.prefill_model->predict(choice.prefill) *
                                                                       costs.decode_engine_prefill_factor);
        choice.time_to_first_event = choice.prefill_duration + costs.first_event;
        return choice;
    }
    const duration move = get_move_time(costs, request.prompt_tokens, generating.facts.zone == near);
    choice.prefill_engine = reader->engine;
    choice.prefix_source = reader->fetch_from;
    choice.prefill = reader->reading;
    choice.prefill_duration = reader->reading_time;
    choice.time_to_first_event = reader->done_after + move + costs.first_event;
    return choice;
}

} // namespace

std::optional<engine_choice> choose_engines(const engine_load_tracker& board, const engine_costs& costs,
                                            const generation_requirements& request, const zone_name& own_zone,
                                            const engine_status_lookup& judge, steady_time now) {
    if (request.target) {
        std::optional<engine_choice> choice =
            choose_at(board, costs, request, get_urgency(request, true), own_zone, judge, now);
        if (choice && choice->time_to_first_event <= *request.target) {
            choice->is_in_time = true;
            return choice;
        }
    }
    return choose_at(board, costs, request, get_urgency(request, false), own_zone, judge, now);
}

} // namespace dragonflywell::policy
