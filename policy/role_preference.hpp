#pragma once

#include "fleet/backend_server.hpp"
#include "policy/role_planner.hpp"

namespace dragonflywell::policy {

/// Returns whether engines of this role are preferred for work with this ratio of prefill to decode. Any engine can do
/// any work; on a preferred engine it interferes least with other work. Thread safe.
[[nodiscard]] constexpr bool is_preferred_role(fleet::engine_role role, const role_demand& work) noexcept {
    switch (role) {
    case fleet::engine_role::mixed:
        return true;
    case fleet::engine_role::prefill:
        return work.prefill > work.decode;
    case fleet::engine_role::decode:
        return work.decode >= work.prefill;
    }
    return true;
}

} // namespace dragonflywell::policy
