#pragma once

#include <map>
#include <memory>

#include "core/rcu_cell.hpp"
#include "fleet/backend_server.hpp"

namespace dragonflywell::servers {

/// State of an engine that placement needs besides the manifest.
struct engine_state {
    /// The role that the engine reported.
    fleet::engine_role role{fleet::engine_role::mixed};
    /// False from the announcement of a role change until the change ends.
    bool takes_new_work{true};

    friend bool operator==(const engine_state&, const engine_state&) = default;
};

using engine_states = std::map<backend_server_name, engine_state>;

/// Current roles and drain states of all engines, replaced as a whole by the control thread. Thread safe.
class engine_state_table {
public:
    void set(engine_states states) { m_states.set(std::make_shared<const engine_states>(std::move(states))); }

    [[nodiscard]] std::shared_ptr<const engine_states> get() const { return m_states.get(); }

private:
    rcu_cell<engine_states> m_states{std::make_shared<const engine_states>()};
};

} // namespace dragonflywell::servers
