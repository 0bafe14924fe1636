#include "servers/engine_status_view.hpp"

namespace dragonflywell::servers {

namespace {

/// Penalties on an engine of which it was not confirmed lately that it takes new work: one that was confirmed goes
/// before it unless that one is busy.
constexpr duration uncertain_backlog_penalty = std::chrono::milliseconds(100);
constexpr double uncertain_utilisation_penalty = 0.3;

} // namespace

engine_status_view::engine_status_view(const serving_state& state, const service_name& service,
                                       std::uint64_t prompt_key)
    : m_state(&state), m_prompt_key(prompt_key), m_remote_groups(state.peers.get_remote_groups(service)) {}

policy::engine_status_lookup engine_status_view::make_lookup() const {
    return [this](const backend_server_name& engine) { return get_status(engine); };
}

policy::engine_status engine_status_view::get_status(const backend_server_name& engine) const {
    if (m_excluded.contains(engine) || !m_state->may_get_work(engine) || !m_state->limits.has_room(engine)) {
        return {.usability = policy::engine_usability::unusable};
    }
    const bool is_healthy = m_state->health.is_usable(engine, m_state->time.now()) && !m_state->is_degraded(engine);
    policy::engine_status status{.usability = is_healthy ? policy::engine_usability::healthy
                                                         : policy::engine_usability::degraded};
    if (m_state->eligibility.is_uncertain(engine, m_state->time.now())) {
        status.unobserved_backlog = uncertain_backlog_penalty;
        status.unobserved_utilisation = uncertain_utilisation_penalty;
    }
    if (m_state->is_own_group_server(engine)) {
        return status;
    }
    policy::add_remote_load(status, get_remote_load(engine), engine, m_prompt_key);
    return status;
}

policy::group_load engine_status_view::get_remote_load(const backend_server_name& engine) const {
    const fleet::listed_server* listed = m_state->eligibility.get_list().find(engine);
    for (const auto& [name, group] : m_remote_groups) {
        if (listed != nullptr && group.zone == listed->record.zone) {
            return group.load;
        }
    }
    return policy::get_unknown_group_load();
}

} // namespace dragonflywell::servers
