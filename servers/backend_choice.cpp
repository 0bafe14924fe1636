#include "servers/backend_choice.hpp"

#include "servers/request_refused.hpp"
#include "servers/thread_random.hpp"

namespace dragonflywell::servers {

const fleet::backend_server& choose_backend_server(const entry_context& context,
                                                   std::span<const fleet::backend_server* const> servers,
                                                   const std::set<backend_server_name>& tried) {
    std::vector<policy::placement_candidate> untried;
    std::vector<policy::placement_candidate> all;
    for (const fleet::backend_server* server : servers) {
        const policy::placement_candidate candidate{.server = server,
                                                    .load_tokens = context.loads.get(server->name),
                                                    .is_own_zone = server->zone == context.own_zone};
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
