#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "policy/engine_placement.hpp"
#include "servers/serving_state.hpp"

namespace dragonflywell::servers {

/// How one request sees the engines: which of them it may use, and how busy those are that this host cannot observe.
/// Used by one coroutine.
class engine_status_view {
public:
    /// `prompt_key`: equal for prompts that should use the same engines of other groups, different for others.
    /// Precondition: the state outlives the view.
    engine_status_view(const serving_state& state, const service_name& service, std::uint64_t prompt_key);

    /// Excludes an engine that has refused or failed the request, or whose limit left no room for it.
    void exclude(const backend_server_name& engine) { m_excluded.insert(engine); }

    [[nodiscard]] policy::engine_status get_status(const backend_server_name& engine) const;

    /// Returns a function that looks the status of an engine up. Precondition: the view outlives it.
    [[nodiscard]] policy::engine_status_lookup make_lookup() const;

private:
    [[nodiscard]] policy::group_load get_remote_load(const backend_server_name& engine) const;

    const serving_state* m_state;
    std::uint64_t m_prompt_key;
    /// Other groups of hosts, as known when the request arrived.
    std::map<std::string, peer_state::remote_group> m_remote_groups;
    std::set<backend_server_name> m_excluded;
};

} // namespace dragonflywell::servers
