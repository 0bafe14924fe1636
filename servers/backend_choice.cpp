#include "servers/backend_choice.hpp"

#include "servers/request_refused.hpp"

namespace dragonflywell::servers {

namespace {

std::mt19937_64& get_thread_random() {
    thread_local std::mt19937_64 random(std::random_device{}());
    return random;
}

/// Returns whether a role change has been announced for the engine.
bool is_leaving(const engine_states& states, const backend_server_name& server) {
    const auto found = states.find(server);
    return found != states.end() && !found->second.takes_new_work;
}

} // namespace

const fleet::backend_server& choose_backend_server(const entry_context& context, const fleet::manifest& manifest,
                                                   const std::set<backend_server_name>& tried,
                                                   const std::function<bool(const fleet::backend_server&)>& fits) {
    const std::shared_ptr<const engine_states> states = context.engines.get();
    std::vector<policy::placement_candidate> untried;
    std::vector<policy::placement_candidate> all;
    for (const auto& [name, server] : manifest.backend_servers) {
        if (!fits(server) || is_leaving(*states, name)) {
            continue;
        }
        const policy::placement_candidate candidate{
            .server = &server, .load_tokens = context.loads.get(name), .is_own_zone = server.zone == context.own_zone};
        all.push_back(candidate);
        if (!tried.contains(name)) {
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
