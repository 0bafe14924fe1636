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

/// What the list of servers says of an engine.
struct engine_attributes {
    zone_name zone;
    fleet::engine_stage stage{fleet::engine_stage::decode};
    std::uint32_t slots{1};
    std::uint64_t memory_tokens{0};
    bool is_cheap{false};
    /// Tells apart two lives of an engine; a new one has an empty memory.
    std::int64_t started_at_ms{0};

    friend bool operator==(const engine_attributes&, const engine_attributes&) = default;
};

/// The urgency of what may wait for everything else.
inline constexpr std::uint32_t lowest_urgency = 9;

/// A prompt that an engine reads or will read.
struct prefill_job {
    /// Unique for one host.
    std::uint64_t number{};
    /// When it was sent, by this host's clock.
    steady_time sent_at{};
    /// How long the engine is expected to work on it.
    duration cost{};
    /// 0 is first, 9 last. An engine takes up a prompt only when no more urgent one waits.
    std::uint32_t urgency{lowest_urgency};
};

/// What one host has on one engine.
struct host_engine_load {
    std::vector<prefill_job> prompts;
    std::uint32_t running{0};
    /// Tokens of memory that the running requests need.
    std::uint64_t running_tokens{0};
};

/// What this host knows of the engines of one service: what they are, what it and the other hosts have sent to them,
/// and what their memories should hold. Not thread safe.
class engine_load_tracker {
public:
    /// What is known of one engine.
    struct engine_entry {
        engine_attributes facts;
        host_engine_load own;
        /// By the name of the host.
        std::map<std::string, host_engine_load> other_hosts;
        prefix_cache cache;
        /// When a prompt was last seen finished.
        steady_time last_finished_at{};
    };

    /// Takes the engines of the list. Those that are gone are forgotten; a restarted one is empty.
    void set_engines(const std::map<backend_server_name, engine_attributes>& engines);

    void start_prefill(const backend_server_name& engine, const prefill_job& job, std::span<const prefix_block> parts);
    void end_prefill(const backend_server_name& engine, std::uint64_t number, steady_time now);
    void start_decode(const backend_server_name& engine, std::uint64_t tokens, std::span<const prefix_block> parts);
    void end_decode(const backend_server_name& engine, std::uint64_t tokens);

    /// Replaces what another host has said of its work.
    void set_host_load(const std::string& host, const std::map<backend_server_name, host_engine_load>& shares,
                       steady_time now);
    /// Forgets a host that fell silent.
    void remove_host(const std::string& host);
    /// Notes that another host has sent a prompt of these parts.
    void record_prefix_access(const backend_server_name& engine, std::span<const prefix_block> parts);

    /// Returns how long a prompt of that urgency sent now would wait for those before it.
    [[nodiscard]] duration get_backlog(const backend_server_name& engine, steady_time now,
                                       std::uint32_t urgency = lowest_urgency) const;
    [[nodiscard]] std::uint32_t get_running(const backend_server_name& engine) const;
    [[nodiscard]] std::uint64_t get_running_tokens(const backend_server_name& engine) const;
    /// Returns the tokens at the beginning of the prompt that the engine should hold.
    [[nodiscard]] std::uint64_t get_cached_tokens(const backend_server_name& engine,
                                                  std::span<const prefix_block> parts) const;

    [[nodiscard]] const std::map<backend_server_name, engine_entry>& get_engines() const noexcept { return m_engines; }
    [[nodiscard]] const engine_entry* find(const backend_server_name& engine) const;

private:
    std::map<backend_server_name, engine_entry> m_engines;
};

} // namespace dragonflywell::policy
