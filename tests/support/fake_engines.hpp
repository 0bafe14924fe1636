#pragma once

#include <algorithm>
#include <map>
#include <utility>
#include <vector>

#include "platform/engine_control.hpp"

namespace dragonflywell::testing {

/// In-memory engines, identified by their port, with and without fencing, and with faults that a test selects. Not
/// thread safe.
class fake_engines final : public platform::engine_control {
public:
    struct engine {
        fleet::engine_role role{fleet::engine_role::mixed};
        bool checks_fencing{false};
        std::uint64_t running{0};
        bool is_down{false};
        std::uint64_t newest_number{0};
        std::vector<platform::role_change_order> applied;
        /// Number of orders that arrived while a request ran.
        int cut_off{0};
    };

    platform::engine_load get_load(const endpoint& address) override {
        engine& target = engines[address.port];
        if (target.is_down) {
            throw platform::engine_unreachable_error("engine is down", false);
        }
        return {.model = model_name("m"), .role = target.role, .running_requests = target.running};
    }

    platform::role_change_result send(const endpoint& address, const platform::role_change_order& order,
                                      duration /*deadline*/) override {
        if (engines[address.port].is_down) {
            throw platform::engine_unreachable_error("engine is down", false);
        }
        if (loses_next_order) {
            loses_next_order = false;
            late.emplace_back(address.port, order);
            throw platform::engine_unreachable_error("no answer", true);
        }
        const platform::role_change_result reply = apply(address.port, order);
        if (drops_next_answer) {
            drops_next_answer = false;
            throw platform::engine_unreachable_error("no answer", true);
        }
        return reply;
    }

    void deliver_late() {
        for (const auto& [port, order] : std::exchange(late, {})) {
            apply(port, order);
        }
    }

    std::map<std::uint16_t, engine> engines;
    std::vector<std::pair<std::uint16_t, platform::role_change_order>> late;
    bool loses_next_order{false};
    bool drops_next_answer{false};
    bool rejects_orders{false};

private:
    platform::role_change_result apply(std::uint16_t port, const platform::role_change_order& order) {
        engine& target = engines[port];
        if (rejects_orders) {
            return platform::role_change_result::rejected;
        }
        if (target.checks_fencing && order.fencing_number < target.newest_number) {
            return platform::role_change_result::stale_fencing_number;
        }
        target.newest_number = std::max(target.newest_number, order.fencing_number);
        target.cut_off += target.running > 0 ? 1 : 0;
        target.role = order.role;
        target.applied.push_back(order);
        return platform::role_change_result::applied;
    }
};

} // namespace dragonflywell::testing
