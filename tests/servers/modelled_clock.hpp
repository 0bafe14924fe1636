#pragma once

#include "modelled_fleet.hpp"

namespace dragonflywell::testing {

/// The virtual time of a fleet.
class modelled_fleet::fleet_clock final : public clock_source {
public:
    explicit fleet_clock(const modelled_fleet& fleet) : m_fleet(&fleet) {}

    [[nodiscard]] steady_time now() const override { return m_fleet->m_now; }
    [[nodiscard]] steady_time now_with_suspension() const override { return m_fleet->m_now; }
    [[nodiscard]] wall_time wall_now() const override { return wall_time(m_fleet->m_now.time_since_epoch()); }

private:
    const modelled_fleet* m_fleet;
};

} // namespace dragonflywell::testing
