#include "daemon/datagram_sender.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/system/error_code.hpp>
#include <string>

#include "core/log_event.hpp"

namespace dragonflywell::daemon {

namespace {

constexpr std::array<std::string_view, 4> kind_names{"group_digest", "intergroup_digest", "records", "configuration"};

/// A peak is logged when it exceeds the last logged one by this factor, so that a host logs few of them.
constexpr std::size_t peak_factor = 2;
constexpr duration peak_interval = std::chrono::seconds(1);

} // namespace

datagram_sender::datagram_sender(boost::asio::ip::udp::socket& socket, const clock_source& time,
                                 metrics_registry& metrics)
    : m_socket(&socket), m_time(&time), m_log(get_logger("hosts")), m_counters(),
      m_peak(&metrics.get_gauge("dragonflywell_datagram_peak_bytes_per_second")) {
    for (std::size_t index = 0; index < kind_count; ++index) {
        const metric_label kind{.name = "kind", .value = std::string(kind_names.at(index))};
        m_counters.at(index) = {.datagrams = &metrics.get_counter("dragonflywell_datagrams_sent_total", {kind}),
                                .bytes = &metrics.get_counter("dragonflywell_datagram_bytes_total", {kind}),
                                .dropped_by_size = &metrics.get_counter("dragonflywell_datagrams_dropped_total",
                                                                        {kind, {"reason", "too_large"}}),
                                .dropped_by_socket = &metrics.get_counter("dragonflywell_datagrams_dropped_total",
                                                                          {kind, {"reason", "socket"}})};
    }
}

void datagram_sender::send(datagram_kind kind, std::string_view text,
                           std::span<const boost::asio::ip::udp::endpoint> receivers) {
    const auto index = static_cast<std::size_t>(kind);
    const kind_counters& counters = m_counters.at(index);
    if (text.size() > max_datagram_bytes) {
        counters.dropped_by_size->add();
        log_event("datagram_too_large")
            .add("kind", kind_names.at(index))
            .add("bytes", text.size())
            .write(*m_log, spdlog::level::warn);
        return;
    }
    for (const boost::asio::ip::udp::endpoint& receiver : receivers) {
        boost::system::error_code fault;
        m_socket->send_to(boost::asio::buffer(text), receiver, 0, fault);
        if (fault) {
            counters.dropped_by_socket->add();
            continue;
        }
        counters.datagrams->add();
        counters.bytes->add(text.size());
        count_bytes(text.size());
    }
}

void datagram_sender::count_bytes(std::size_t bytes) {
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

} // namespace dragonflywell::daemon
