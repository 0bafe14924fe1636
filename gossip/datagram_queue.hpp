#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/clock.hpp"
#include "core/log.hpp"
#include "core/metrics.hpp"
#include "gossip/datagram.hpp"
#include "gossip/datagram_transport.hpp"
#include "policy/send_budget.hpp"

namespace dragonflywell::gossip {

using datagram_receivers = std::vector<boost::asio::ip::udp::endpoint>;

/// Sends datagrams to other hosts within a share of this host's link, so that requests and responses never wait long
/// behind them. Counts what it sends and what it does not send, by kind.
///
/// While several kinds wait, what others need in order to keep a rule (records of servers, changes of the
/// configuration) gets most of the share, then the digests to the group; no kind waits for ever. Not thread safe.
class datagram_queue {
public:
    /// `link_bytes_per_second`: what the link of this host carries. Preconditions: it is positive; transport, clock and
    /// metrics outlive the queue.
    datagram_queue(datagram_transport& transport, const clock_source& time, metrics_registry& metrics,
                   std::uint64_t link_bytes_per_second);

    /// Adds a datagram for each receiver. Returns false, and counts it, if the text exceeds `max_datagram_bytes`, or if
    /// it is too much to be sent in time: the receivers then read the store.
    bool put(datagram_kind kind, std::string text, datagram_receivers receivers);

    /// Returns whether datagrams of a kind wait. Precondition of digests: none of their kind waits, so that a digest
    /// is never older than the time to send one.
    [[nodiscard]] bool is_waiting(datagram_kind kind) const { return !get_lane(kind).waiting.empty(); }

    /// Sends what the budget permits now. Returns the time until it permits more, or nothing if none waits.
    std::optional<duration> flush();

    /// Returns the rate within which this host sends.
    [[nodiscard]] double get_bytes_per_second() const { return m_budget.get_options().bytes_per_second; }

private:
    struct waiting_datagram {
        std::string text;
        datagram_receivers receivers;
        std::size_t next_receiver{0};
    };

    /// The datagrams of one kind.
    struct lane {
        std::deque<waiting_datagram> waiting;
        std::size_t waiting_bytes{0};
        /// Bytes sent, divided by the weight of the kind. The lane with the fewest is served next.
        double progress{0};
        counter* datagrams{};
        counter* bytes{};
        counter* dropped_by_size{};
        counter* dropped_by_budget{};
        counter* dropped_by_socket{};
    };

    [[nodiscard]] const lane& get_lane(datagram_kind kind) const { return m_lanes.at(static_cast<std::size_t>(kind)); }
    void drop(datagram_kind kind, std::size_t bytes, std::string_view event, counter& dropped);
    /// Returns the index of the lane that is served next, or nothing if none waits.
    [[nodiscard]] std::optional<std::size_t> find_next_lane() const;
    void send_next(lane& from, std::size_t index);
    /// Adds to the bytes of the present second. Logs and exports the highest total of a second.
    void count_bytes(std::size_t bytes);

    datagram_transport* m_transport;
    const clock_source* m_time;
    std::shared_ptr<spdlog::logger> m_log;
    policy::send_budget m_budget;
    std::array<lane, datagram_kinds> m_lanes;
    /// Progress of the lane that was served last. A lane that begins to wait starts there, so that it gets no credit
    /// for the time in which it had nothing to send.
    double m_progress{0};
    gauge* m_peak;
    steady_time m_second_began_at{};
    std::size_t m_second_bytes{0};
    /// The highest total of a second that was logged.
    std::size_t m_logged_peak_bytes{8192};
};

} // namespace dragonflywell::gossip
