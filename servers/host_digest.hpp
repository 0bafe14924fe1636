#pragma once

#include <boost/json/object.hpp>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/clock.hpp"
#include "core/identifiers.hpp"
#include "core/log_position.hpp"
#include "fleet/server_record.hpp"
#include "policy/group_leadership.hpp"
#include "policy/group_load.hpp"
#include "policy/part_quarantine.hpp"
#include "policy/prefix_cache.hpp"
#include "policy/quarantine.hpp"
#include "policy/server_limit_report.hpp"
#include "policy/usage_counter.hpp"
#include "servers/server_speed_digest.hpp"

namespace dragonflywell::servers {

/// A prefill that the sender has in flight on an engine.
struct digest_prompt {
    std::uint64_t number{};
    /// Time since the prompt was sent.
    duration age{};
    duration cost{};
    std::uint32_t urgency{};

    friend bool operator==(const digest_prompt&, const digest_prompt&) = default;
};

/// In-flight load of the sender on one engine.
struct digest_engine {
    std::uint32_t running{0};
    std::uint64_t running_tokens{0};
    std::vector<digest_prompt> prompts;

    friend bool operator==(const digest_engine&, const digest_engine&) = default;
};

/// A prompt that was sent to an engine since the last digest, and which the engine will therefore have in its prefix
/// cache.
struct digest_prefix_access {
    backend_server_name engine;
    std::vector<policy::prefix_block> parts;

    friend bool operator==(const digest_prefix_access&, const digest_prefix_access&) = default;
};

/// An engine that the sender has ordered to change its stage.
struct digest_transition {
    fleet::engine_stage stage{fleet::engine_stage::decode};
    /// Remaining time during which the engine gets no work unless the list shows the new stage.
    duration remaining{};

    friend bool operator==(const digest_transition&, const digest_transition&) = default;
};

/// How far the sender has read the store, so that the hosts of its group need not read the store themselves.
struct digest_read_position {
    /// Position after the last record that was applied; nothing before the first listing of the store's present era.
    std::optional<log_position> end;
    /// Time since the store was read.
    duration age{};
    /// Identifies what the sender holds at this position; 0 if it does not say.
    std::uint64_t checksum{0};

    friend bool operator==(const digest_read_position&, const digest_read_position&) = default;
};

/// One incarnation of the process of a host.
struct host_incarnation {
    std::string host;
    std::uint64_t incarnation{};

    friend auto operator<=>(const host_incarnation&, const host_incarnation&) = default;
};

/// Usage that the sender has recorded for other hosts of its group, so that they need not record it themselves.
struct digest_recorded_usage {
    std::int64_t window{};
    std::vector<host_incarnation> incarnations;
    /// Era of the store in which it is recorded.
    std::uint64_t era{};

    friend bool operator==(const digest_recorded_usage&, const digest_recorded_usage&) = default;
};

/// State that a host sends to the others. A newer digest replaces the older one, except for `prefix_accesses`, which
/// are sent only once.
struct host_digest {
    std::string host;
    zone_name zone;
    /// Name of the group that the sender is in.
    std::string group;
    std::uint64_t incarnation{};
    /// Increases with each digest of an incarnation, because datagrams may arrive out of order.
    std::uint64_t sequence{};
    /// Time of day as the sender has corrected it.
    wall_time corrected_time;
    /// What the sender can bear, if it states it.
    policy::host_capacity capacity;
    bool is_stopping{false};
    /// Whether the store does not answer the sender.
    bool is_cut_off{false};
    std::map<backend_server_name, digest_engine> engines;
    /// In-flight requests on instances of plain services.
    std::map<backend_server_name, std::uint32_t> instances;
    std::vector<digest_prefix_access> prefix_accesses;
    std::map<backend_server_name, digest_transition> transitions;
    /// Servers that the sender has ejected after failures or refusals, each with the remaining time.
    std::map<backend_server_name, duration> ejections;
    /// Total prefill time of the prompts of all requests since the start of the sender, by service.
    std::map<service_name, duration> prefill_demand;
    /// Usage counts of the sender in its newest windows; empty in most digests, because digests are too frequent to
    /// carry it each time.
    std::map<std::int64_t, policy::window_counts> usage;
    /// Set by a group leader: the incarnations whose usage it has recorded for the newest completed window.
    std::optional<digest_recorded_usage> recorded_usage;
    /// Set by a group leader: the loads of its group, for other groups.
    std::map<service_name, policy::group_load> loads;
    /// Server crashes that the sender knows and attributes to requests; empty in most digests, too.
    std::vector<policy::engine_crash> crashes;
    /// Crashes with suspected prompt parts that the sender knows, and parts that were cleared; empty in most digests.
    std::vector<policy::part_crash> part_crashes;
    std::vector<policy::part_clearance> part_clearances;
    /// Whether the sender holds the lease for the fleet-wide duties.
    bool holds_lease{false};
    /// Set by a host that reads the store for its group: read positions of the configuration and of the server list.
    std::optional<digest_read_position> configuration;
    std::optional<digest_read_position> servers;
    /// Set by a host that misses records of the server list: where they begin. The leader of its group sends them
    /// again.
    std::optional<log_position> missing_servers_from;
    /// What the sender has observed of the speeds of servers; empty in most digests.
    digest_speeds speeds;
    /// What the sender knows of the limits that servers have named; empty in most digests.
    std::vector<policy::server_limit_report> limits;

    friend bool operator==(const host_digest&, const host_digest&) = default;
};

/// Returns by how many bytes an item makes the encoded digest longer, at most. Thread safe.
[[nodiscard]] std::size_t get_encoded_size(const digest_prefix_access& access);
[[nodiscard]] std::size_t get_encoded_size(const policy::engine_crash& crash);
[[nodiscard]] std::size_t get_encoded_size(const policy::part_crash& crash);
[[nodiscard]] std::size_t get_encoded_size(const policy::part_clearance& clearance);
[[nodiscard]] std::size_t get_encoded_size(const policy::server_limit_report& report);

/// Encodes a digest for one datagram. Thread safe.
[[nodiscard]] std::string encode_host_digest(const host_digest& digest);
/// Throws `malformed_message_error`. Thread safe.
[[nodiscard]] host_digest decode_host_digest(const boost::json::object& source);
[[nodiscard]] host_digest decode_host_digest(std::string_view text);

} // namespace dragonflywell::servers
