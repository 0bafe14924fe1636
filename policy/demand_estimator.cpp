#include "policy/demand_estimator.hpp"

#include <algorithm>
#include <cmath>

namespace dragonflywell::policy {

namespace {

constexpr double error_gain = 0.05;
constexpr double max_assumed_share = 0.5;
constexpr double min_level = 1.0;
constexpr double lag_quantile = 0.75;
constexpr int lag_smoothing = 4;

double get_seconds(duration time) {
    return std::chrono::duration<double>(time).count();
}

void add_rate(demand_rate& sum, const demand_rate& part) {
    sum.arrivals += part.arrivals;
    sum.prompt_tokens += part.prompt_tokens;
    sum.output_tokens += part.output_tokens;
}

double get_tokens(const demand_rate& rate) {
    return rate.prompt_tokens + rate.output_tokens;
}

} // namespace

demand_estimator::demand_estimator(demand_estimator_options options) : m_options(options) {}

void demand_estimator::add(const demand_report& report, wall_time now) {
    if (report.length != m_options.bucket) {
        return;
    }
    m_newest_report = std::max(m_newest_report.value_or(report.start), report.start);
    host_state& host = m_hosts[report.host];
    if (report.incarnation < host.incarnation) {
        return;
    }
    if (report.incarnation > host.incarnation) {
        host.incarnation = report.incarnation;
        host.pending.clear();
    }
    host.lag += (now - (report.start + report.length) - host.lag) / lag_smoothing;
    rates reported;
    const double seconds = get_seconds(report.length);
    for (const demand_row& row : report.rows) {
        add_rate(reported[row.key], {.arrivals = static_cast<double>(row.arrivals) / seconds,
                                     .prompt_tokens = static_cast<double>(row.prompt_tokens) / seconds,
                                     .output_tokens = static_cast<double>(row.output_tokens) / seconds});
    }
    if (report.start >= host.last_start) {
        host.last = reported;
        host.last_start = report.start;
    }
    const bucket_number bucket = get_bucket(report.start);
    if (m_closed && bucket <= *m_closed) {
        ++m_late_reports;
        return;
    }
    host.pending[bucket] = std::move(reported);
}

void demand_estimator::advance(wall_time now) {
    m_now = std::max(m_now, now);
    const bucket_number last = get_bucket(m_now - get_lateness_allowance()) - 1;
    if (!m_closed) {
        m_closed = last - 1;
    }
    // After a long gap, only the buckets within the expiry time of a host can still hold demand; older ones are
    // skipped.
    const bucket_number reach = m_options.host_expiry / m_options.bucket + 1;
    m_closed = std::max(*m_closed, last - reach);
    while (*m_closed < last) {
        close(*m_closed + 1);
        m_closed = *m_closed + 1;
    }
}

demand_forecast demand_estimator::forecast(const model_name& model, duration ahead) const {
    const auto found = m_models.find(model);
    if (found == m_models.end() || !m_newest_report) {
        return {};
    }
    const model_state& state = found->second;
    // The level is that of the newest closed bucket, so the forecast also has to cover the time since then.
    const double buckets_behind = get_seconds(get_lateness_allowance()) / get_seconds(m_options.bucket) + 1.0;
    const double buckets = buckets_behind + get_seconds(ahead) / get_seconds(m_options.bucket);
    demand_forecast result{.rate = {.arrivals = extrapolate(state.arrivals, buckets),
                                    .prompt_tokens = extrapolate(state.prompt_tokens, buckets),
                                    .output_tokens = extrapolate(state.output_tokens, buckets)},
                           .relative_error = std::max(state.prompt_tokens.error, state.output_tokens.error),
                           .freshness = demand_freshness::fresh};
    const duration age = m_now - (*m_newest_report + m_options.bucket);
    if (age > m_options.stale_after || m_assumed_share > max_assumed_share) {
        result.freshness = demand_freshness::stale;
    } else if (m_assumed_share > 0) {
        result.freshness = demand_freshness::partial;
    }
    return result;
}

std::map<organisation_name, demand_rate> demand_estimator::get_by_organisation(const model_name& model) const {
    std::map<organisation_name, demand_rate> result;
    for (const auto& [key, rate] : m_newest_rates) {
        if (key.model == model) {
            add_rate(result[key.organisation], rate);
        }
    }
    return result;
}

demand_estimator::bucket_number demand_estimator::get_bucket(wall_time moment) const {
    return moment.time_since_epoch() / m_options.bucket;
}

duration demand_estimator::get_lateness_allowance() const {
    std::vector<duration> lags;
    for (const auto& [name, host] : m_hosts) {
        lags.push_back(host.lag);
    }
    if (lags.empty()) {
        return m_options.min_lateness_allowance;
    }
    const auto index = static_cast<std::size_t>(lag_quantile * static_cast<double>(lags.size() - 1));
    std::nth_element(lags.begin(), lags.begin() + static_cast<std::ptrdiff_t>(index), lags.end());
    return std::clamp(lags[index] + m_options.min_lateness_allowance, m_options.min_lateness_allowance,
                      m_options.max_lateness_allowance);
}

void demand_estimator::close(bucket_number bucket) {
    m_newest_rates = sum_reports(bucket);
    std::map<model_name, demand_rate> sums;
    for (const auto& [model, state] : m_models) {
        sums[model] = {};
    }
    for (const auto& [key, rate] : m_newest_rates) {
        if (!key.model.empty()) {
            add_rate(sums[key.model], rate);
        }
    }
    if (m_hosts.empty()) {
        return;
    }
    for (const auto& [model, rate] : sums) {
        model_state& state = m_models[model];
        update(state.arrivals, rate.arrivals);
        update(state.prompt_tokens, rate.prompt_tokens);
        update(state.output_tokens, rate.output_tokens);
    }
}

demand_estimator::rates demand_estimator::sum_reports(bucket_number bucket) {
    rates sum;
    double tokens = 0;
    double assumed = 0;
    const wall_time start(m_options.bucket * bucket);
    for (auto item = m_hosts.begin(); item != m_hosts.end();) {
        host_state& host = item->second;
        if (host.last_start + m_options.bucket + m_options.host_expiry < start) {
            item = m_hosts.erase(item);
            continue;
        }
        const auto found = host.pending.find(bucket);
        const bool is_reported = found != host.pending.end();
        const rates& reported = is_reported ? found->second : host.last;
        for (const auto& [key, rate] : reported) {
            add_rate(sum[key], rate);
            tokens += get_tokens(rate);
            assumed += is_reported ? 0 : get_tokens(rate);
        }
        host.pending.erase(host.pending.begin(), host.pending.upper_bound(bucket));
        ++item;
    }
    m_assumed_share = tokens > 0 ? assumed / tokens : 0;
    return sum;
}

void demand_estimator::update(smoothed& series, double value) const {
    if (!series.is_started) {
        series.level = value;
        series.is_started = true;
        return;
    }
    const double expected = std::max(0.0, series.level + series.trend);
    const double limit = m_options.outlier_factor * std::max(expected, min_level);
    const bool is_outlier = value > limit && !series.is_held_back;
    series.is_held_back = is_outlier;
    if (is_outlier) {
        value = expected;
    }
    record_error(series, value);
    const double before = series.level;
    series.level = expected + m_options.level_gain * (value - expected);
    series.trend += m_options.trend_gain * (series.level - before - series.trend);
    series.expected.push_back(extrapolate(series, static_cast<double>(m_options.error_horizon_buckets)));
}

void demand_estimator::record_error(smoothed& series, double value) const {
    if (series.expected.size() < m_options.error_horizon_buckets) {
        return;
    }
    const double expected = series.expected.front();
    series.expected.pop_front();
    const double relative = std::abs(value - expected) / std::max({expected, value, min_level});
    series.error += error_gain * (relative - series.error);
}

double demand_estimator::extrapolate(const smoothed& series, double buckets) const {
    const double damping = m_options.trend_damping;
    const double reach = damping < 1 ? (1 - std::pow(damping, buckets)) / (1 - damping) : buckets;
    return std::max(0.0, series.level + series.trend * reach);
}

} // namespace dragonflywell::policy
