#pragma once

#include "servers/event_splitter.hpp"
#include "servers/serving_state.hpp"

namespace dragonflywell::servers {

/// Records the time between the events of a stream when it ends, also of one that was interrupted or abandoned: slow
/// streams are abandoned more often. Used by one coroutine.
class stream_pace_recorder {
public:
    /// Begins at the first event. Preconditions: state and events outlive the recorder.
    stream_pace_recorder(serving_state& state, service_name service, const backend_server_name& engine,
                         const event_splitter& events)
        : m_state(&state), m_service(std::move(service)), m_events(&events), m_first_ids(events.count_ids()),
          m_began_at(state.time.now()) {
        if (const service_engines* engines = state.find_engines(m_service); engines != nullptr) {
            m_running = engines->load_tracker.get_running(engine);
        }
    }
    stream_pace_recorder(const stream_pace_recorder&) = delete;
    stream_pace_recorder& operator=(const stream_pace_recorder&) = delete;
    stream_pace_recorder(stream_pace_recorder&&) = delete;
    stream_pace_recorder& operator=(stream_pace_recorder&&) = delete;
    ~stream_pace_recorder() {
        // The mean of a few intervals is mostly chance.
        constexpr std::uint64_t min_intervals = 3;
        const std::uint64_t intervals = m_events->count_ids() - m_first_ids;
        service_engines* engines = m_state->find_engines(m_service);
        if (intervals >= min_intervals && engines != nullptr) {
            const duration passed = m_state->time.now() - m_began_at;
            engines->pace.observe(m_running, passed / static_cast<std::int64_t>(intervals));
        }
    }

private:
    serving_state* m_state;
    service_name m_service;
    const event_splitter* m_events;
    std::uint64_t m_first_ids;
    steady_time m_began_at;
    std::uint32_t m_running{0};
};

} // namespace dragonflywell::servers
