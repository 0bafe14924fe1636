#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "core/clock.hpp"
#include "core/identifiers.hpp"

namespace dragonflywell::policy {

/// Weighted sums over observations of one server, from which its speed is fitted. The weight of an observation decays
/// with its age. Sums of several hosts can be added.
struct speed_sums {
    double weight{0};
    /// Load of the server when the request was sent, as a share of its slots.
    double load{0};
    double squared_load{0};
    /// Logarithm of the time taken relative to the expected time.
    double slowness{0};
    double slowness_by_load{0};

    void add(double observed_load, double observed_slowness);
    void add(const speed_sums& other);
    void scale(double factor);

    friend bool operator==(const speed_sums&, const speed_sums&) = default;
};

/// Estimates how fast each server of a service is, relative to the others and depending on its load, from the times
/// that requests took and the times that a model of their work predicts.
///
/// The logarithm of the ratio is fitted by a line over the load, with least squares that forget in a few seconds and
/// with the servers' common line as a prior. An estimate differs from 1 only by what exceeds its statistical error.
/// Without further observations it returns to 1, so that a server that was found slow gets requests again. Requests
/// that run for longer than expected are included while they run. Not thread safe.
class server_speed_estimator {
public:
    /// Registers a request that is sent. `expected`: how long it would take at a server of speed 1. `load`: requests in
    /// flight at the server, this one included, as a share of its slots. Returns a number for `finish` or `abandon`.
    std::uint64_t start(const backend_server_name& server, duration expected, double load, steady_time now);
    /// Changes how long a request is expected to take.
    void set_expected(std::uint64_t number, duration expected);
    /// The server cannot go on, since the caller does not take what it has sent. The time until `resume` does not
    /// count.
    void pause(std::uint64_t number, steady_time now);
    void resume(std::uint64_t number, steady_time now);
    /// Ends a request that has taken its time.
    void finish(std::uint64_t number, steady_time now);
    /// Ends a request that was cut off, abandoned or timed out. It counts with the time that it took so far, if that is
    /// more than was expected; otherwise it says nothing about the server.
    void abandon(std::uint64_t number, steady_time now);
    /// Ends a request that the server did not run.
    void discard(std::uint64_t number) { m_running.erase(number); }

    /// Returns the sums of this host's own observations, at `now`.
    [[nodiscard]] std::map<backend_server_name, speed_sums> get_own_sums(steady_time now) const;
    /// Replaces the sums that another host has observed, as of `now`. Sums of servers that are not named stay.
    void merge(const std::string& host, const std::map<backend_server_name, speed_sums>& sums, steady_time now);
    void remove_host(const std::string& host) { m_other_hosts.erase(host); }
    /// Forgets all observations, those of running requests included.
    void clear();

    /// Updates the estimates, at most once in a short interval.
    void refresh(steady_time now);
    /// Returns the speed of a server at a load as of the last refresh; 1 if there is nothing to support another value.
    [[nodiscard]] double get_speed(const backend_server_name& server, double load) const;
    /// Returns the share of its slots up to which the server is expected to be less than 1.5 times as slow as without
    /// load, relative to the other servers; at most 1.
    [[nodiscard]] double get_limit(const backend_server_name& server) const;

private:
    struct timed_sums {
        speed_sums sums;
        steady_time at{};

        [[nodiscard]] speed_sums get(steady_time now) const;
    };
    using server_sums = std::map<backend_server_name, timed_sums>;

    /// Line through the logarithms of the slowness over the load, and the covariance of its coefficients.
    struct fitted_line {
        double offset{0};
        double slope{0};
        double offset_variance{0};
        double covariance{0};
        double slope_variance{0};
    };

    struct running_request {
        backend_server_name server;
        duration expected{};
        double load{0};
        steady_time sent_at{};
        std::optional<steady_time> paused_at;

        [[nodiscard]] duration get_taken(steady_time now) const { return paused_at.value_or(now) - sent_at; }
    };

    void observe(const running_request& request, steady_time now);
    [[nodiscard]] fitted_line fit(const speed_sums& sums) const;
    [[nodiscard]] std::map<backend_server_name, speed_sums> get_all_sums(steady_time now) const;

    /// Variance that is assumed before there are observations, of work that varies by a half of its mean, and the
    /// number of observations for which it counts.
    static constexpr double initial_noise = 0.3;
    static constexpr double initial_noise_weight = 20;

    server_sums m_own;
    std::map<std::string, server_sums> m_other_hosts;
    std::map<std::uint64_t, running_request> m_running;
    std::uint64_t m_last_number{0};
    std::map<backend_server_name, fitted_line> m_lines;
    /// The line of all servers together.
    fitted_line m_common;
    /// Variance of a single observation about the line of its server.
    double m_noise{initial_noise};
    double m_noise_weight{initial_noise_weight};
    steady_time m_refreshed_at{};
};

} // namespace dragonflywell::policy
