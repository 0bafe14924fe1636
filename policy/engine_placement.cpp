#include "policy/engine_placement.hpp"

#include <algorithm>
#include <limits>

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

/// The engine that reads a prompt first, and when.
struct reader_choice {
    backend_server_name engine;
    prefill_work reading;
    duration reading_time{};
    duration done_after{};
};

prefill_work get_reading(std::uint64_t prompt_tokens, std::uint64_t cached_tokens) {
    // The last token is always read, or there would be nothing to generate from.
    const std::uint64_t cached = std::min(cached_tokens, prompt_tokens - std::min<std::uint64_t>(prompt_tokens, 1));
    return {.tokens = prompt_tokens - cached, .cached_tokens = cached};
}

std::optional<reader_choice> choose_reader(const engine_board& board, const engine_costs& costs,
                                           const placed_generation& request, std::uint32_t urgency,
                                           const engine_filter& is_usable, steady_time now) {
    std::optional<reader_choice> best;
    for (const auto& [name, engine] : board.get_engines()) {
        if (engine.facts.stage != fleet::engine_stage::prefill || !is_usable(name)) {
            continue;
        }
        const prefill_work reading = get_reading(request.prompt_tokens, engine.cache.get_cached_tokens(request.parts));
        const duration reading_time = costs.read_time->predict(reading);
        const duration done_after = board.get_backlog(name, now, urgency) + reading_time;
        if (!best || done_after < best->done_after) {
            best = {.engine = name, .reading = reading, .reading_time = reading_time, .done_after = done_after};
        }
    }
    return best;
}

double get_fullness(const engine_board& board, const backend_server_name& name, const engine_facts& facts,
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

std::optional<backend_server_name> choose_generator(const engine_board& board, const placed_generation& request,
                                                    const zone_name& near, const engine_filter& is_usable) {
    std::optional<backend_server_name> best;
    double best_score = std::numeric_limits<double>::max();
    for (const auto& [name, engine] : board.get_engines()) {
        if (engine.facts.stage != fleet::engine_stage::decode || !is_usable(name)) {
            continue;
        }
        double score = get_fullness(board, name, engine.facts, request.prompt_tokens + request.output_tokens);
        score -= engine.facts.zone == near ? near_zone_advantage : 0;
        score += engine.facts.is_cheap ? cheap_disadvantage : 0;
        if (score < best_score) {
            best_score = score;
            best = name;
        }
    }
    return best;
}

namespace {

std::uint32_t get_urgency(const placed_generation& request, bool is_in_time) {
    return (is_in_time ? in_time_urgency : late_urgency) + std::min(request.priority, most_ranks);
}

/// Chooses engines for a request that is sent with that urgency.
std::optional<engine_choice> choose_at(const engine_board& board, const engine_costs& costs,
                                       const placed_generation& request, std::uint32_t urgency,
                                       const zone_name& own_zone, const engine_filter& is_usable, steady_time now) {
    const std::optional<reader_choice> reader = choose_reader(board, costs, request, urgency, is_usable, now);
    const zone_name near = reader ? board.find(reader->engine)->facts.zone : own_zone;
    const std::optional<backend_server_name> generator = choose_generator(board, request, near, is_usable);
    if (!generator) {
        return std::nullopt;
    }
    engine_choice choice{.reader = {}, .generator = *generator, .urgency = urgency};
    const engine_board::engine_state& generating = *board.find(*generator);
    if (!reader) {
        choice.reading = get_reading(request.prompt_tokens, generating.cache.get_cached_tokens(request.parts));
        choice.reading_time =
            std::chrono::duration_cast<duration>(costs.read_time->predict(choice.reading) * costs.self_read_factor);
        choice.first_event_after = choice.reading_time + costs.first_event;
        return choice;
    }
    duration move = costs.move_per_token * static_cast<std::int64_t>(request.prompt_tokens);
    move *= generating.facts.zone == near ? 1 : other_zone_move_factor;
    choice.reader = reader->engine;
    choice.reading = reader->reading;
    choice.reading_time = reader->reading_time;
    choice.first_event_after = reader->done_after + move + costs.first_event;
    return choice;
}

} // namespace

std::optional<engine_choice> choose_engines(const engine_board& board, const engine_costs& costs,
                                            const placed_generation& request, const zone_name& own_zone,
                                            const engine_filter& is_usable, steady_time now) {
    if (request.target) {
        std::optional<engine_choice> choice =
            choose_at(board, costs, request, get_urgency(request, true), own_zone, is_usable, now);
        if (choice && choice->first_event_after <= *request.target) {
            choice->is_in_time = true;
            return choice;
        }
    }
    return choose_at(board, costs, request, get_urgency(request, false), own_zone, is_usable, now);
}

} // namespace dragonflywell::policy
