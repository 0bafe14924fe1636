#include "policy/role_capacity.hpp"

#include <algorithm>

namespace dragonflywell::policy {

void add_capacity(role_capacity& sum, fleet::engine_role role, double units, double mixed_efficiency) noexcept {
    switch (role) {
    case fleet::engine_role::mixed:
        sum.mixed += units * mixed_efficiency;
        break;
    case fleet::engine_role::prefill:
        sum.prefill += units;
        break;
    case fleet::engine_role::decode:
        sum.decode += units;
        break;
    }
}

double get_served_units(const role_capacity& capacity, const role_demand& demand) noexcept {
    const double requested = demand.prefill + demand.decode;
    if (requested <= 0) {
        return 0;
    }
    double served_share = std::min(1.0, (capacity.prefill + capacity.decode + capacity.mixed) / requested);
    if (demand.prefill > 0) {
        served_share = std::min(served_share, (capacity.prefill + capacity.mixed) / demand.prefill);
    }
    if (demand.decode > 0) {
        served_share = std::min(served_share, (capacity.decode + capacity.mixed) / demand.decode);
    }
    return served_share * requested;
}

} // namespace dragonflywell::policy
