#pragma once

#include <span>

namespace dragonflywell::policy {

/// Direction in which a change of the value is a decline.
enum class bad_direction { down, up };

struct trend_options {
    bad_direction bad{bad_direction::down};
    /// Minimum change over the whole series to report, as a share of its median.
    double min_change{0.01};
    /// Minimum score of the Mann-Kendall test to report, in standard deviations.
    double min_score{2.6};
};

/// Long-term trend of a series.
struct trend {
    /// Median of the slopes between all pairs of points (Theil and Sen), per point.
    double slope{};
    /// Change over the whole series that the slope implies, as a share of the median.
    double change{};
    /// Score of the Mann-Kendall test: deviation from a random order of the points, in standard deviations.
    double score{};
    /// Whether there is a change in the bad direction that is both significant and large enough to report.
    bool is_decline{false};
};

/// Detects a slow drift in a noisy series. Single outliers have no influence; many small steps in one direction do.
/// Series of fewer than eight points have no trend. Thread safe.
[[nodiscard]] trend find_trend(std::span<const double> series, const trend_options& options);

} // namespace dragonflywell::policy
