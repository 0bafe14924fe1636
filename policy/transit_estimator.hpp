#pragma once

#include "core/clock.hpp"
#include "policy/recent_maximum.hpp"

namespace dragonflywell::policy {

/// Estimates how long datagrams of another host were on the way, beyond the fastest recent one. The clocks of the two
/// hosts need not agree; after a step of one of them the estimate is wrong for one window at most. Not thread safe.
class transit_estimator {
public:
    /// Records a datagram. `offset`: its time of sending by the sender's clock, less its time of arrival by this host's
    /// clock. Returns its delay.
    duration observe(duration offset, steady_time now) { return m_fastest.observe(offset, now) - offset; }

private:
    static constexpr duration window{std::chrono::seconds(30)};

    recent_maximum<duration> m_fastest{window};
};

} // namespace dragonflywell::policy
