#pragma once

#include <optional>

#include "gossip/datagram_queue.hpp"
#include "gossip/digest_builder.hpp"

namespace dragonflywell::gossip {

/// Decides when digests are sent, and to whom.
///
/// The hosts of the group get a digest soon after each change and at each heartbeat, not faster than the queue sends
/// them. The hosts of other groups get one from the leader of each group, in rounds: a few hosts at a time, spread over
/// the interval of the heartbeats, each with a digest that was brought up to date. A round begins after the one before
/// it has ended, so what this costs a host has a bound that does not depend on what happens in the fleet. Not thread
/// safe.
class digest_sender {
public:
    /// Preconditions: all references outlive the sender.
    digest_sender(servers::serving_state& state, const digest_source& source, digest_builder& builder,
                  datagram_queue& queue, metrics_registry& metrics);

    /// Sets the hosts of the group and those of other groups.
    void set_receivers(datagram_receivers group, datagram_receivers remote);

    /// Schedules a digest to the group that covers this change and those in a short time after it. Returns false if
    /// one was scheduled already.
    bool note_change();
    /// Schedules a heartbeat to the group and, from a group leader or the holder of the lease, to other groups.
    void note_heartbeat();

    /// Sends what is due. Returns the time until it has to be called again, or nothing if there is nothing to send.
    std::optional<duration> run();

    static constexpr duration heartbeat_interval{std::chrono::milliseconds(500)};

private:
    /// A digest on its way to the hosts of other groups.
    struct round {
        servers::host_digest digest;
        datagram_receivers receivers;
        std::size_t next_receiver{0};
        std::size_t receivers_at_once{0};
        steady_time next_at{};
    };

    void send_to_group();
    void begin_round();
    void continue_round(steady_time now);
    [[nodiscard]] std::size_t get_max_intergroup_bytes() const;
    void discard_old_announcements(steady_time now);
    [[nodiscard]] std::optional<duration> get_next_wait(std::optional<duration> queue_wait) const;

    servers::serving_state* m_state;
    const digest_source* m_source;
    digest_builder* m_builder;
    datagram_queue* m_queue;
    gauge* m_dropped_announcements;
    counter* m_delayed;
    datagram_receivers m_group;
    datagram_receivers m_remote;
    std::optional<steady_time> m_change_due_at;
    bool m_is_heartbeat_due{false};
    bool m_is_round_due{false};
    /// The round that is due tells of a stage change, which all hosts should know at once.
    bool m_is_round_urgent{false};
    std::optional<round> m_round;
};

} // namespace dragonflywell::gossip
