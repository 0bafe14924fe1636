#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "core/clock.hpp"
#include "core/identifiers.hpp"
#include "fleet/server_record.hpp"
#include "policy/prefix_cache.hpp"

namespace dragonflywell::policy {

/// Attributes of an engine from the server list.
struct engine_attributes {
    zone_name zone;
    fleet::engine_stage stage{fleet::engine_stage::decode};
    std::uint32_t slots{1};
    std::uint64_t memory_tokens{0};
    bool is_cheap{false};
    /// Identifies one run of the engine's process; a restarted engine has an empty cache.
    std::int64_t started_at_ms{0};

    friend bool operator==(const engine_attributes&, const engine_attributes&) = default;
};

/// Urgency of work that everything else goes before.
inline constexpr std::uint32_t lowest_urgency = 9;

/// A prompt that waits for its prefill on an engine, or is in it.
struct prefill_job {
    /// Unique within the host that sent it.
    std::uint64_t number{};
    /// When it was sent, by this host's clock.
    steady_time sent_at{};
    /// Expected duration of the prefill.
    duration cost{};
    /// 0 is first, 9 last. An engine starts a prompt only when no more urgent one waits.
    std::uint32_t urgency{lowest_urgency};
};

/// Load that one host has put on one engine.
struct host_engine_load {
    std::vector<prefill_job> prompts;
    std::uint32_t running{0};
    /// KV cache that the running requests need, in tokens.
    std::uint64_t running_tokens{0};
};

/// Tracks the engines of one service: their attributes, the load that this host and the other hosts have put on them,
/// and the estimated content of their prefix caches. Methods that name an unknown engine do nothing, or return zero or
/// null. Not thread safe.
class engine_load_tracker {
public:
    /// Attributes, load and estimated cache of one engine.
    struct engine_entry {
        engine_attributes attributes;
        host_engine_load own;
        /// Load by the name of the other host.
        std::map<std::string, host_engine_load> other_hosts;
        prefix_cache cache;
        /// When a prefill was last observed to end.
        steady_time last_finished_at{};
    };

    /// Replaces the set of engines. Engines that are not in the map are removed; the cache of a restarted one is
    /// cleared.
    void set_engines(const std::map<backend_server_name, engine_attributes>& engines);

    void start_prefill(const backend_server_name& engine, const prefill_job& job, std::span<const prefix_block> blocks);
    void end_prefill(const backend_server_name& engine, std::uint64_t number, steady_time now);
    void start_decode(const backend_server_name& engine, std::uint64_t tokens, std::span<const prefix_block> blocks);
    void end_decode(const backend_server_name& engine, std::uint64_t tokens);

    /// Replaces the load that another host has reported. Engines without an entry in `shares` have no load from it.
    void set_host_load(const std::string& host, const std::map<backend_server_name, host_engine_load>& shares,
                       steady_time now);
    /// Removes the load of a host that has become unresponsive.
    void remove_host(const std::string& host);
    /// Records that another host has sent a prompt with these prefix blocks to the engine.
    void record_prefix_access(const backend_server_name& engine, std::span<const prefix_block> blocks);

    /// Returns how long a prompt of the given urgency that is sent now would wait for the prompts before it.
    [[nodiscard]] duration get_backlog(const backend_server_name& engine, steady_time now,
                                       std::uint32_t urgency = lowest_urgency) const;
    [[nodiscard]] std::uint32_t get_running(const backend_server_name& engine) const;
    /// Requests that generate on an engine, and the KV cache that they need.
    struct running_load {
        std::uint32_t requests{0};
        std::uint64_t tokens{0};
    };
    [[nodiscard]] static running_load get_running_load(const engine_entry& engine);
    [[nodiscard]] static duration get_backlog(const engine_entry& engine, steady_time now, std::uint32_t urgency);
    /// Returns how many prompts wait for their prefill on the engine or are in it.
    [[nodiscard]] std::uint32_t get_prompts(const backend_server_name& engine) const;
    [[nodiscard]] std::uint64_t get_running_tokens(const backend_server_name& engine) const;
    /// Returns the estimated length of the prompt's prefix in the engine's cache, in tokens.
    [[nodiscard]] std::uint64_t get_cached_tokens(const backend_server_name& engine,
                                                  std::span<const prefix_block> blocks) const;

    [[nodiscard]] const std::map<backend_server_name, engine_entry>& get_engines() const noexcept { return m_engines; }
    [[nodiscard]] const engine_entry* find(const backend_server_name& engine) const;

private:
    std::map<backend_server_name, engine_entry> m_engines;
};

} // namespace dragonflywell::policy
