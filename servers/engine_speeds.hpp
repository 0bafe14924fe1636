#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include "policy/engine_placement.hpp"
#include "policy/expected_work_times.hpp"
#include "policy/server_speed_estimator.hpp"

namespace dragonflywell::servers {

/// What this host has learned of the speeds of the engines of one service. Not thread safe.
class engine_speeds {
public:
    /// Speeds are learned, and count, only where it is set.
    void set_enabled(bool is_enabled) noexcept { m_is_enabled = is_enabled; }
    [[nodiscard]] bool is_enabled() const noexcept { return m_is_enabled; }
    /// Updates the estimates. Called before engines are chosen.
    void refresh(steady_time now);

    [[nodiscard]] policy::server_speed_estimator& get(fleet::engine_stage stage) noexcept {
        return stage == fleet::engine_stage::prefill ? m_prefill_engines : m_decode_engines;
    }
    /// Returns the speeds for the placement, or null if all engines count as equal.
    [[nodiscard]] const policy::server_speed_estimator* find(fleet::engine_stage stage) const noexcept {
        if (!m_is_enabled) {
            return nullptr;
        }
        return stage == fleet::engine_stage::prefill ? &m_prefill_engines : &m_decode_engines;
    }

    /// Records the time between two events of a stream at a decode engine of the given speed.
    void record_gap(duration taken, double speed) { m_gaps.observe(0, taken, speed); }
    /// Returns the usual time between two events, or zero if it is not known.
    [[nodiscard]] duration get_gap() const { return m_gaps.get(0); }

private:
    bool m_is_enabled{true};
    policy::server_speed_estimator m_prefill_engines;
    policy::server_speed_estimator m_decode_engines;
    policy::expected_work_times m_gaps;
};

/// Observes how long an engine takes for the work of one request. It follows a prefill until `finish`, and a generation
/// event by event. Work that ends otherwise counts as abandoned. Does nothing where speeds are not learned. Not thread
/// safe.
class engine_observation {
public:
    /// The engine, and the share of its slots in use with this request.
    struct engine_use {
        backend_server_name engine;
        fleet::engine_stage stage{fleet::engine_stage::decode};
        double load{0};
    };

    /// `expected`: time of the first piece of work at an engine of speed 1. Preconditions: speeds and clock outlive
    /// this object.
    engine_observation(engine_speeds& speeds, const clock_source& time, engine_use use, duration expected);
    engine_observation(const engine_observation&) = delete;
    engine_observation& operator=(const engine_observation&) = delete;
    engine_observation(engine_observation&&) = delete;
    engine_observation& operator=(engine_observation&&) = delete;
    ~engine_observation();

    /// The engine has done the work.
    void finish();
    /// The engine has not done the work.
    void discard();

    /// Events of a stream have arrived. The first ones end the first piece of work; then each group of events is one.
    void record_events(std::string_view events);
    /// They have been sent to the caller. A group of events is not counted if the caller was slow to take them, since
    /// the engine then had to wait, too.
    void record_sent();

    /// The stream is complete.
    void end_stream();

    [[nodiscard]] const backend_server_name& get_engine() const noexcept { return m_use.engine; }
    /// Returns the speed of the engine that counted when the work began.
    [[nodiscard]] double get_speed() const noexcept { return m_speed; }

private:
    void begin(duration expected);
    void begin_group(steady_time now);
    void end_group(steady_time now);

    engine_speeds* m_speeds;
    const clock_source* m_time;
    engine_use m_use;
    double m_speed{1};
    std::uint64_t m_number{0};
    bool m_has_first_event{false};
    /// Events of the group, when it began, and how long the caller took for them.
    std::uint32_t m_events{0};
    steady_time m_group_began_at{};
    steady_time m_received_at{};
    duration m_sending{};
};

/// Returns the expected time of the prefill of a choice, with the known wait, at an engine of speed 1.
[[nodiscard]] inline duration get_base_prefill_time(const policy::engine_choice& choice) {
    return std::chrono::duration_cast<duration>((choice.known_wait + choice.prefill_duration) * choice.prefill_speed);
}

/// Returns how an engine is used, this request included. Thread safe if the tracker is not changed meanwhile.
[[nodiscard]] engine_observation::engine_use get_engine_use(const policy::engine_load_tracker& tracker,
                                                            const backend_server_name& engine);

} // namespace dragonflywell::servers
