#pragma once

#include <cstdint>
#include <optional>

#include "fleet/service_description.hpp"
#include "policy/engine_load_tracker.hpp"
#include "policy/engine_placement.hpp"
#include "policy/generation_pace.hpp"
#include "policy/prefill_time_model.hpp"
#include "policy/wait_calibration.hpp"
#include "servers/engine_speeds.hpp"

namespace dragonflywell::servers {

/// The engines of one service: their load and the estimates of their processing times. Not thread safe.
class service_engines {
public:
    policy::engine_load_tracker load_tracker;
    engine_speeds speeds;
    policy::prefill_time_model prefill_model;
    /// Time from sending a prompt to a decode engine, which runs the prefill itself, to the first event. Before any
    /// observation it is assumed to be a multiple of the time of a prefill engine.
    policy::prefill_time_model decode_engine_model{initial_decode_engine_factor, initial_first_event};
    /// Time between the events of streams.
    policy::generation_pace pace;

    /// Records how long a prompt waited at the engines of a choice. `taken`: time from sending it until its prefill
    /// ended, or until its caller left.
    void record_wait(const policy::engine_choice& choice, duration taken) {
        wait_calibrations& waits = choice.prefill_engine ? m_prefill_engine_waits : m_decode_engine_waits;
        (choice.is_in_time ? waits.in_time : waits.late).observe(choice.known_wait, taken - choice.prefill_duration);
    }

    void set_description(const fleet::engine_description& description) { m_description = description; }
    [[nodiscard]] const fleet::engine_description& get_description() const noexcept { return m_description; }

    /// Records the time from handing over the KV cache of a prompt to the first event, at an engine of the given speed.
    void record_first_event(duration taken, double speed = 1) {
        constexpr std::int64_t weight = 16;
        m_first_event += (scale(taken, speed) - m_first_event) / weight;
    }
    /// Records the time of a prefill that waited for no other one, at an engine of the given speed.
    void record_prefill(const policy::engine_choice& choice, duration taken, double speed) {
        policy::prefill_time_model& model = choice.prefill_engine ? prefill_model : decode_engine_model;
        model.observe(choice.prefill, scale(taken, speed));
    }

    /// Adds the prefill time of the prompt of a new request to the demand, whether the request is served or not.
    void add_prefill_demand(duration cost) noexcept { m_prefill_demand += cost; }
    /// Returns the total prefill time of all prompts since the start of the process.
    [[nodiscard]] duration get_prefill_demand() const noexcept { return m_prefill_demand; }

    [[nodiscard]] policy::engine_costs get_costs() const {
        return {.prefill_model = &prefill_model,
                .decode_engine_model = &decode_engine_model,
                .first_event = m_first_event,
                .transfer_per_token = get_transfer_per_token(),
                .prefill_engine_waits = m_prefill_engine_waits.get_factors(),
                .decode_engine_waits = m_decode_engine_waits.get_factors(),
                .prefill_engine_speeds = speeds.find(fleet::engine_stage::prefill),
                .decode_engine_speeds = speeds.find(fleet::engine_stage::decode)};
    }

private:
    /// Returns the time that an engine of speed 1 would have taken.
    [[nodiscard]] static duration scale(duration taken, double speed) {
        return std::chrono::duration_cast<duration>(taken * speed);
    }

    static constexpr double initial_decode_engine_factor = 2.5;
    /// Time to the first event before any observation: a few decode steps of an engine.
    static constexpr duration initial_first_event = std::chrono::milliseconds(50);

    struct wait_calibrations {
        policy::wait_calibration in_time;
        policy::wait_calibration late;

        [[nodiscard]] policy::wait_factors get_factors() const {
            return {.in_time = in_time.get_factor(), .late = late.get_factor()};
        }
    };

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
    wait_calibrations m_prefill_engine_waits;
    wait_calibrations m_decode_engine_waits;
    duration m_prefill_demand{};
    duration m_first_event{initial_first_event};
};

} // namespace dragonflywell::servers
