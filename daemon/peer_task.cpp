#include "daemon/peer_task.hpp"

namespace dragonflywell::daemon {

namespace {

// Messages for third parties, such as those of indirect pings, wait at most this part of an interval.
constexpr int rounds_in_interval = 4;
// Answers may lead to a delta, and that to nothing further.
constexpr int most_exchanges = 2;

} // namespace

peer_task::peer_task(const daemon_parts& parts, std::shared_ptr<peer_hub> hub)
    : m_parts(parts), m_hub(std::move(hub)),
      m_client({.deadline = parts.settings.peers->deadline, .most_connections = 16}),
      m_members(&parts.metrics.get_gauge("dragonflywell_peers_in_zone")),
      m_links(&parts.metrics.get_gauge("dragonflywell_peer_links")),
      m_reach(&parts.metrics.get_gauge("dragonflywell_log_reach")),
      m_sent(&parts.metrics.get_counter("dragonflywell_peer_messages_total", {{"kind", "sent"}})),
      m_answered(&parts.metrics.get_counter("dragonflywell_peer_messages_total", {{"kind", "answer"}})) {
    parts.metrics.get_gauge("dragonflywell_peer_port").set(m_hub->get_port());
}

void peer_task::run_round() {
    send(m_hub->take_messages());
    report();
}

void peer_task::finish() {
    send(m_hub->leave());
    m_hub->stop_listening();
}

duration peer_task::get_interval() const noexcept {
    return m_parts.settings.peers->interval / rounds_in_interval;
}

void peer_task::send(std::vector<coordination::addressed_message> messages) {
    for (int exchange = 0; exchange < most_exchanges && !messages.empty(); ++exchange) {
        m_sent->add(messages.size());
        const std::vector<coordination::gossip_message> answers = m_client.exchange(messages);
        m_answered->add(answers.size());
        messages = m_hub->take_answers(answers);
    }
}

void peer_task::report() {
    m_members->set(static_cast<std::int64_t>(m_hub->get_zone_members().size()));
    m_links->set(static_cast<std::int64_t>(m_hub->get_links().size()));
    m_reach->set(static_cast<std::int64_t>(m_hub->get_log_reach()));
}

} // namespace dragonflywell::daemon
