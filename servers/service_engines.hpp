#pragma once

#include <cstdint>
#include <optional>

#include "fleet/service_description.hpp"
#include "policy/engine_load_tracker.hpp"
#include "policy/engine_placement.hpp"
#include "policy/prefill_time_model.hpp"

namespace dragonflywell::servers {

/// The engines of one service: their load and the estimates of their processing times. Not thread safe.
class service_engines {
public:
    policy::engine_load_tracker load_tracker;
    policy::prefill_time_model prefill_model;

    void set_description(const fleet::engine_description& description) { m_description = description; }
    [[nodiscard]] const fleet::engine_description& get_description() const noexcept { return m_description; }

    /// Records the time from handing over the KV cache of a prompt to the first event.
    void record_first_event(duration taken) {
        constexpr std::int64_t weight = 16;
        m_first_event += (taken - m_first_event) / weight;
    }

    /// Adds the prefill time of the prompt of a new request to the demand, whether the request is served or not.
    void add_prefill_demand(duration cost) noexcept { m_prefill_demand += cost; }
    /// Returns the total prefill time of all prompts since the start of the process.
    [[nodiscard]] duration get_prefill_demand() const noexcept { return m_prefill_demand; }

    [[nodiscard]] policy::engine_costs get_costs() const {
        return {.prefill_model = &prefill_model,
                .first_event = m_first_event,
                .transfer_per_token = get_transfer_per_token()};
    }

private:
    [[nodiscard]] duration get_transfer_per_token() const {
        constexpr double bits_per_byte = 8;
        constexpr double bits_per_megabit = 1e6;
        if (m_description.link_megabits_per_second <= 0) {
            return duration::zero();
        }
        const double seconds = static_cast<double>(m_description.kv_bytes_per_token) * bits_per_byte /
                               (m_description.link_megabits_per_second * bits_per_megabit);
        return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
    }

    fleet::engine_description m_description;
    duration m_prefill_demand{};
    /// The initial value, before any observation, is a few decode steps of an engine.
    duration m_first_event{std::chrono::milliseconds(50)};
};

} // namespace dragonflywell::servers
