#pragma once

#include <cstdint>
#include <optional>

#include "core/clock.hpp"
#include "policy/least_squares.hpp"

namespace dragonflywell::policy {

/// Learns how the time between two events of a stream grows with the number of requests that the engine runs, for the
/// engines of one kind. Not thread safe.
class generation_pace {
public:
    generation_pace();

    /// Records a stream. `running`: requests that ran on the engine when it began, itself included. `interval`: mean
    /// time between its events.
    void observe(double running, duration interval);

    /// Returns how many requests an engine may run so that the expected time between events stays below `limit`; 0 if
    /// it is longer even for a single one. Returns nothing until enough streams have been observed.
    [[nodiscard]] std::optional<double> get_supported_requests(duration limit) const;

private:
    using model = least_squares<2>;

    model m_model;
    std::uint64_t m_observed{0};
};

/// Which share of the slots of the engines that generate is planned to be used.
struct fill_options {
    /// Used while the pace of the engines is unknown.
    double assumed_fill{0.25};
    /// Used for streams without a target for the time between their events.
    double max_fill{0.5};
    double min_fill{0.125};
    /// Ratio of the longest allowed time between two events to the expected one. A stream is late if one of its events
    /// is: in a moment of contention a slow engine takes about three times the mean of all engines.
    double pace_reserve{3.5};
};

/// Returns the share of the slots of an engine that generates that may be planned with, so that events follow each
/// other as fast as callers need. `target_gap`: the longest time between two events for which a stream is on time; zero
/// if there is no such target. Preconditions: `slots` is positive, the gap is not negative. Thread safe if the pace is
/// not changed meanwhile.
[[nodiscard]] double plan_fill(const generation_pace& pace, duration target_gap, double slots,
                               const fill_options& options = {});

} // namespace dragonflywell::policy
