#pragma once

#include "policy/announcement_queue.hpp"
#include "policy/part_quarantine.hpp"
#include "policy/quarantine.hpp"

namespace dragonflywell::servers {

/// What a host still has to tell others of crashes of engines. Not thread safe.
struct crash_announcements {
    policy::announcement_queue<policy::engine_crash> crashes;
    policy::announcement_queue<policy::part_crash> part_crashes;
    policy::announcement_queue<policy::part_clearance> part_clearances;

    /// Discards what was added before a time.
    void discard_before(steady_time time) {
        crashes.discard_before(time);
        part_crashes.discard_before(time);
        part_clearances.discard_before(time);
    }
    [[nodiscard]] std::uint64_t get_dropped() const noexcept {
        return crashes.get_dropped() + part_crashes.get_dropped() + part_clearances.get_dropped();
    }
};

} // namespace dragonflywell::servers
