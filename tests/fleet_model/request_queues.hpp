#pragma once

#include <span>
#include <vector>

#include "fleet_model/demand_trace.hpp"
#include "policy/role_capacity.hpp"

namespace dragonflywell::fleet_model {

/// Fluid model of the prefill and decode queues of each organisation, in steps of one second.
///
/// Capacity is divided by the organisations' shares; unused capacity of one organisation goes to the others. Work that
/// cannot be done within the maximum wait of its phase is refused on arrival, and lost if the capacity shrinks later.
class request_queues {
public:
    explicit request_queues(const deployment& fleet);

    /// Precondition: `arrivals` has an entry for each organisation.
    void step(std::span<const policy::role_demand> arrivals, const policy::role_capacity& capacity);

    [[nodiscard]] double get_goodput() const;
    [[nodiscard]] double get_served_units() const;
    [[nodiscard]] double get_worst_goodput() const;

private:
    /// Work that waits in one phase, and the total work of the requests that it belongs to, both in units.
    struct waiting {
        double phase_units{};
        double request_units{};
        /// Decode work that follows the prefill work of the queue.
        double decode_units{};
    };
    struct organisation_queues {
        waiting prefill;
        waiting decode;
        double offered{};
        double served{};
    };

    void admit(std::span<const policy::role_demand> arrivals, const policy::role_capacity& capacity);
    [[nodiscard]] std::vector<double> divide_capacity(double capacity, const std::vector<double>& wanted) const;

    deployment m_fleet;
    std::vector<organisation_queues> m_organisations;
};

} // namespace dragonflywell::fleet_model
