#include "fleet_model/modelled_engines.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <map>

namespace dragonflywell::fleet_model {

namespace {

using policy::engine_state;

constexpr double draining_part = 0.5;

void enter(policy::planned_engine& engine, engine_state state) {
    engine.state = state;
    engine.in_state = duration::zero();
}

} // namespace

modelled_engines::modelled_engines(const deployment& fleet, const role_split& start) {
    for (std::uint32_t index = 0; index < fleet.engines; ++index) {
        const int place = static_cast<int>(index);
        fleet::engine_role role = fleet::engine_role::mixed;
        if (place < start.prefill) {
            role = fleet::engine_role::prefill;
        } else if (place < start.prefill + start.decode) {
            role = fleet::engine_role::decode;
        }
        m_engines.push_back({.name = backend_server_name(fmt::format("e{:02}", index)),
                             .zone = zone_name(fmt::format("z{}", index % fleet.zones)),
                             .role = role,
                             .state = engine_state::serving,
                             .target = {},
                             .in_state = {},
                             .units_per_second = fleet.units_per_engine});
    }
}

void modelled_engines::take(std::span<const policy::role_order> orders) {
    for (const policy::role_order& order : orders) {
        for (policy::planned_engine& engine : m_engines) {
            if (engine.name == order.engine && engine.state == engine_state::serving && engine.role != order.to) {
                engine.target = order.to;
                enter(engine, engine_state::draining);
                ++m_changes;
            }
        }
    }
}

void modelled_engines::fail_engine() {
    std::map<fleet::engine_role, int> counts;
    for (const policy::planned_engine& engine : m_engines) {
        ++counts[engine.role];
    }
    const auto rank = [&](const policy::planned_engine& engine) {
        return std::pair(engine.target.has_value(), counts[engine.role]);
    };
    const auto chosen = std::max_element(m_engines.begin(), m_engines.end(),
                                         [&](const auto& one, const auto& other) { return rank(one) < rank(other); });
    chosen->target.reset();
    enter(*chosen, engine_state::lost);
}

void modelled_engines::restore_engine() {
    for (policy::planned_engine& engine : m_engines) {
        if (engine.state == engine_state::lost) {
            enter(engine, engine_state::serving);
        }
    }
}

policy::role_capacity modelled_engines::step() {
    policy::role_capacity capacity;
    for (policy::planned_engine& engine : m_engines) {
        if (engine.state == engine_state::serving) {
            policy::add_capacity(capacity, engine.role, engine.units_per_second, mixed_efficiency);
        } else if (engine.state == engine_state::draining) {
            policy::add_capacity(capacity, engine.role, engine.units_per_second * draining_part, mixed_efficiency);
        }
        advance(engine);
    }
    return capacity;
}

void modelled_engines::advance(policy::planned_engine& engine) {
    engine.in_state += std::chrono::seconds(1);
    if (engine.state == engine_state::draining && engine.in_state >= std::chrono::seconds(drain_seconds)) {
        enter(engine, engine_state::changing);
    } else if (engine.state == engine_state::changing && engine.in_state >= std::chrono::seconds(change_seconds)) {
        engine.role = *engine.target;
        engine.target.reset();
        enter(engine, engine_state::serving);
    }
}

} // namespace dragonflywell::fleet_model
