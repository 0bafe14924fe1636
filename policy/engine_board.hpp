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
struct engine_facts {
    zone_name zone;
    fleet::engine_stage stage{fleet::engine_stage::decode};
    std::uint32_t slots{1};
    std::uint64_t memory_tokens{0};
    bool is_cheap{false};
    /// Tells apart two lives of an engine; a new one has an empty memory.
    std::int64_t started_at_ms{0};

    friend bool operator==(const engine_facts&, const engine_facts&) = default;
};

/// The urgency of what may wait for everything else.
inline constexpr std::uint32_t least_urgency = 9;

/// A prompt that an engine reads or will read.
struct prompt_job {
    /// Unique for one host.
    std::uint64_t number{};
    /// When it was sent, by this host's clock.
    steady_time sent_at{};
    /// How long the engine is expected to work on it.
    duration cost{};
    /// 0 is first, 9 last. An engine takes up a prompt only when no more urgent one waits.
    std::uint32_t urgency{least_urgency};
};

/// What one host has on one engine.
struct engine_share {
    std::vector<prompt_job> prompts;
    std::uint32_t running{0};
    /// Tokens of memory that the running requests need.
    std::uint64_t running_tokens{0};
};

/// What this host knows of the engines of one service: what they are, what it and the other hosts have sent to them,
/// and what their memories should hold. Not thread safe.
class engine_board {
public:
    /// What is known of one engine.
    struct engine_state {
        engine_facts facts;
        engine_share own;
        /// By the name of the host.
        std::map<std::string, engine_share> others;
        prefix_cache cache;
        /// When a prompt was last seen finished.
        steady_time last_finished_at{};
    };

    /// Takes the engines of the list. Those that are gone are forgotten; a restarted one is empty.
    void set_engines(const std::map<backend_server_name, engine_facts>& engines);

    void start_prompt(const backend_server_name& engine, const prompt_job& job, std::span<const cached_part> parts);
    void end_prompt(const backend_server_name& engine, std::uint64_t number, steady_time now);
    void start_run(const backend_server_name& engine, std::uint64_t tokens, std::span<const cached_part> parts);
    void end_run(const backend_server_name& engine, std::uint64_t tokens);

    /// Replaces what another host has said of its work.
    void set_other(const std::string& host, const std::map<backend_server_name, engine_share>& shares, steady_time now);
    /// Forgets a host that fell silent.
    void drop_other(const std::string& host);
    /// Notes that another host has sent a prompt of these parts.
    void touch(const backend_server_name& engine, std::span<const cached_part> parts);

    /// Returns how long a prompt of that urgency sent now would wait for those before it.
    [[nodiscard]] duration get_backlog(const backend_server_name& engine, steady_time now,
                                       std::uint32_t urgency = least_urgency) const;
    [[nodiscard]] std::uint32_t get_running(const backend_server_name& engine) const;
    [[nodiscard]] std::uint64_t get_running_tokens(const backend_server_name& engine) const;
    /// Returns the tokens at the beginning of the prompt that the engine should hold.
    [[nodiscard]] std::uint64_t get_cached_tokens(const backend_server_name& engine,
                                                  std::span<const cached_part> parts) const;

    [[nodiscard]] const std::map<backend_server_name, engine_state>& get_engines() const noexcept { return m_engines; }
    [[nodiscard]] const engine_state* find(const backend_server_name& engine) const;

private:
    std::map<backend_server_name, engine_state> m_engines;
};

} // namespace dragonflywell::policy
