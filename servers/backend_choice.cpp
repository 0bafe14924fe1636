#include "servers/backend_choice.hpp"

#include <algorithm>

#include "policy/role_preference.hpp"
#include "servers/request_refused.hpp"
#include "servers/thread_random.hpp"

namespace dragonflywell::servers {

namespace {

/// Load added to an engine whose role does not suit the work, in tokens.
constexpr std::uint64_t unsuited_role_penalty_tokens = 1000;

/// Returns the load that placement compares, or nothing when the engine takes no new work.
std::optional<std::uint64_t> get_compared_load(const entry_context& context, const engine_states& states,
                                               const backend_server_name& server, const work_requirements& work) {
    const std::uint64_t load = context.loads.get(server);
    const auto state = states.find(server);
    if (state == states.end()) {
        return load;
    }
    if (!state->second.takes_new_work) {
        return std::nullopt;
    }
    const bool is_suited = !work.demand || policy::is_preferred_role(state->second.role, *work.demand);
    return is_suited ? load : load + unsuited_role_penalty_tokens;
}

/// Removes cheap servers from the candidates unless they may get the work or no other candidate exists.
void remove_unusable_cheap_servers(const entry_context& context, std::vector<policy::placement_candidate>& candidates,
                                   const work_requirements& work) {
    policy::cheap_share share{.most = work.max_cheap_share};
    for (const policy::placement_candidate& candidate : candidates) {
        const std::uint64_t load = context.loads.get(candidate.server->name);
        share.all_tokens += load;
        share.cheap_tokens += candidate.server->is_cheap ? load : 0;
    }
    if (policy::may_use_cheap_server(work.interruptibility, share, work.tokens)) {
        return;
    }
    const auto is_cheap = [](const policy::placement_candidate& candidate) { return candidate.server->is_cheap; };
    if (!std::all_of(candidates.begin(), candidates.end(), is_cheap)) {
        std::erase_if(candidates, is_cheap);
    }
}

} // namespace

const fleet::backend_server& choose_backend_server(const entry_context& context,
                                                   std::span<const fleet::backend_server* const> servers,
                                                   const std::set<backend_server_name>& tried,
                                                   const work_requirements& work) {
    const std::shared_ptr<const engine_states> states = context.engines.get();
    std::vector<policy::placement_candidate> untried;
    std::vector<policy::placement_candidate> all;
    for (const fleet::backend_server* server : servers) {
        const std::optional<std::uint64_t> load = get_compared_load(context, *states, server->name, work);
        if (!load) {
            continue;
        }
        const policy::placement_candidate candidate{
            .server = server, .load_tokens = *load, .is_own_zone = server->zone == context.own_zone};
        all.push_back(candidate);
        if (!tried.contains(server->name)) {
            untried.push_back(candidate);
        }
    }
    std::vector<policy::placement_candidate>& candidates = untried.empty() ? all : untried;
    remove_unusable_cheap_servers(context, candidates, work);
    const std::optional<std::size_t> chosen = context.placement.choose(candidates, get_thread_random());
    if (!chosen) {
        throw request_refused(policy::refusal_reason::no_backend_server, policy::request_outcome::not_run,
                              "no backend server is available for this service or model");
    }
    return *candidates[*chosen].server;
}

coordination::window_number get_window(wall_time moment, const fleet::manifest& manifest) {
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(moment.time_since_epoch());
    return static_cast<coordination::window_number>(seconds / manifest.window_length);
}

} // namespace dragonflywell::servers
