#pragma once

#include <span>
#include <vector>

#include "fleet_model/demand_trace.hpp"
#include "policy/role_capacity.hpp"

namespace dragonflywell::fleet_model {

/// Prefill and decode queues of each organisation as fluids, advanced second by second.
///
/// Capacity is shared by contract; what one organisation leaves goes to the others. Work beyond what can be done within
/// the patience of its phase is refused on arrival, and lost when capacity has left since.
class request_queues {
public:
    explicit request_queues(const deployment& fleet);

    /// Precondition: `arrivals` has an entry for each organisation.
    void step(std::span<const policy::role_demand> arrivals, const policy::role_capacity& capacity);

    [[nodiscard]] double get_goodput() const;
    [[nodiscard]] double get_served_units() const;
    [[nodiscard]] double get_worst_goodput() const;

private:
    /// Work waiting in one phase, and the whole requests that it belongs to, both in units.
    struct waiting {
        double own{};
        double whole{};
        /// Decode work that a prefill queue leads to.
        double next{};
    };
    struct organisation_queues {
        waiting prefill;
        waiting decode;
        double offered{};
        double served{};
    };

    void admit(std::span<const policy::role_demand> arrivals, const policy::role_capacity& capacity);
    [[nodiscard]] std::vector<double> share_out(double capacity, const std::vector<double>& wanted) const;

    deployment m_fleet;
    std::vector<organisation_queues> m_organisations;
};

} // namespace dragonflywell::fleet_model
