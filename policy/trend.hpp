#pragma once

#include <span>

namespace dragonflywell::policy {

/// Which way of a figure is the bad one.
enum class bad_direction { down, up };

struct trend_options {
    bad_direction bad{bad_direction::down};
    /// Change over the whole series, as part of its median, below which nothing is called out.
    double least_change{0.01};
    /// How far from chance a trend must be, in standard deviations.
    double least_score{2.6};
};

/// What a series does in the long run.
struct trend {
    /// Median of the slopes between all pairs of points (Theil and Sen), per point.
    double slope{};
    /// What the slope makes over the whole series, as part of the median.
    double change{};
    /// Score of the Mann-Kendall test: how many standard deviations the order of the points is from chance.
    double score{};
    /// A change for the worse that is larger than chance and matters.
    bool is_decline{false};
};

/// Finds a slow drift in a noisy series. Single bad points do not matter; many small steps in one direction do.
/// Series of fewer than eight points have no trend. Pure and thread safe.
[[nodiscard]] trend find_trend(std::span<const double> series, const trend_options& options);

} // namespace dragonflywell::policy
