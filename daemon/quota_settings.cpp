#include "daemon/quota_settings.hpp"

#include "daemon/environment_number.hpp"

namespace dragonflywell::daemon {

namespace {

constexpr number_range window_range{.min = 0.1, .max = 86'400};
constexpr number_range overage_range{.min = 0, .max = 100};
constexpr number_range slack_range{.min = 0, .max = 1e15};

} // namespace

policy::quota_tolerance read_quota_tolerance_from_environment() {
    policy::quota_tolerance tolerance;
    if (const std::optional<double> seconds = read_number_from_environment("HOST_QUOTA_WINDOW_S", window_range)) {
        tolerance.window = std::chrono::duration_cast<duration>(std::chrono::duration<double>(*seconds));
    }
    tolerance.overage = read_number_from_environment("HOST_QUOTA_OVERAGE", overage_range).value_or(tolerance.overage);
    tolerance.slack = read_number_from_environment("HOST_QUOTA_SLACK", slack_range).value_or(tolerance.slack);
    return tolerance;
}

} // namespace dragonflywell::daemon
