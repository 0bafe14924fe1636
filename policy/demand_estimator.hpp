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

/// How far an estimate can be trusted.
enum class demand_freshness {
    fresh,
    /// Some hosts are late; their last known rate stands in for them.
    partial,
    /// Too old, or more stand-in than report. No plan may be built on it.
    stale,
};

struct demand_forecast {
    demand_rate rate;
    /// Mean relative error of recent forecasts that reached `error_horizon_buckets` buckets ahead, from 0 up.
    double relative_error{};
    demand_freshness freshness{demand_freshness::stale};
};

struct demand_estimator_options {
    /// Length of one report. Reports of another length are dropped.
    duration bucket{std::chrono::seconds(5)};
    /// How long after the end of a bucket its reports are waited for: from the least up to the longest, as the lag of
    /// recent reports asks for.
    duration min_lateness_allowance{std::chrono::seconds(1)};
    duration max_lateness_allowance{std::chrono::seconds(20)};
    /// Age of the newest report at which the estimate is stale.
    duration stale_after{std::chrono::seconds(30)};
    /// How long the last rate of a silent host is still counted; its callers have moved to other hosts by then.
    duration host_expiry{std::chrono::seconds(20)};
    /// Weights of a new observation in level and trend, 0 to 1.
    double level_gain{0.6};
    double trend_gain{0.2};
    /// How much of the trend is left after each further bucket of a forecast, 0 to 1.
    double trend_damping{0.8};
    /// How many buckets ahead the error of forecasts is measured.
    std::size_t error_horizon_buckets{6};
    /// A bucket above this multiple of the level counts only once the next bucket confirms it.
    double outlier_factor{3.0};
};

/// Adds up the reports of all entry hosts and forecasts the demand for each model.
///
/// Pure: the same reports and moments give the same forecasts. Late, repeated and missing reports are tolerated.
/// Not thread safe.
class demand_estimator {
public:
    explicit demand_estimator(demand_estimator_options options);

    /// Takes one report that arrived at `now`. A repeated one replaces its predecessor; one for a bucket already closed
    /// only shows that the host is alive and how far it lags.
    void add(const demand_report& report, wall_time now);

    /// Closes every bucket that has settled by `now`. Precondition: `now` never goes back.
    void advance(wall_time now);

    /// Returns the demand for a model `ahead` of now. Precondition: `ahead` is not negative.
    [[nodiscard]] demand_forecast forecast(const model_name& model, duration ahead) const;

    /// Returns the demand of each organisation for a model in the newest closed bucket.
    [[nodiscard]] std::map<organisation_name, demand_rate> get_by_organisation(const model_name& model) const;

    [[nodiscard]] std::uint64_t get_late_reports() const noexcept { return m_late_reports; }

private:
    using bucket_number = std::int64_t;
    using rates = std::map<demand_key, demand_rate>;

    /// Double exponential smoothing of one figure.
    struct smoothed {
        double level{};
        double trend{};
        double error{};
        bool is_held_back{false};
        bool is_started{false};
        /// Forecasts for the next buckets, each made `error_horizon_buckets` buckets before.
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
    [[nodiscard]] duration get_settle() const;
    void close(bucket_number bucket);
    [[nodiscard]] rates collect(bucket_number bucket);
    void observe(smoothed& figure, double value) const;
    void note_error(smoothed& figure, double value) const;
    [[nodiscard]] double extend(const smoothed& figure, double buckets) const;

    demand_estimator_options m_options;
    std::map<host_name, host_state> m_hosts;
    std::map<model_name, model_state> m_models;
    rates m_newest;
    std::optional<bucket_number> m_closed;
    std::optional<wall_time> m_newest_report;
    wall_time m_now{};
    /// Part of the newest bucket's tokens that late hosts are assumed to have seen.
    double m_assumed_share{0};
    std::uint64_t m_late_reports{0};
};

} // namespace dragonflywell::policy
