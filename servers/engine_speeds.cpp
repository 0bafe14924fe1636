#include "servers/engine_speeds.hpp"

#include <utility>

namespace dragonflywell::servers {

namespace {

/// Events of a stream that are observed together: a part of a second, in which a single late step and the delays of the
/// network hardly count.
constexpr std::uint32_t group_events = 16;
/// Events that the last group of a stream must have to be observed.
constexpr std::uint32_t min_group_events = 4;
/// Part of the time of a group for which the caller may have kept it waiting.
constexpr double max_sending_share = 0.1;

/// Returns how many complete events a part of a stream holds.
std::uint32_t count_events(std::string_view events) {
    std::uint32_t count = 0;
    for (std::size_t at = events.find("\n\n"); at != std::string_view::npos; at = events.find("\n\n", at + 2)) {
        ++count;
    }
    return count;
}

} // namespace

void engine_speeds::refresh(steady_time now) {
    if (m_is_enabled) {
        m_prefill_engines.refresh(now);
        m_decode_engines.refresh(now);
    }
}

engine_observation::engine_observation(engine_speeds& speeds, const clock_source& time, engine_use use,
                                       duration expected)
    : m_speeds(&speeds), m_time(&time), m_use(std::move(use)) {
    if (m_speeds->is_enabled()) {
        m_speed = m_speeds->get(m_use.stage).get_speed(m_use.engine, m_use.load);
        begin(expected);
    }
}

engine_observation::~engine_observation() {
    m_speeds->get(m_use.stage).abandon(m_number, m_time->now());
}

void engine_observation::begin(duration expected) {
    if (expected > duration::zero()) {
        m_number = m_speeds->get(m_use.stage).start(m_use.engine, expected, m_use.load, m_time->now());
    }
}

void engine_observation::finish() {
    m_speeds->get(m_use.stage).finish(m_number, m_time->now());
}

void engine_observation::discard() {
    m_speeds->get(m_use.stage).discard(m_number);
}

void engine_observation::record_events(std::string_view events) {
    if (!m_speeds->is_enabled()) {
        return;
    }
    const steady_time now = m_time->now();
    m_received_at = now;
    m_events += count_events(events);
    if (!m_has_first_event) {
        m_has_first_event = true;
        finish();
        begin_group(now);
    } else if (m_events >= group_events) {
        end_group(now);
        begin_group(now);
    }
    m_speeds->get(m_use.stage).pause(m_number, now);
}

void engine_observation::begin_group(steady_time now) {
    m_events = 0;
    m_sending = {};
    m_group_began_at = now;
    begin(m_speeds->get_gap() * group_events);
}

void engine_observation::end_group(steady_time now) {
    const duration taken = now - m_group_began_at;
    if (m_sending > taken * max_sending_share) {
        discard();
        return;
    }
    m_speeds->get(m_use.stage).set_expected(m_number, m_speeds->get_gap() * m_events);
    m_speeds->get(m_use.stage).finish(m_number, now);
    m_speeds->record_gap(taken / m_events, m_speed);
}

void engine_observation::end_stream() {
    if (m_speeds->is_enabled() && m_events >= min_group_events) {
        // The stream ended with its last event, not with its last byte.
        end_group(m_received_at);
    }
    discard();
}

void engine_observation::record_sent() {
    const steady_time now = m_time->now();
    m_sending += now - m_received_at;
    m_speeds->get(m_use.stage).resume(m_number, now);
}

engine_observation::engine_use get_engine_use(const policy::engine_load_tracker& tracker,
                                              const backend_server_name& engine) {
    engine_observation::engine_use use{.engine = engine};
    if (const policy::engine_load_tracker::engine_entry* entry = tracker.find(engine); entry != nullptr) {
        use.stage = entry->attributes.stage;
        use.load =
            policy::get_engine_load(entry->attributes, policy::engine_load_tracker::get_running_load(*entry).requests);
    }
    return use;
}

} // namespace dragonflywell::servers
