#include "gossip/datagram_queue.hpp"

#include <algorithm>

#include "core/log_event.hpp"

namespace dragonflywell::gossip {

namespace {

/// Part of a link that the exchange between hosts may use. The rest is for requests.
constexpr double link_share = 0.2;
/// What may be sent at once, as the time that the link needs for it.
constexpr double burst_seconds = 0.02;
/// Longest time for which records and changes may wait to be sent. Beyond it the receivers read the store sooner.
constexpr double max_wait_seconds = 1;
/// The same for requests and grants of quotas and limits. Requests of callers wait for them, and they are sent again.
constexpr double max_quota_wait_seconds = 0.1;
/// Shares of the kinds while all of them wait.
constexpr std::array<double, datagram_kinds> weights{2, 1, 4, 4, 4, 4, 4, 4};
/// A peak is logged when it exceeds the last logged one by this factor, so that a host logs few of them.
constexpr std::size_t peak_factor = 2;
constexpr duration peak_interval = std::chrono::seconds(1);

} // namespace

datagram_queue::datagram_queue(datagram_transport& transport, const clock_source& time, metrics_registry& metrics,
                               std::uint64_t link_bytes_per_second)
    : m_transport(&transport), m_time(&time), m_log(get_logger("hosts")),
      m_budget({.bytes_per_second = static_cast<double>(link_bytes_per_second) * link_share,
                .burst_bytes = static_cast<double>(link_bytes_per_second) * burst_seconds}),
      m_lanes(), m_peak(&metrics.get_gauge("dragonflywell_datagram_peak_bytes_per_second")) {
    for (std::size_t index = 0; index < datagram_kinds; ++index) {
        const metric_label kind{.name = "kind", .value = std::string(datagram_kind_names.at(index))};
        const auto get_dropped = [&](const char* reason) {
            return &metrics.get_counter("dragonflywell_datagrams_dropped_total", {kind, {"reason", reason}});
        };
        lane& own = m_lanes.at(index);
        own.datagrams = &metrics.get_counter("dragonflywell_datagrams_sent_total", {kind});
        own.bytes = &metrics.get_counter("dragonflywell_datagram_bytes_total", {kind});
        own.dropped_by_size = get_dropped("too_large");
        own.dropped_by_budget = get_dropped("budget");
        own.dropped_by_socket = get_dropped("socket");
    }
}

bool datagram_queue::put(datagram_kind kind, std::string text, datagram_receivers receivers) {
    lane& own = m_lanes.at(static_cast<std::size_t>(kind));
    if (text.size() > max_datagram_bytes) {
        drop(kind, text.size(), "datagram_too_large", *own.dropped_by_size);
        return false;
    }
    const std::size_t bytes = text.size() * receivers.size();
    const bool is_digest = kind == datagram_kind::group_digest || kind == datagram_kind::intergroup_digest;
    const bool is_quota = kind == datagram_kind::quota_request || kind == datagram_kind::quota_grant ||
                          kind == datagram_kind::limit_request || kind == datagram_kind::limit_grant;
    const double max_waiting = get_bytes_per_second() * (is_quota ? max_quota_wait_seconds : max_wait_seconds);
    if (!is_digest && static_cast<double>(own.waiting_bytes + bytes) > max_waiting) {
        drop(kind, bytes, "datagram_over_budget", *own.dropped_by_budget);
        return false;
    }
    if (receivers.empty()) {
        return true;
    }
    if (own.waiting.empty()) {
        own.progress = std::max(own.progress, m_progress);
    }
    own.waiting_bytes += bytes;
    own.waiting.push_back({.text = std::move(text), .receivers = std::move(receivers)});
    return true;
}

void datagram_queue::drop(datagram_kind kind, std::size_t bytes, std::string_view event, counter& dropped) {
    dropped.add();
    log_event(event)
        .add("kind", datagram_kind_names.at(static_cast<std::size_t>(kind)))
        .add("bytes", bytes)
        .write(*m_log, spdlog::level::warn);
}

std::optional<std::size_t> datagram_queue::find_next_lane() const {
    std::optional<std::size_t> next;
    for (std::size_t index = 0; index < datagram_kinds; ++index) {
        const lane& candidate = m_lanes.at(index);
        if (!candidate.waiting.empty() && (!next || candidate.progress < m_lanes.at(*next).progress)) {
            next = index;
        }
    }
    return next;
}

std::optional<duration> datagram_queue::flush() {
    for (;;) {
        const std::optional<std::size_t> next = find_next_lane();
        if (!next) {
            return std::nullopt;
        }
        const duration wait = m_budget.get_wait(m_time->now());
        if (wait > duration::zero()) {
            return wait;
        }
        send_next(m_lanes.at(*next), *next);
    }
}

void datagram_queue::send_next(lane& from, std::size_t index) {
    waiting_datagram& datagram = from.waiting.front();
    const std::size_t bytes = datagram.text.size();
    if (m_transport->send(datagram.text, datagram.receivers.at(datagram.next_receiver))) {
        from.datagrams->add();
        from.bytes->add(bytes);
        count_bytes(bytes);
    } else {
        from.dropped_by_socket->add();
    }
    m_budget.spend(bytes, m_time->now());
    m_progress = from.progress;
    from.progress += static_cast<double>(bytes) / weights.at(index);
    from.waiting_bytes -= bytes;
    if (++datagram.next_receiver == datagram.receivers.size()) {
        from.waiting.pop_front();
    }
}

void datagram_queue::count_bytes(std::size_t bytes) {
    const steady_time now = m_time->now();
    if (now - m_second_began_at >= peak_interval) {
        m_second_began_at = now;
        m_second_bytes = 0;
    }
    m_second_bytes += bytes;
    if (static_cast<std::int64_t>(m_second_bytes) > m_peak->get()) {
        m_peak->set(static_cast<std::int64_t>(m_second_bytes));
    }
    if (m_second_bytes >= peak_factor * m_logged_peak_bytes) {
        m_logged_peak_bytes = m_second_bytes;
        log_event("datagram_peak").add("bytes_in_second", m_second_bytes).write(*m_log, spdlog::level::info);
    }
}

} // namespace dragonflywell::gossip
