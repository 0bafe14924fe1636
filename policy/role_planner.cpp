#include "policy/role_planner.hpp"

namespace dragonflywell::policy {

std::string_view get_role_reason_name(role_reason reason) noexcept {
    switch (reason) {
    case role_reason::ordered:
        return "ordered";
    case role_reason::resumed:
        return "resumed";
    case role_reason::no_authority:
        return "no_authority";
    case role_reason::stale_demand:
        return "stale_demand";
    case role_reason::no_engines:
        return "no_engines";
    case role_reason::gain_too_small:
        return "gain_too_small";
    case role_reason::not_confirmed:
        return "not_confirmed";
    case role_reason::cap_reached:
        return "cap_reached";
    }
    return "gain_too_small";
}

} // namespace dragonflywell::policy
