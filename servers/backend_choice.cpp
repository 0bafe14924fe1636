#include "servers/backend_choice.hpp"

#include "policy/role_preference.hpp"
#include "servers/request_refused.hpp"
#include "servers/thread_random.hpp"

namespace dragonflywell::servers {

namespace {

/// Load that an engine in a role for other work is taken to have besides its own, in tokens.
constexpr std::uint64_t wrong_role_tokens = 1000;

/// Returns the load that placement compares, or nothing when the engine takes no new work.
std::optional<std::uint64_t> get_compared_load(const entry_context& context, const engine_states& states,
                                               const backend_server_name& server, const work_shape& work) {
    const std::uint64_t load = context.loads.get(server);
    const auto state = states.find(server);
    if (state == states.end()) {
        return load;
    }
    if (!state->second.takes_new_work) {
        return std::nullopt;
    }
    const bool is_suited = !work || policy::suits_role(state->second.role, *work);
    return is_suited ? load : load + wrong_role_tokens;
}

} // namespace

const fleet::backend_server& choose_backend_server(const entry_context& context,
                                                   std::span<const fleet::backend_server* const> servers,
                                                   const std::set<backend_server_name>& tried, const work_shape& work) {
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
    const std::vector<policy::placement_candidate>& candidates = untried.empty() ? all : untried;
    const std::optional<std::size_t> chosen = context.placement.choose(candidates, get_thread_random());
    if (!chosen) {
        throw request_refused(policy::refusal_reason::no_backend_server, policy::request_outcome::not_run,
                              "no backend server offers this now");
    }
    return *candidates[*chosen].server;
}

coordination::window_number get_window(wall_time moment, const fleet::manifest& manifest) {
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(moment.time_since_epoch());
    return static_cast<coordination::window_number>(seconds / manifest.window_length);
}

} // namespace dragonflywell::servers
