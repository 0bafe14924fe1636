#pragma once

#include <array>
#include <boost/asio/ip/udp.hpp>
#include <cstdint>
#include <span>
#include <string_view>

#include "core/clock.hpp"
#include "core/log.hpp"
#include "core/metrics.hpp"

namespace dragonflywell::daemon {

/// What a datagram to other hosts contains.
enum class datagram_kind : std::uint8_t { group_digest, intergroup_digest, records, configuration };

/// Largest datagram that is sent.
constexpr std::size_t max_datagram_bytes = 60'000;

/// Sends datagrams to other hosts and counts what it sends and what it cannot send, by kind. Used on one event loop.
class datagram_sender {
public:
    /// Precondition: socket, clock and metrics outlive the sender. The socket is non-blocking.
    datagram_sender(boost::asio::ip::udp::socket& socket, const clock_source& time, metrics_registry& metrics);

    /// Sends the text to each receiver. A text that exceeds `max_datagram_bytes` is not sent, which is logged and
    /// counted. A datagram that the socket does not take is counted; the next one replaces it, or its receiver reads
    /// the store. Does not throw.
    void send(datagram_kind kind, std::string_view text, std::span<const boost::asio::ip::udp::endpoint> receivers);

private:
    struct kind_counters {
        counter* datagrams{};
        counter* bytes{};
        counter* dropped_by_size{};
        counter* dropped_by_socket{};
    };
    static constexpr std::size_t kind_count = 4;

    /// Adds to the bytes of the present second. Logs and exports the highest total of a second.
    void count_bytes(std::size_t bytes);

    boost::asio::ip::udp::socket* m_socket;
    const clock_source* m_time;
    std::shared_ptr<spdlog::logger> m_log;
    std::array<kind_counters, kind_count> m_counters;
    gauge* m_peak;
    steady_time m_second_began_at{};
    std::size_t m_second_bytes{0};
    /// The highest total of a second that was logged.
    std::size_t m_logged_peak_bytes{8192};
};

} // namespace dragonflywell::daemon
