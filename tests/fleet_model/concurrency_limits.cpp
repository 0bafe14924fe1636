#include "concurrency_limits.hpp"

#include <algorithm>
#include <cmath>

namespace dragonflywell::testing {

namespace {

using namespace std::chrono_literals;

constexpr double min_limit = 1;

} // namespace

concurrency_limits::concurrency_limits(speed_method method, const std::vector<modelled_server>& servers)
    : m_method(method) {
    for (const modelled_server& server : servers) {
        m_limits.push_back({.slots = static_cast<double>(server.slots), .limit = static_cast<double>(server.slots)});
    }
}

void concurrency_limits::observe(std::size_t server, double ratio, std::uint32_t in_flight, steady_time now) {
    server_limit& of = m_limits[server];
    switch (m_method) {
    case speed_method::gradient_limit:
        follow_gradient(of, ratio);
        break;
    case speed_method::additive_increase:
        follow_lateness(of, ratio, in_flight);
        break;
    case speed_method::queue_time_target:
        follow_queue(of, ratio, now);
        break;
    default:
        break;
    }
    of.limit = std::clamp(of.limit, min_limit, of.slots);
}

void concurrency_limits::follow_gradient(server_limit& of, double ratio) const {
    constexpr double usual_gain = 0.005;
    constexpr double limit_gain = 0.1;
    of.usual_ratio += usual_gain * (ratio - of.usual_ratio);
    const double gradient = std::clamp(of.usual_ratio / ratio, 0.5, 1.0);
    const double next = of.limit * gradient + std::sqrt(of.limit);
    of.limit += limit_gain * (next - of.limit);
}

void concurrency_limits::follow_lateness(server_limit& of, double ratio, std::uint32_t in_flight) const {
    constexpr double late_ratio = 2.5;
    constexpr double decrease = 0.9;
    if (ratio > late_ratio) {
        of.limit *= decrease;
    } else if (in_flight * 2 >= of.limit) {
        of.limit += 1 / of.limit;
    }
}

void concurrency_limits::follow_queue(server_limit& of, double ratio, steady_time now) const {
    constexpr double queue_target = 0.5;
    constexpr double decrease = 0.9;
    constexpr double increase = 0.5;
    constexpr double forgetting = 0.02;
    of.interval_least = of.interval_least == 0 ? ratio : std::min(of.interval_least, ratio);
    if (now < of.interval_end) {
        return;
    }
    of.limit = of.interval_least - of.least_ratio > queue_target ? of.limit * decrease : of.limit + increase;
    of.least_ratio = std::min(of.interval_least, of.least_ratio + forgetting);
    of.interval_least = 0;
    of.interval_end = now + 100ms;
}

} // namespace dragonflywell::testing
