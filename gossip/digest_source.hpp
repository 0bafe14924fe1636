#pragma once

#include <optional>

#include "servers/host_digest.hpp"

namespace dragonflywell::gossip {

/// What the digests of a host state beside its serving state.
struct digest_facts {
    /// The host leads its group: it reads the store for it and reports on it to other groups.
    bool is_group_leader{false};
    /// The store does not answer the host.
    bool is_cut_off{false};
    /// The host holds the lease for the fleet-wide duties.
    bool holds_lease{false};
    /// How far the host has read the configuration and the server list.
    servers::digest_read_position configuration;
    servers::digest_read_position servers;
    /// Where the records of the server list begin that the host misses; nothing if it misses none.
    std::optional<log_position> missing_servers_from;
    std::optional<servers::digest_recorded_usage> recorded_usage;
};

/// Provides what the digests of this host state.
class digest_source {
public:
    digest_source() = default;
    digest_source(const digest_source&) = delete;
    digest_source& operator=(const digest_source&) = delete;
    digest_source(digest_source&&) = delete;
    digest_source& operator=(digest_source&&) = delete;
    virtual ~digest_source() = default;

    [[nodiscard]] virtual digest_facts get_digest_facts() const = 0;
};

} // namespace dragonflywell::gossip
