#include "policy/quota_limit.hpp"

#include <algorithm>
#include <cmath>

namespace dragonflywell::policy {

namespace {

/// Part of the quota that the bucket needs as tolerance. Without any, a host could not hold what it has not used yet.
constexpr double min_tolerance_share = 0.05;
/// Part of the tolerance that hosts get when all of them have restarted.
constexpr double restart_share = 0.125;
/// Number of restarts of all hosts within one window for which the tolerance suffices.
constexpr double restarts_in_window = 2;
/// Least rate at which a server with a limit gets requests. A server may name zero.
constexpr double min_server_rate = 0.25;
/// What the bucket of a server holds beside the requests of one second.
constexpr double server_burst = 2.5;

} // namespace

quota_limit make_quota_limit(const fleet::quota& quota, const quota_tolerance& tolerance) {
    const double seconds = std::chrono::duration<double>(tolerance.window).count();
    const double permitted = quota.rate_per_second * seconds + quota.burst;
    const double slack = quota.unit == fleet::quota_unit::tokens ? tolerance.slack : 0;
    const double stated = permitted * tolerance.overage + slack;
    const double room = std::max(stated, permitted * min_tolerance_share);
    const double lacking = room - stated;
    const double from_burst = std::min(quota.burst, lacking);
    return {.rate_per_second = quota.rate_per_second - (lacking - from_burst) / seconds,
            .capacity = quota.burst - from_burst + room * (1 - restarts_in_window * restart_share),
            .restart_level = room * restart_share};
}

bool is_valid_server_limit(double requests_per_second) {
    return requests_per_second >= 0 && requests_per_second <= max_server_limit;
}

quota_limit make_server_limit(double requests_per_second) {
    return {.rate_per_second = std::max(requests_per_second, min_server_rate),
            .capacity = requests_per_second + server_burst,
            .restart_level = 0,
            .unit = 1,
            .starts_empty = true,
            .named = requests_per_second};
}

double get_whole_units(double amount, double unit) {
    // Sums of fractions may be a little below the whole number that they stand for.
    constexpr double rounding_error = 1e-9;
    return unit > 0 ? std::floor(amount / unit + rounding_error) * unit : amount;
}

double get_quota_amount(const fleet::quota& quota, std::optional<std::uint64_t> tokens) {
    if (quota.unit == fleet::quota_unit::requests) {
        return 1;
    }
    return tokens ? static_cast<double>(*tokens) : quota.plain_tokens;
}

} // namespace dragonflywell::policy
