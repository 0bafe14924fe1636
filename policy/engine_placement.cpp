#include "policy/engine_placement.hpp"

#include <algorithm>
#include <vector>

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

/// Time by which other decode engines must be slower before a prompt is sent directly to a cheap one.
constexpr duration cheap_engine_delay = std::chrono::milliseconds(100);

/// Weight of the time by which a prompt delays others on its engine, relative to its own time to the first event: a
/// prompt has more than one other behind it when the fleet is busy.
constexpr int delay_weight = 2;

/// Weight of the slowness of a decode engine without load, in units of utilisation.
constexpr double slowness_penalty = 1.0;

/// Fixed time that a fetch takes in addition to the transfer of the tokens.
constexpr duration fetch_overhead = std::chrono::milliseconds(5);

/// An engine that may be given work, with what each decision about it needs.
struct engine_candidate {
    const backend_server_name* name{};
    const engine_load_tracker::engine_entry* engine{};
    engine_status status;
    /// Part of the prompt that is in its prefix cache, in tokens.
    std::uint64_t cached_tokens{0};
    /// Its speed with the request, and the share of its slots that it takes well.
    double speed{1};
    double limit{1};
};

/// The expected course of a prefill on an engine.
struct prefill_plan {
    const engine_candidate* on{};
    const engine_candidate* prefix_source{};
    prefill_work work;
    duration expected{};
    duration occupancy{};
    duration known_wait{};
    duration done_after{};
};

/// Returns how long work takes at an engine that takes the given time at the speed 1.
duration divide(duration time, double speed) {
    return std::chrono::duration_cast<duration>(time / speed);
}

std::uint32_t get_urgency(const generation_requirements& request, bool is_in_time) {
    return (is_in_time ? in_time_urgency : late_urgency) + std::min(request.priority, max_priority);
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

/// The decisions about one request at one moment. Each engine's status and cache are looked up once, since the number
/// of engines determines what a placement costs.
class placement {
public:
    placement(const engine_load_tracker& tracker, const generation_requirements& request,
              const engine_status_lookup& get_status, const server_speed_estimator* prefill_speeds,
              const server_speed_estimator* decode_speeds)
        : m_request(&request) {
        for (const auto& [name, engine] : tracker.get_engines()) {
            const engine_status status = get_status(name);
            if (status.usability == engine_usability::unusable) {
                continue;
            }
            m_candidates.push_back({.name = &name, .engine = &engine, .status = status});
            const bool is_prefill = engine.attributes.stage == fleet::engine_stage::prefill;
            const server_speed_estimator* speeds = is_prefill ? prefill_speeds : decode_speeds;
            if (speeds != nullptr) {
                const std::uint32_t running = engine_load_tracker::get_running_load(engine).requests + 1;
                m_candidates.back().speed = speeds->get_speed(name, get_engine_load(engine.attributes, running));
                m_candidates.back().limit = speeds->get_limit(name);
            }
        }
    }

    /// Returns the least utilised decode engine, with a preference for the given zone, or null.
    [[nodiscard]] const engine_candidate* choose_decode_engine(const zone_name& source_zone) const {
        return find_best(fleet::engine_stage::decode, [&](const engine_candidate& candidate) {
            const engine_attributes& attributes = candidate.engine->attributes;
            double score =
                get_utilisation(candidate) / candidate.speed + equal_utilisation_margin * get_tie_break(candidate);
            score += slowness_penalty * (1 / candidate.speed - 1);
            score -= attributes.zone == source_zone ? same_zone_advantage : 0;
            score += attributes.is_cheap ? cheap_engine_penalty : 0;
            return std::optional(score);
        });
    }

    /// Looks up which parts of the prompt the engines have in their caches. Called once, before `choose`.
    void find_cached_prefixes() {
        for (engine_candidate& candidate : m_candidates) {
            candidate.cached_tokens = candidate.engine->cache.get_cached_tokens(m_request->parts);
        }
        for (const engine_candidate& candidate : m_candidates) {
            if (candidate.cached_tokens >= min_fetch_tokens &&
                candidate.status.usability == engine_usability::healthy) {
                add_prefix(candidate);
            }
        }
    }

    /// Chooses engines for a request that is sent with the given urgency.
    [[nodiscard]] std::optional<engine_choice> choose(const engine_costs& costs, std::uint32_t urgency,
                                                      steady_time now) const {
        std::optional<engine_choice> direct = choose_direct(costs, urgency, now, true);
        std::optional<engine_choice> disaggregated = choose_disaggregated(costs, urgency, now);
        if (!direct && !disaggregated) {
            return choose_direct(costs, urgency, now, false);
        }
        if (!disaggregated || (direct && get_cost(*direct) < get_cost(*disaggregated))) {
            return direct;
        }
        return disaggregated;
    }

private:
    /// Returns the engine of a stage with the lowest score, or null. Engines without a score are not used, and degraded
    /// ones only if there is no healthy one.
    template <typename GetScore>
    [[nodiscard]] const engine_candidate* find_best(fleet::engine_stage stage, GetScore get_score) const {
        for (const engine_usability usability : {engine_usability::healthy, engine_usability::degraded}) {
            const engine_candidate* best = nullptr;
            double best_score = 0;
            for (const engine_candidate& candidate : m_candidates) {
                if (candidate.engine->attributes.stage != stage || candidate.status.usability < usability) {
                    continue;
                }
                const std::optional<double> score = get_score(candidate);
                if (score && (best == nullptr || *score < best_score)) {
                    best_score = *score;
                    best = &candidate;
                }
            }
            if (best != nullptr) {
                return best;
            }
        }
        return nullptr;
    }

    /// Keeps for each availability zone the longest cached prefix.
    void add_prefix(const engine_candidate& candidate) {
        const zone_name& zone = candidate.engine->attributes.zone;
        const auto same_zone =
            std::find_if(m_prefixes.begin(), m_prefixes.end(),
                         [&zone](const engine_candidate* prefix) { return prefix->engine->attributes.zone == zone; });
        if (same_zone == m_prefixes.end()) {
            m_prefixes.push_back(&candidate);
        } else if (candidate.cached_tokens > (*same_zone)->cached_tokens) {
            *same_zone = &candidate;
        }
    }

    [[nodiscard]] double get_tie_break(const engine_candidate& candidate) const {
        return hash_to_unit_interval(candidate.name->value(), m_request->seed);
    }

    [[nodiscard]] double get_utilisation(const engine_candidate& candidate) const {
        const engine_attributes& attributes = candidate.engine->attributes;
        const engine_load_tracker::running_load load = engine_load_tracker::get_running_load(*candidate.engine);
        double utilisation = static_cast<double>(load.requests + 1) / std::max<std::uint32_t>(1, attributes.slots);
        if (attributes.memory_tokens > 0) {
            const std::uint64_t needed = load.tokens + m_request->prompt_tokens + m_request->output_tokens;
            utilisation =
                std::max(utilisation, static_cast<double>(needed) / static_cast<double>(attributes.memory_tokens));
        }
        return candidate.status.unobserved_utilisation + utilisation;
    }

    /// Returns the speed that counts for a prefill. Decode engines count as equal: each prompt that one reads slows its
    /// streams, which the plan does not contain.
    [[nodiscard]] static double get_prefill_speed(const engine_candidate& candidate) {
        const bool is_prefill = candidate.engine->attributes.stage == fleet::engine_stage::prefill;
        return is_prefill ? candidate.speed : 1;
    }

    /// Returns the fastest prefill on an engine: from its own cached prefix, or with a prefix fetched from another
    /// engine.
    [[nodiscard]] prefill_plan plan_prefill(const engine_candidate& candidate, const prefill_time_model& model,
                                            const engine_costs& costs) const {
        prefill_plan best;
        best.on = &candidate;
        const double speed = get_prefill_speed(candidate);
        best.work = get_prefill_work(m_request->prompt_tokens, candidate.cached_tokens);
        best.expected = divide(model.predict(best.work), speed);
        best.occupancy = divide(model.predict_occupancy(best.work), speed);
        for (const engine_candidate* prefix : m_prefixes) {
            if (prefix == &candidate || prefix->cached_tokens < candidate.cached_tokens + min_fetch_tokens) {
                continue;
            }
            const prefill_work work = get_prefill_work(m_request->prompt_tokens, prefix->cached_tokens);
            const bool is_same_zone = prefix->engine->attributes.zone == candidate.engine->attributes.zone;
            const duration fetch =
                fetch_overhead +
                get_transfer_time(costs, prefix->cached_tokens - candidate.cached_tokens, is_same_zone);
            const duration total = divide(model.predict(work), speed) + fetch;
            if (total < best.expected) {
                best.prefix_source = prefix;
                best.work = work;
                best.expected = total;
                best.occupancy = divide(model.predict_occupancy(work), speed) + fetch;
            }
        }
        return best;
    }

    /// Returns the plan for the engine of a stage whose choice costs least, or nothing if there is no usable one.
    [[nodiscard]] std::optional<prefill_plan> plan_best_prefill(fleet::engine_stage stage, const engine_costs& costs,
                                                                std::uint32_t urgency, steady_time now,
                                                                bool must_have_room) const {
        const bool is_prefill = stage == fleet::engine_stage::prefill;
        const prefill_time_model& model = is_prefill ? *costs.prefill_model : *costs.decode_engine_model;
        const wait_factors& factors = is_prefill ? costs.prefill_engine_waits : costs.decode_engine_waits;
        const double factor = urgency < late_urgency ? factors.in_time : factors.late;
        const auto make_plan = [&](const engine_candidate& candidate) {
            prefill_plan plan = plan_prefill(candidate, model, costs);
            plan.known_wait = engine_load_tracker::get_backlog(*candidate.engine, now, urgency);
            const duration wait = std::chrono::duration_cast<duration>(plan.known_wait * factor);
            plan.done_after = wait + candidate.status.unobserved_backlog + plan.expected;
            return plan;
        };
        const auto get_score = [&](const engine_candidate& candidate) -> std::optional<double> {
            if (must_have_room && get_utilisation(candidate) > candidate.limit) {
                return std::nullopt;
            }
            const prefill_plan plan = make_plan(candidate);
            duration cost = plan.done_after + delay_weight * plan.occupancy;
            cost += std::chrono::duration_cast<duration>(equal_completion_margin * get_tie_break(candidate));
            cost += !is_prefill && candidate.engine->attributes.is_cheap ? cheap_engine_delay : duration::zero();
            return static_cast<double>(cost.count());
        };
        const engine_candidate* best = find_best(stage, get_score);
        return best != nullptr ? std::optional(make_plan(*best)) : std::nullopt;
    }

    [[nodiscard]] static engine_choice make_choice(const prefill_plan& plan, std::uint32_t urgency) {
        return {.prefill_engine = {},
                .decode_engine = *plan.on->name,
                .prefix_source =
                    plan.prefix_source != nullptr ? std::optional(*plan.prefix_source->name) : std::nullopt,
                .prefill = plan.work,
                .prefill_duration = plan.expected,
                .prefill_occupancy = plan.occupancy,
                .prefill_speed = get_prefill_speed(*plan.on),
                .known_wait = plan.known_wait,
                .time_to_first_event = plan.done_after,
                .urgency = urgency};
    }

    /// Chooses a decode engine that runs the prefill itself, one with a free slot if `must_have_room` is set.
    [[nodiscard]] std::optional<engine_choice> choose_direct(const engine_costs& costs, std::uint32_t urgency,
                                                             steady_time now, bool must_have_room) const {
        const std::optional<prefill_plan> plan =
            plan_best_prefill(fleet::engine_stage::decode, costs, urgency, now, must_have_room);
        return plan ? std::optional(make_choice(*plan, urgency)) : std::nullopt;
    }

    /// Chooses a prefill engine and a decode engine; nothing if there is no usable one of either stage.
    [[nodiscard]] std::optional<engine_choice> choose_disaggregated(const engine_costs& costs, std::uint32_t urgency,
                                                                    steady_time now) const {
        const std::optional<prefill_plan> plan =
            plan_best_prefill(fleet::engine_stage::prefill, costs, urgency, now, false);
        if (!plan) {
            return std::nullopt;
        }
        const zone_name& source_zone = plan->on->engine->attributes.zone;
        const engine_candidate* decode_engine = choose_decode_engine(source_zone);
        if (decode_engine == nullptr) {
            return std::nullopt;
        }
        const bool is_same_zone = decode_engine->engine->attributes.zone == source_zone;
        engine_choice choice = make_choice(*plan, urgency);
        choice.prefill_engine = *plan->on->name;
        choice.decode_engine = *decode_engine->name;
        choice.time_to_first_event +=
            get_transfer_time(costs, m_request->prompt_tokens, is_same_zone) + costs.first_event;
        return choice;
    }

    /// Returns the time to the first event, and the weighted time by which the prompt delays others.
    [[nodiscard]] static duration get_cost(const engine_choice& choice) {
        return choice.time_to_first_event + delay_weight * choice.prefill_occupancy;
    }

    const generation_requirements* m_request;
    std::vector<engine_candidate> m_candidates;
    /// For each availability zone the healthy engine with the longest cached prefix of the prompt.
    std::vector<const engine_candidate*> m_prefixes;
};

} // namespace

double get_engine_load(const engine_attributes& attributes, std::uint32_t running) {
    return attributes.stage == fleet::engine_stage::prefill
               ? 0
               : static_cast<double>(running) / std::max<std::uint32_t>(1, attributes.slots);
}

std::optional<backend_server_name> choose_decode_engine(const engine_load_tracker& tracker,
                                                        const generation_requirements& request,
                                                        const zone_name& source_zone,
                                                        const engine_status_lookup& get_status,
                                                        const server_speed_estimator* speeds) {
    const placement round(tracker, request, get_status, nullptr, speeds);
    const engine_candidate* best = round.choose_decode_engine(source_zone);
    return best != nullptr ? std::optional(*best->name) : std::nullopt;
}

std::optional<engine_choice> choose_engines(const engine_load_tracker& tracker, const engine_costs& costs,
                                            const generation_requirements& request,
                                            const engine_status_lookup& get_status, steady_time now) {
    placement round(tracker, request, get_status, costs.prefill_engine_speeds, costs.decode_engine_speeds);
    round.find_cached_prefixes();
    if (request.target) {
        std::optional<engine_choice> choice = round.choose(costs, get_urgency(request, true), now);
        if (choice && choice->time_to_first_event <= *request.target) {
            choice->is_in_time = true;
            return choice;
        }
    }
    return round.choose(costs, get_urgency(request, false), now);
}

} // namespace dragonflywell::policy
