#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "core/clock.hpp"

namespace dragonflywell::testing {

/// How the hosts of a `plain_fleet` learn what each server takes well.
enum class speed_method : std::uint8_t {
    /// They do not: requests in flight for each slot, equal for all servers.
    none,
    /// `policy::server_speed_estimator`.
    least_squares,
    /// A limit for each server that is multiplied by the ratio of its usual and its current time.
    gradient_limit,
    /// A limit that is raised by one for each round of requests, and lowered by a tenth when one is late.
    additive_increase,
    /// A limit that is lowered while no request of an interval is as quick as without a queue.
    queue_time_target,
};

/// A server of a modelled plain service. It runs up to `slots` requests at a time; the others queue.
struct modelled_server {
    std::uint32_t slots{8};
    /// Number of requests from which on its whole speed is shared between them.
    double full_speed_requests{8};
    /// Its speed at a time since the start.
    std::function<double(duration)> get_speed{[](duration) { return 1.0; }};
};

struct plain_fleet_options {
    std::vector<modelled_server> servers;
    std::size_t hosts{20};
    /// Hosts that start later, and when.
    std::size_t joining_hosts{0};
    duration joining_at{};
    /// Requests a second of all hosts. A fifth takes five times as long as the others; the mean is 100 ms of work.
    double rate{};
    duration length{std::chrono::seconds(30)};
    /// Each server is slowed by the factor in this share of intervals of 0.6 s.
    double slow_share{0};
    double slow_factor{2.5};
    speed_method method{speed_method::least_squares};
    /// Time between two exchanges of load, and between two exchanges of estimates; none if it is zero.
    duration load_interval{std::chrono::milliseconds(50)};
    duration estimate_interval{std::chrono::milliseconds(500)};
    std::uint64_t seed{1};
};

/// What the callers got whose requests came in one second.
struct plain_second {
    std::size_t asked{0};
    /// Answered within four times the mean of their kind.
    std::size_t in_time{0};
    /// Answers, and the time of callers that left after two seconds.
    std::vector<double> milliseconds;
    /// Requests sent to each server.
    std::vector<std::size_t> sent;
};

/// Sums of some seconds of a run.
struct plain_result {
    double in_time_share{0};
    double percentile_99_ms{0};
    std::vector<double> sent_shares;
};

/// Plays hosts in front of the servers of a plain service in virtual time. The hosts place requests and learn with the
/// code of the daemon. Returns the results by second.
[[nodiscard]] std::vector<plain_second> play_plain_fleet(const plain_fleet_options& options);
/// Sums the seconds from `begin` to before `end`.
[[nodiscard]] plain_result summarise(const std::vector<plain_second>& seconds, std::size_t begin, std::size_t end);

} // namespace dragonflywell::testing
