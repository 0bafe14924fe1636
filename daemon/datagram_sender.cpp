#include "daemon/datagram_sender.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/system/error_code.hpp>
#include <string>

#include "core/log_event.hpp"

namespace dragonflywell::daemon {

namespace {

constexpr std::array<std::string_view, 4> kind_names{"group_digest", "intergroup_digest", "records", "configuration"};

} // namespace

datagram_sender::datagram_sender(boost::asio::ip::udp::socket& socket, metrics_registry& metrics)
    : m_socket(&socket), m_log(get_logger("hosts")), m_counters() {
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
    }
}

} // namespace dragonflywell::daemon
