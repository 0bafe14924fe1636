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
#include "fleet/server_record.hpp"
#include "policy/prefix_cache.hpp"
#include "policy/quarantine.hpp"
#include "policy/usage_counter.hpp"

namespace dragonflywell::servers {

/// A prompt that an engine reads for the sender.
struct digest_prompt {
    std::uint64_t number{};
    /// How long ago it was sent.
    duration age{};
    duration cost{};
    std::uint32_t urgency{};

    friend bool operator==(const digest_prompt&, const digest_prompt&) = default;
};

/// What the sender has on one engine.
struct digest_engine {
    std::uint32_t running{0};
    std::uint64_t running_tokens{0};
    std::vector<digest_prompt> prompts;

    friend bool operator==(const digest_engine&, const digest_engine&) = default;
};

/// A prompt that was sent to an engine since the last digest: what it will have in its cache.
struct digest_prefix_access {
    backend_server_name engine;
    std::vector<policy::prefix_block> parts;

    friend bool operator==(const digest_prefix_access&, const digest_prefix_access&) = default;
};

/// An engine that the sender has ordered to another stage.
struct digest_transition {
    fleet::engine_stage stage{fleet::engine_stage::decode};
    /// How much longer the engine is left alone unless the list says that it has changed.
    duration remaining{};

    friend bool operator==(const digest_transition&, const digest_transition&) = default;
};

/// What the speaker of a group of hosts tells the other groups of its engines, for one service.
struct group_summary {
    /// How long a prompt waits at an engine that reads prompts, on average.
    duration backlog{};
    /// Part of their room that engines which generate have in use, 0 to 1 and above.
    double utilisation{0};
    /// Requests that generate.
    std::uint32_t running{0};

    friend bool operator==(const group_summary&, const group_summary&) = default;
};

/// How far the sender has read what the store lists, so that others need not read it themselves.
struct digest_read_position {
    /// Offset behind the last record taken; nothing before the first listing.
    std::optional<std::uint64_t> end;
    /// How long ago the store was read.
    duration age{};

    friend bool operator==(const digest_read_position&, const digest_read_position&) = default;
};

/// A life of a host's process.
struct host_incarnation {
    std::string host;
    std::uint64_t incarnation{};

    friend auto operator<=>(const host_incarnation&, const host_incarnation&) = default;
};

/// What the sender has recorded for others of its group, so that they need not do it themselves.
struct digest_recorded_usage {
    std::int64_t window{};
    std::vector<host_incarnation> incarnations;

    friend bool operator==(const digest_recorded_usage&, const digest_recorded_usage&) = default;
};

/// What one host tells the others of itself. A newer digest replaces the older one, but for the touches, which are
/// news.
struct host_digest {
    std::string host;
    zone_name zone;
    /// Names the sender's group of hosts.
    std::string group;
    std::uint64_t incarnation{};
    /// Grows with each digest of an incarnation; a datagram may overtake another.
    std::uint64_t sequence{};
    /// The time of day as the sender believes it to be.
    wall_time corrected_time;
    bool is_stopping{false};
    std::map<backend_server_name, digest_engine> engines;
    /// Requests on instances of plain services.
    std::map<backend_server_name, std::uint32_t> instances;
    std::vector<digest_prefix_access> prefix_accesses;
    std::map<backend_server_name, digest_transition> transitions;
    /// Servers that the sender leaves alone since they failed or refused, each with the time that is left.
    std::map<backend_server_name, duration> ejections;
    /// What reading the prompts of all requests since the sender's start costs engines, by service.
    std::map<service_name, duration> prefill_demand;
    /// What the sender has counted in its newest windows; empty in most digests, which come too often to carry it.
    std::map<std::int64_t, policy::window_counts> usage;
    /// Where the sender speaks for its group: whose counts of the newest window that is over it has recorded.
    std::optional<digest_recorded_usage> recorded_usage;
    /// Where the sender speaks for its group: what other groups should know of it.
    std::map<service_name, group_summary> summaries;
    /// Deaths of servers that the sender knows of and holds against requests; empty in most digests, too.
    std::vector<policy::engine_crash> deaths;
    /// The sender holds the lease under which duties are done.
    bool holds_lease{false};
    /// Where the sender reads for its group.
    std::optional<digest_read_position> configuration;
    std::optional<digest_read_position> servers;

    friend bool operator==(const host_digest&, const host_digest&) = default;
};

/// Encodes a digest for one datagram. Thread safe.
[[nodiscard]] std::string encode_host_digest(const host_digest& digest);
/// Throws `malformed_message_error`. Thread safe.
[[nodiscard]] host_digest decode_host_digest(const boost::json::object& source);
[[nodiscard]] host_digest decode_host_digest(std::string_view text);

} // namespace dragonflywell::servers
