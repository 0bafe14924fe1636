#include "policy/server_speed_estimator.hpp"

#include <algorithm>
#include <cmath>

namespace dragonflywell::policy {

namespace {

/// Time after which an observation has lost 63 % of its weight. Changes are to be followed within a few seconds, and
/// a slow moment of 0.6 s is to be averaged.
constexpr duration memory_time = std::chrono::seconds(3);
/// A refresh of 140 servers with the sums of 20 hosts takes 0.18 ms, which counts on a host with a tenth of a core.
constexpr duration refresh_interval = std::chrono::milliseconds(25);
/// Added to the expected and the observed time, so that the network and the event loop do not count as slowness of a
/// server that answers at once.
constexpr duration time_offset = std::chrono::milliseconds(2);
/// Bound of the logarithm of a single ratio, so that one lost request does not hide all others.
const double max_slowness = std::log(8.0);
/// Standard deviations of the offset and the slope among servers of a service: speeds of 0.6 to 1.6 of the mean, and
/// servers that take two to three times as long when they are full.
constexpr double offset_deviation = 0.6;
constexpr double slope_deviation = 1.0;
/// Standard errors by which an estimate must exceed zero to act.
constexpr double significance = 1.5;
/// Variance of the mean slowness of a server over the memory time that is due to moments in which it is slow: the
/// observations of a moment are not independent of each other. With 15 % of moments of 0.6 s at a factor of 2.5, hosts
/// that act on less move their requests when the moment is over (share in time 0.911 in place of 0.917).
constexpr double moment_variance = 0.01;
/// Number of observations over which the noise is averaged.
constexpr double max_noise_weight = 200;
constexpr double min_noise = 0.01;
/// Weight below which sums are forgotten.
constexpr double min_weight = 0.02;
/// A load beyond this counts as this much: the server is overloaded.
constexpr double max_load = 2;
const double limit_slowness = std::log(1.5);
const double max_speed_ratio = std::log(4.0);

double to_seconds(duration value) {
    return std::chrono::duration<double>(value).count();
}

double get_slowness(duration expected, duration taken) {
    const double ratio =
        to_seconds(taken + time_offset) / to_seconds(std::max(expected, duration::zero()) + time_offset);
    return std::clamp(std::log(ratio), -max_slowness, max_slowness);
}

double get_retained(duration age) {
    return std::exp(-to_seconds(std::max(age, duration::zero())) / to_seconds(memory_time));
}

} // namespace

void speed_sums::add(double observed_load, double observed_slowness) {
    weight += 1;
    load += observed_load;
    squared_load += observed_load * observed_load;
    slowness += observed_slowness;
    slowness_by_load += observed_slowness * observed_load;
}

void speed_sums::add(const speed_sums& other) {
    weight += other.weight;
    load += other.load;
    squared_load += other.squared_load;
    slowness += other.slowness;
    slowness_by_load += other.slowness_by_load;
}

void speed_sums::scale(double factor) {
    weight *= factor;
    load *= factor;
    squared_load *= factor;
    slowness *= factor;
    slowness_by_load *= factor;
}

speed_sums server_speed_estimator::timed_sums::get(steady_time now) const {
    speed_sums scaled = sums;
    scaled.scale(get_retained(now - at));
    return scaled;
}

std::uint64_t server_speed_estimator::start(const backend_server_name& server, duration expected, double load,
                                            steady_time now) {
    m_running.emplace(++m_last_number, running_request{.server = server,
                                                       .expected = expected,
                                                       .load = std::clamp(load, 0.0, max_load),
                                                       .sent_at = now});
    return m_last_number;
}

void server_speed_estimator::set_expected(std::uint64_t number, duration expected) {
    if (const auto found = m_running.find(number); found != m_running.end()) {
        found->second.expected = expected;
    }
}

void server_speed_estimator::pause(std::uint64_t number, steady_time now) {
    if (const auto found = m_running.find(number); found != m_running.end() && !found->second.paused_at) {
        found->second.paused_at = now;
    }
}

void server_speed_estimator::resume(std::uint64_t number, steady_time now) {
    if (const auto found = m_running.find(number); found != m_running.end() && found->second.paused_at) {
        found->second.sent_at += now - *found->second.paused_at;
        found->second.paused_at.reset();
    }
}

void server_speed_estimator::finish(std::uint64_t number, steady_time now) {
    const auto found = m_running.find(number);
    if (found != m_running.end()) {
        observe(found->second, now);
        m_running.erase(found);
    }
}

void server_speed_estimator::abandon(std::uint64_t number, steady_time now) {
    const auto found = m_running.find(number);
    if (found == m_running.end()) {
        return;
    }
    if (found->second.get_taken(now) > found->second.expected) {
        observe(found->second, now);
    }
    m_running.erase(found);
}

void server_speed_estimator::observe(const running_request& request, steady_time now) {
    const double slowness = get_slowness(request.expected, request.get_taken(now));
    timed_sums& own = m_own[request.server];
    own.sums = own.get(now);
    own.sums.add(request.load, slowness);
    own.at = now;
    double fitted = m_common.offset + m_common.slope * request.load;
    if (const auto line = m_lines.find(request.server); line != m_lines.end()) {
        fitted += line->second.offset + line->second.slope * request.load;
    }
    const double residual = slowness - fitted;
    m_noise_weight = std::min(max_noise_weight, m_noise_weight + 1);
    m_noise = std::max(min_noise, m_noise + (residual * residual - m_noise) / m_noise_weight);
}

std::map<backend_server_name, speed_sums> server_speed_estimator::get_own_sums(steady_time now) const {
    std::map<backend_server_name, speed_sums> sums;
    for (const auto& [server, own] : m_own) {
        sums.emplace(server, own.get(now));
    }
    return sums;
}

void server_speed_estimator::merge(const std::string& host, const std::map<backend_server_name, speed_sums>& sums,
                                   steady_time now) {
    server_sums& known = m_other_hosts[host];
    for (const auto& [server, entry] : sums) {
        known.insert_or_assign(server, timed_sums{.sums = entry, .at = now});
    }
}

std::map<backend_server_name, speed_sums> server_speed_estimator::get_all_sums(steady_time now) const {
    std::map<backend_server_name, speed_sums> all = get_own_sums(now);
    for (const auto& [host, servers] : m_other_hosts) {
        for (const auto& [server, entry] : servers) {
            all[server].add(entry.get(now));
        }
    }
    for (const auto& [number, request] : m_running) {
        const duration taken = request.get_taken(now);
        if (taken > request.expected) {
            all[request.server].add(request.load, get_slowness(request.expected, taken));
        }
    }
    return all;
}

server_speed_estimator::fitted_line server_speed_estimator::fit(const speed_sums& sums) const {
    const double offset_prior = m_noise / (offset_deviation * offset_deviation);
    const double slope_prior = m_noise / (slope_deviation * slope_deviation);
    const double first = sums.weight + offset_prior;
    // Rounding, on the way from another host, must not make the variance of the load negative.
    const double second = std::max(sums.squared_load, sums.load * sums.load / first) + slope_prior;
    const double determinant = first * second - sums.load * sums.load;
    const double slope = (first * sums.slowness_by_load - sums.load * sums.slowness) / determinant;
    if (slope <= 0) {
        // A server does not become faster by load: the line is level.
        return {.offset = sums.slowness / first, .offset_variance = m_noise / first};
    }
    return {.offset = (second * sums.slowness - sums.load * sums.slowness_by_load) / determinant,
            .slope = slope,
            .offset_variance = m_noise * second / determinant,
            .covariance = -m_noise * sums.load / determinant,
            .slope_variance = m_noise * first / determinant};
}

void server_speed_estimator::clear() {
    m_own.clear();
    m_other_hosts.clear();
    m_running.clear();
    m_lines.clear();
    m_common = {};
}

void server_speed_estimator::refresh(steady_time now) {
    if (now - m_refreshed_at < refresh_interval) {
        return;
    }
    m_refreshed_at = now;
    const auto is_forgotten = [now](const auto& item) { return item.second.get(now).weight < min_weight; };
    std::erase_if(m_own, is_forgotten);
    for (auto& [host, sums] : m_other_hosts) {
        std::erase_if(sums, is_forgotten);
    }
    const std::map<backend_server_name, speed_sums> all = get_all_sums(now);
    speed_sums common;
    for (const auto& [server, sums] : all) {
        common.add(sums);
    }
    m_common = fit(common);
    m_lines.clear();
    for (const auto& [server, sums] : all) {
        speed_sums difference = sums;
        difference.slowness -= m_common.offset * sums.weight + m_common.slope * sums.load;
        difference.slowness_by_load -= m_common.offset * sums.load + m_common.slope * sums.squared_load;
        m_lines.emplace(server, fit(difference));
    }
}

double server_speed_estimator::get_speed(const backend_server_name& server, double load) const {
    const auto found = m_lines.find(server);
    if (found == m_lines.end()) {
        return 1;
    }
    const fitted_line& line = found->second;
    const double slowness = line.offset + line.slope * load;
    const double variance =
        moment_variance + line.offset_variance + 2 * load * line.covariance + load * load * line.slope_variance;
    const double supported = std::max(0.0, std::abs(slowness) - significance * std::sqrt(std::max(0.0, variance)));
    return std::exp(-std::copysign(std::min(supported, max_speed_ratio), slowness));
}

double server_speed_estimator::get_limit(const backend_server_name& server) const {
    const auto found = m_lines.find(server);
    if (found == m_lines.end()) {
        return 1;
    }
    const double slope = found->second.slope - significance * std::sqrt(found->second.slope_variance);
    return slope <= limit_slowness ? 1 : limit_slowness / slope;
}

} // namespace dragonflywell::policy
