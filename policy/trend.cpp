#include "policy/trend.hpp"

#include <algorithm>
#include <cmath>
#include <vector>

namespace dragonflywell::policy {

namespace {

constexpr std::size_t min_points = 8;
constexpr double min_median = 1e-12;

double get_median(std::vector<double> values) {
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

} // namespace

trend find_trend(std::span<const double> series, const trend_options& options) {
    trend result;
    if (series.size() < min_points) {
        return result;
    }
    std::vector<double> slopes;
    double order = 0;
    for (std::size_t first = 0; first < series.size(); ++first) {
        for (std::size_t second = first + 1; second < series.size(); ++second) {
            const double step = series[second] - series[first];
            slopes.push_back(step / static_cast<double>(second - first));
            order += step > 0 ? 1 : (step < 0 ? -1 : 0);
        }
    }
    const auto count = static_cast<double>(series.size());
    const double variance = count * (count - 1) * (2 * count + 5) / 18;
    const double median = get_median({series.begin(), series.end()});
    result.slope = get_median(std::move(slopes));
    result.change = result.slope * (count - 1) / std::max(std::abs(median), min_median);
    result.score = order / std::sqrt(variance);
    const double bad_sign = options.bad == bad_direction::down ? -1 : 1;
    result.is_decline = bad_sign * result.change >= options.min_change && bad_sign * result.score >= options.min_score;
    return result;
}

} // namespace dragonflywell::policy
