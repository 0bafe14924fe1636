#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "core/clock.hpp"
#include "core/identifiers.hpp"
#include "fleet/server_record.hpp"
#include "policy/prefix_cache.hpp"
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
struct digest_touch {
    backend_server_name engine;
    std::vector<policy::cached_part> parts;

    friend bool operator==(const digest_touch&, const digest_touch&) = default;
};

/// An engine that the sender has ordered to another stage.
struct digest_transition {
    fleet::engine_stage stage{fleet::engine_stage::decode};
    /// How much longer the engine is left alone unless the list says that it has changed.
    duration left{};

    friend bool operator==(const digest_transition&, const digest_transition&) = default;
};

/// What one host tells the others of itself. A newer digest replaces the older one, but for the touches, which are
/// news.
struct host_digest {
    std::string host;
    std::uint64_t incarnation{};
    /// Grows with each digest of an incarnation; a datagram may overtake another.
    std::uint64_t sequence{};
    /// The time of day as the sender believes it to be.
    wall_time true_time;
    bool is_stopping{false};
    std::map<backend_server_name, digest_engine> engines;
    /// Requests on instances of plain services.
    std::map<backend_server_name, std::uint32_t> instances;
    std::vector<digest_touch> touches;
    std::map<backend_server_name, digest_transition> transitions;
    /// What reading the prompts of all requests since the sender's start costs engines, by service.
    std::map<service_name, duration> read_demand;
    /// What the sender has counted in its newest windows; empty in most digests, which come too often to carry it.
    std::map<std::int64_t, policy::window_counts> usage;

    friend bool operator==(const host_digest&, const host_digest&) = default;
};

/// Encodes a digest for one datagram. Thread safe.
[[nodiscard]] std::string encode_host_digest(const host_digest& digest);
/// Throws `malformed_message_error`. Thread safe.
[[nodiscard]] host_digest decode_host_digest(std::string_view text);

} // namespace dragonflywell::servers
