#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "policy/demand_report.hpp"

namespace dragonflywell::policy {

/// Demand per second.
struct demand_rate {
    double arrivals{};
    double prompt_tokens{};
    double output_tokens{};

    friend bool operator==(const demand_rate&, const demand_rate&) = default;
};

/// Quality of an estimate.
enum class demand_freshness {
    fresh,
    /// The reports of some hosts are missing; their last known rates are used instead.
    partial,
    /// The estimate is too old, or more than half of it is assumed. No plan may be based on it.
    stale,
};

struct demand_forecast {
    demand_rate rate;
    /// Moving average of the relative error of recent forecasts, which were made a fixed number of buckets ahead (see
    /// the options); 0 or more.
    double relative_error{};
    demand_freshness freshness{demand_freshness::stale};
};

struct demand_estimator_options {
    /// Length of the time bucket of one report. Reports of another length are dropped.
    duration bucket{std::chrono::seconds(5)};
    /// Bounds of the time after the end of a bucket for which its late reports are awaited. The actual time follows the
    /// lag of recent reports.
    duration min_lateness_allowance{std::chrono::seconds(1)};
    duration max_lateness_allowance{std::chrono::seconds(20)};
    /// Age of the newest report from which the estimate is stale.
    duration stale_after{std::chrono::seconds(30)};
    /// How long the last rate of an unresponsive host is still counted. Its callers have moved to other hosts by then.
    duration host_expiry{std::chrono::seconds(20)};
    /// Smoothing factors of level and trend, 0 to 1.
    double level_gain{0.6};
    double trend_gain{0.2};
    /// Factor by which the trend shrinks with each further bucket of a forecast, 0 to 1.
    double trend_damping{0.8};
    /// Number of buckets ahead for which the forecast error is computed.
    std::size_t error_horizon_buckets{6};
    /// A bucket above this multiple of the expected value is treated as an outlier unless the bucket before it was one
    /// too.
    double outlier_factor{3.0};
};

/// Sums the demand reports of all entry hosts and forecasts the demand for each model.
///
/// Deterministic: the same reports at the same times give the same forecasts. Late, repeated and missing reports are
/// tolerated.
/// Not thread safe.
class demand_estimator {
public:
    explicit demand_estimator(demand_estimator_options options);

    /// Adds one report that arrived at `now`. A report for the same host and bucket replaces the earlier one. A report
    /// for a closed bucket is not counted in it; it only updates the host's last known rate and its lag.
    void add(const demand_report& report, wall_time now);

    /// Closes all buckets whose reports are not awaited any more at `now`. Precondition: `now` never decreases.
    void advance(wall_time now);

    /// Returns the demand forecast for a model, `ahead` after the time of the last `advance`. Precondition: `ahead` is
    /// not negative.
    [[nodiscard]] demand_forecast forecast(const model_name& model, duration ahead) const;

    /// Returns the demand of each organisation for a model in the newest closed bucket.
    [[nodiscard]] std::map<organisation_name, demand_rate> get_by_organisation(const model_name& model) const;

    [[nodiscard]] std::uint64_t get_late_reports() const noexcept { return m_late_reports; }

private:
    using bucket_number = std::int64_t;
    using rates = std::map<demand_key, demand_rate>;

    /// Double exponential smoothing with a damped trend, for one value.
    struct smoothed {
        double level{};
        double trend{};
        double error{};
        bool is_held_back{false};
        bool is_started{false};
        /// Forecasts for the next buckets, kept until the bucket closes to compute their error.
        std::deque<double> expected;
    };
    struct model_state {
        smoothed arrivals;
        smoothed prompt_tokens;
        smoothed output_tokens;
    };
    struct host_state {
        std::uint64_t incarnation{};
        std::map<bucket_number, rates> pending;
        rates last;
        wall_time last_start{};
        duration lag{};
    };

    [[nodiscard]] bucket_number get_bucket(wall_time moment) const;
    [[nodiscard]] duration get_lateness_allowance() const;
    void close(bucket_number bucket);
    [[nodiscard]] rates sum_reports(bucket_number bucket);
    void update(smoothed& series, double value) const;
    void record_error(smoothed& series, double value) const;
    [[nodiscard]] double extrapolate(const smoothed& series, double buckets) const;

    demand_estimator_options m_options;
    std::map<host_name, host_state> m_hosts;
    std::map<model_name, model_state> m_models;
    rates m_newest_rates;
    std::optional<bucket_number> m_closed;
    std::optional<wall_time> m_newest_report;
    wall_time m_now{};
    /// Share of the newest bucket's tokens that is assumed for hosts whose report is missing.
    double m_assumed_share{0};
    std::uint64_t m_late_reports{0};
};

} // namespace dragonflywell::policy
