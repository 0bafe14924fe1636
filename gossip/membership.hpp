#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/log_event.hpp"
#include "gossip/datagram_queue.hpp"
#include "policy/group_leadership.hpp"
#include "policy/host_groups.hpp"
#include "policy/transit_estimator.hpp"
#include "servers/host_digest.hpp"

namespace dragonflywell::gossip {

/// The other hosts of the fleet: as listed in the store, and as known from their digests. Decides which of them are
/// reachable and whether this host leads its group. Performs no I/O. Not thread safe.
class membership {
public:
    /// `groups` is kept up to date with the listed hosts and outlives the object.
    membership(std::string own_host, policy::host_groups& groups);

    /// Adds or updates a listed host. Call `update_groups` after the last one.
    void add(const std::string& host, const zone_name& zone, const boost::asio::ip::udp::endpoint& address);
    void remove(const std::string& host) { m_others.erase(host); }
    /// Divides the listed hosts into groups. Returns the hosts that are not in the group of this host.
    std::vector<std::string> update_groups();

    /// What is known of the sender of an accepted digest.
    struct sender {
        bool is_own_group{true};
        /// Whether the host has started, restarted or been unreachable before this digest. It may have missed what
        /// others announced.
        bool is_newcomer{false};
        /// How much longer than usual the digest was on the way.
        duration delay{};
    };
    /// Applies the header of a digest. Returns nothing for a digest of an unlisted host, of an earlier incarnation, or
    /// older than one that was accepted.
    std::optional<sender> accept(const servers::host_digest& digest, wall_time corrected_now, steady_time now);

    /// Returns how much longer than usual a datagram that a host sent at that time was on the way; zero for an unknown
    /// host. `sent_at`: by the sender's corrected clock.
    duration measure_delay(const std::string& host, wall_time sent_at, wall_time corrected_now, steady_time now);

    /// A host that has become unreachable.
    struct lost_host {
        std::string name;
        bool is_own_group{true};
    };
    /// Returns the hosts that have become unreachable since the last call.
    std::vector<lost_host> take_lost(steady_time now);
    /// Returns the hosts of the group that have been unreachable for longer than `delay` since they were lost; each one
    /// once.
    std::vector<std::string> take_dead(steady_time now, duration delay);

    /// Returns whether this host leads its group. `own.host` is the name of this host. With `without`, the answer
    /// leaves that host out.
    [[nodiscard]] bool leads_group(const policy::leader_candidate& own, std::string_view without = {}) const;

    /// Adds to a log line why each host before this one by name does not lead.
    void describe_absent(log_event& line) const;

    [[nodiscard]] std::size_t count_listed() const noexcept { return m_others.size(); }
    [[nodiscard]] std::size_t count_reachable() const;
    [[nodiscard]] bool has_remote_groups() const;
    /// Returns the address of a listed host; nothing for another one.
    [[nodiscard]] std::optional<boost::asio::ip::udp::endpoint> find_address(const std::string& host) const;
    /// Returns the addresses of the other hosts of the group, or those of the hosts of other groups.
    [[nodiscard]] datagram_receivers get_receivers(bool is_own_group) const;

    /// Returns how far the clocks of the reachable hosts are ahead of this host's.
    [[nodiscard]] std::vector<duration> get_clock_offsets() const;
    /// Adapts what is known of the clocks of others after this host's clock was corrected.
    void on_clock_corrected(duration by);

private:
    struct other_host {
        boost::asio::ip::udp::endpoint address;
        zone_name zone;
        bool is_own_group{true};
        bool is_stopping{false};
        bool is_cut_off{false};
        policy::host_capacity capacity;
        std::uint64_t incarnation{0};
        std::uint64_t sequence{0};
        std::optional<steady_time> last_received_at;
        /// When a host of the group timed out; absent while it is reachable.
        std::optional<steady_time> timed_out_at;
        /// How far its corrected time of day is ahead of this host's.
        duration clock_offset{};
        policy::transit_estimator transit;
    };

    [[nodiscard]] static std::string_view get_absence(const other_host& other);

    std::string m_own_host;
    policy::host_groups* m_groups;
    std::map<std::string, other_host> m_others;
};

} // namespace dragonflywell::gossip
