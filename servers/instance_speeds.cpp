#include "servers/instance_speeds.hpp"

#include <algorithm>

#include "servers/serving_state.hpp"

namespace dragonflywell::servers {

instance_observation::instance_observation(serving_state& state, const service_name& service,
                                           const backend_server_name& server, std::uint64_t kind)
    : m_time(&state.time), m_server(server), m_kind(kind), m_sent_at(state.time.now()) {
    const fleet::listed_server* listed = state.eligibility.get_list().find(server);
    if (!state.options.learns_server_speeds || listed == nullptr) {
        return;
    }
    m_speeds = &state.speeds[service];
    m_load = static_cast<double>(state.get_in_flight(server)) / std::max<std::uint32_t>(1, listed->record.slots);
    const duration expected = m_speeds->times.get(kind);
    if (expected > duration::zero()) {
        m_number = m_speeds->estimator.start(server, expected, m_load, m_sent_at);
    }
}

instance_observation::~instance_observation() {
    if (m_speeds != nullptr) {
        m_speeds->estimator.abandon(m_number, m_time->now());
    }
}

void instance_observation::finish() {
    if (m_speeds == nullptr) {
        return;
    }
    const steady_time now = m_time->now();
    m_speeds->estimator.finish(m_number, now);
    m_speeds->times.observe(m_kind, now - m_sent_at, m_speeds->estimator.get_speed(m_server, m_load));
    m_speeds = nullptr;
}

void instance_observation::discard() {
    if (m_speeds != nullptr) {
        m_speeds->estimator.discard(m_number);
        m_speeds = nullptr;
    }
}

} // namespace dragonflywell::servers
