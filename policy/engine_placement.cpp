#include "policy/engine_placement.hpp"

#include <algorithm>
#include <limits>

#include "core/hash.hpp"

namespace dragonflywell::policy {

namespace {

/// Utilisation by which an engine of the same zone may exceed one of another zone and still be preferred.
constexpr double same_zone_advantage = 0.08;
/// Utilisation by which the other engines must exceed a cheap engine, which may be reclaimed, before it is chosen to
/// decode: a reclaim cuts a running generation off.
constexpr double cheap_engine_penalty = 0.25;
/// Urgency of a request of the most urgent priority class that can meet its target, and of one that cannot.
constexpr std::uint32_t in_time_urgency = 1;
constexpr std::uint32_t late_urgency = 6;
constexpr std::uint32_t max_priority = 3;
/// Factor by which a transfer between availability zones takes longer than one within a zone.
constexpr int other_zone_transfer_factor = 2;

/// Computing a prefix shorter than this takes no longer than fetching it.
constexpr std::uint64_t min_fetch_tokens = 1024;
/// Prefill engines whose completion times differ by less than this count as equal: the decisions of other hosts become
/// known with a delay of the same size.
constexpr duration equal_completion_margin = std::chrono::milliseconds(20);
/// Difference in utilisation below which decode engines count as equal: about one request.
constexpr double equal_utilisation_margin = 0.015;

/// Fixed time that a fetch takes in addition to the transfer of the tokens.
constexpr duration fetch_overhead = std::chrono::milliseconds(5);

/// A prefill engine with the expected course of the prefill on it.
struct prefill_plan {
    backend_server_name engine;
    std::optional<backend_server_name> prefix_source;
    prefill_work work;
    duration expected{};
    duration done_after{};
};

/// An engine that holds a prefix of the prompt in its cache.
struct cached_prefix {
    backend_server_name engine;
    zone_name zone;
    std::uint64_t tokens{0};
};

/// Returns for each availability zone the healthy engine with the longest cached prefix of the prompt.
std::vector<cached_prefix> find_cached_prefixes(const engine_load_tracker& tracker,
                                                const generation_requirements& request,
                                                const engine_status_lookup& get_status) {
    std::vector<cached_prefix> prefixes;
    for (const auto& [name, engine] : tracker.get_engines()) {
        const std::uint64_t tokens = engine.cache.get_cached_tokens(request.parts);
        if (tokens < min_fetch_tokens || get_status(name).usability != engine_usability::healthy) {
            continue;
        }
        const zone_name& zone = engine.attributes.zone;
        const auto same_zone = std::find_if(prefixes.begin(), prefixes.end(),
                                            [&zone](const cached_prefix& item) { return item.zone == zone; });
        const cached_prefix prefix{.engine = name, .zone = zone, .tokens = tokens};
        if (same_zone == prefixes.end()) {
            prefixes.push_back(prefix);
        } else if (tokens > same_zone->tokens) {
            *same_zone = prefix;
        }
    }
    return prefixes;
}

duration get_transfer_time(const engine_costs& costs, std::uint64_t tokens, bool is_same_zone) {
    return costs.transfer_per_token * static_cast<std::int64_t>(tokens) *
           (is_same_zone ? 1 : other_zone_transfer_factor);
}

prefill_work get_prefill_work(std::uint64_t prompt_tokens, std::uint64_t cached_tokens) {
    // The last token is always computed, even if it is cached: decoding starts from its logits.
    const std::uint64_t cached = std::min(cached_tokens, prompt_tokens - std::min<std::uint64_t>(prompt_tokens, 1));
    return {.tokens = prompt_tokens - cached, .cached_tokens = cached};
}

/// Returns the fastest prefill on this engine: from its own cached prefix, or with a prefix fetched from another
/// engine.
prefill_plan plan_prefill(const backend_server_name& name, const engine_load_tracker::engine_entry& engine,
                          const engine_costs& costs, const generation_requirements& request,
                          std::span<const cached_prefix> prefixes) {
    const std::uint64_t own = engine.cache.get_cached_tokens(request.parts);
    prefill_plan best{.engine = name, .work = get_prefill_work(request.prompt_tokens, own)};
    best.expected = costs.prefill_model->predict(best.work);
    for (const cached_prefix& prefix : prefixes) {
        if (prefix.engine == name || prefix.tokens < own + min_fetch_tokens) {
            continue;
        }
        const prefill_work work = get_prefill_work(request.prompt_tokens, prefix.tokens);
        const duration fetch =
            fetch_overhead + get_transfer_time(costs, prefix.tokens - own, prefix.zone == engine.attributes.zone);
        const duration total = costs.prefill_model->predict(work) + fetch;
        if (total < best.expected) {
            best = {.engine = name, .prefix_source = prefix.engine, .work = work, .expected = total};
        }
    }
    return best;
}

std::optional<prefill_plan> choose_prefill_engine_among(const engine_load_tracker& tracker, const engine_costs& costs,
                                                        const generation_requirements& request, std::uint32_t urgency,
                                                        const engine_status_lookup& get_status,
                                                        engine_usability min_usability, steady_time now) {
    const std::vector<cached_prefix> prefixes = find_cached_prefixes(tracker, request, get_status);
    std::optional<prefill_plan> best;
    duration best_score{};
    for (const auto& [name, engine] : tracker.get_engines()) {
        if (engine.attributes.stage != fleet::engine_stage::prefill) {
            continue;
        }
        const engine_status status = get_status(name);
        if (status.usability < min_usability) {
            continue;
        }
        prefill_plan choice = plan_prefill(name, engine, costs, request, prefixes);
        choice.done_after = tracker.get_backlog(name, now, urgency) + status.unobserved_backlog + choice.expected;
        const duration tie_break = std::chrono::duration_cast<duration>(
            equal_completion_margin * hash_to_unit_interval(name.value(), request.seed));
        if (!best || choice.done_after + tie_break < best_score) {
            best_score = choice.done_after + tie_break;
            best = std::move(choice);
        }
    }
    return best;
}

std::optional<prefill_plan> choose_prefill_engine(const engine_load_tracker& tracker, const engine_costs& costs,
                                                  const generation_requirements& request, std::uint32_t urgency,
                                                  const engine_status_lookup& get_status, steady_time now) {
    std::optional<prefill_plan> prefill =
        choose_prefill_engine_among(tracker, costs, request, urgency, get_status, engine_usability::healthy, now);
    if (!prefill) {
        prefill =
            choose_prefill_engine_among(tracker, costs, request, urgency, get_status, engine_usability::degraded, now);
    }
    return prefill;
}

double get_utilisation(const engine_load_tracker& tracker, const backend_server_name& name,
                       const engine_attributes& attributes, std::uint64_t needed_tokens) {
    const double slots =
        static_cast<double>(tracker.get_running(name) + 1) / std::max<std::uint32_t>(1, attributes.slots);
    if (attributes.memory_tokens == 0) {
        return slots;
    }
    const double memory = static_cast<double>(tracker.get_running_tokens(name) + needed_tokens) /
                          static_cast<double>(attributes.memory_tokens);
    return std::max(slots, memory);
}

} // namespace

namespace {

std::optional<backend_server_name> choose_decode_engine_among(const engine_load_tracker& tracker,
                                                              const generation_requirements& request,
                                                              const zone_name& source_zone,
                                                              const engine_status_lookup& get_status,
                                                              engine_usability min_usability) {
    std::optional<backend_server_name> best;
    double best_score = std::numeric_limits<double>::max();
    for (const auto& [name, engine] : tracker.get_engines()) {
        if (engine.attributes.stage != fleet::engine_stage::decode) {
            continue;
        }
        const engine_status status = get_status(name);
        if (status.usability < min_usability) {
            continue;
        }
        double score = status.unobserved_utilisation +
                       equal_utilisation_margin * hash_to_unit_interval(name.value(), request.seed) +
                       get_utilisation(tracker, name, engine.attributes, request.prompt_tokens + request.output_tokens);
        score -= engine.attributes.zone == source_zone ? same_zone_advantage : 0;
        score += engine.attributes.is_cheap ? cheap_engine_penalty : 0;
        if (score < best_score) {
            best_score = score;
            best = name;
        }
    }
    return best;
}

} // namespace

std::optional<backend_server_name> choose_decode_engine(const engine_load_tracker& tracker,
                                                        const generation_requirements& request,
                                                        const zone_name& source_zone,
                                                        const engine_status_lookup& get_status) {
    std::optional<backend_server_name> decode_engine =
        choose_decode_engine_among(tracker, request, source_zone, get_status, engine_usability::healthy);
    if (!decode_engine) {
        decode_engine =
            choose_decode_engine_among(tracker, request, source_zone, get_status, engine_usability::degraded);
    }
    return decode_engine;
}

namespace {

std::uint32_t get_urgency(const generation_requirements& request, bool is_in_time) {
    return (is_in_time ? in_time_urgency : late_urgency) + std::min(request.priority, max_priority);
}

/// Chooses engines for a request that is sent with the given urgency.
std::optional<engine_choice> choose_for_urgency(const engine_load_tracker& tracker, const engine_costs& costs,
                                                const generation_requirements& request, std::uint32_t urgency,
                                                const zone_name& own_zone, const engine_status_lookup& get_status,
                                                steady_time now) {
    const std::optional<prefill_plan> prefill =
        choose_prefill_engine(tracker, costs, request, urgency, get_status, now);
    const zone_name source_zone = prefill ? tracker.find(prefill->engine)->attributes.zone : own_zone;
    const std::optional<backend_server_name> decode_engine =
        choose_decode_engine(tracker, request, source_zone, get_status);
    if (!decode_engine) {
        return std::nullopt;
    }
    engine_choice choice{.prefill_engine = {}, .decode_engine = *decode_engine, .urgency = urgency};
    const engine_load_tracker::engine_entry& decode_state = *tracker.find(*decode_engine);
    if (!prefill) {
        choice.prefill = get_prefill_work(request.prompt_tokens, decode_state.cache.get_cached_tokens(request.parts));
        choice.prefill_duration = std::chrono::duration_cast<duration>(costs.prefill_model->predict(choice.prefill) *
                                                                       costs.decode_engine_prefill_factor);
        choice.time_to_first_event = choice.prefill_duration + costs.first_event;
        return choice;
    }
    const duration transfer =
        get_transfer_time(costs, request.prompt_tokens, decode_state.attributes.zone == source_zone);
    choice.prefill_engine = prefill->engine;
    choice.prefix_source = prefill->prefix_source;
    choice.prefill = prefill->work;
    choice.prefill_duration = prefill->expected;
    choice.time_to_first_event = prefill->done_after + transfer + costs.first_event;
    return choice;
}

} // namespace

std::optional<engine_choice> choose_engines(const engine_load_tracker& tracker, const engine_costs& costs,
                                            const generation_requirements& request, const zone_name& own_zone,
                                            const engine_status_lookup& get_status, steady_time now) {
    if (request.target) {
        std::optional<engine_choice> choice =
            choose_for_urgency(tracker, costs, request, get_urgency(request, true), own_zone, get_status, now);
        if (choice && choice->time_to_first_event <= *request.target) {
            choice->is_in_time = true;
            return choice;
        }
    }
    return choose_for_urgency(tracker, costs, request, get_urgency(request, false), own_zone, get_status, now);
}

} // namespace dragonflywell::policy
