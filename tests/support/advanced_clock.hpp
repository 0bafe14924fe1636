#pragma once

#include "core/clock.hpp"

namespace dragonflywell::testing {

/// The clock of this machine, which a test can also advance, since the timers of the event loop follow this machine.
class advanced_clock final : public clock_source {
public:
    [[nodiscard]] steady_time now() const override { return m_clock.now() + m_ahead; }
    [[nodiscard]] wall_time wall_now() const override { return m_clock.wall_now() + m_ahead; }
    [[nodiscard]] steady_time now_with_suspension() const override { return m_clock.now_with_suspension() + m_ahead; }

    void advance(duration step) { m_ahead += step; }

private:
    host_clock m_clock;
    duration m_ahead{};
};

} // namespace dragonflywell::testing
