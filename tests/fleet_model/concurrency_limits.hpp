#pragma once

#include <cstdint>
#include <vector>

#include "core/clock.hpp"
#include "plain_fleet.hpp"

namespace dragonflywell::testing {

/// Concurrency limits for each server by methods that were weighed against `policy::server_speed_estimator`. All hosts
/// share one instance without delay, which favours these methods. Not thread safe.
class concurrency_limits {
public:
    concurrency_limits(speed_method method, const std::vector<modelled_server>& servers);

    /// Records a request. `ratio`: time taken relative to the expected time.
    void observe(std::size_t server, double ratio, std::uint32_t in_flight, steady_time now);
    [[nodiscard]] double get_limit(std::size_t server) const { return m_limits[server].limit; }

private:
    struct server_limit {
        double slots{};
        double limit{};
        double usual_ratio{1};
        double least_ratio{1};
        double interval_least{0};
        steady_time interval_end{};
    };

    void follow_gradient(server_limit& of, double ratio) const;
    void follow_lateness(server_limit& of, double ratio, std::uint32_t in_flight) const;
    void follow_queue(server_limit& of, double ratio, steady_time now) const;

    speed_method m_method;
    std::vector<server_limit> m_limits;
};

} // namespace dragonflywell::testing
