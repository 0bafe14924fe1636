#pragma once

#include <cstdint>
#include <map>

#include "core/clock.hpp"

namespace dragonflywell::policy {

/// Learns how long requests of each kind, such as those of a route, usually take at a server of speed 1, so that a long
/// kind of request is not taken for a slow server. Not thread safe.
class expected_work_times {
public:
    /// Records a request that took its time. `speed`: that of the server.
    void observe(std::uint64_t kind, duration taken, double speed);
    /// Returns the expected time, or zero for an unknown kind.
    [[nodiscard]] duration get(std::uint64_t kind) const;

private:
    struct mean {
        double logarithm{0};
        double weight{0};
    };

    std::map<std::uint64_t, mean> m_means;
};

} // namespace dragonflywell::policy
