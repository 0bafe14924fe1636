#include "fleet_model/demand_trace.hpp"

#include <algorithm>
#include <cmath>
#include <numbers>
#include <random>

namespace dragonflywell::fleet_model {

namespace {

constexpr double per_second_noise = 0.08;
constexpr double min_share = 0.03;

/// Relative load and prefill share in one second.
struct shape {
    double load{};
    double prefill_share{};
};

double ramp(double second, double from, double length) {
    return std::clamp((second - from) / std::max(length, 1.0), 0.0, 1.0);
}

/// Draws the random parameters of one trace and computes its shape for each second.
class shape_generator {
public:
    shape_generator(const deployment& fleet, const trace_options& options, std::mt19937_64& random)
        : m_fleet(&fleet), m_options(options) {
        std::uniform_real_distribution<double> unit(0, 1);
        m_start = (0.2 + 0.2 * unit(random)) * options.seconds;
        m_length = (0.25 + 0.15 * unit(random)) * options.seconds;
        m_depth = 0.85 + 0.15 * unit(random);
        m_phase = unit(random) * 2 * std::numbers::pi;
    }

    [[nodiscard]] double get_start() const { return m_start; }

    [[nodiscard]] shape get(double second) const {
        const double swing = m_depth * (ramp(second, m_start, m_fleet->swing_seconds) -
                                        ramp(second, m_start + m_length, m_fleet->swing_seconds));
        switch (m_options.kind) {
        case trace_kind::slow_drift: {
            const double part = second / m_options.seconds;
            return {.load = m_options.load * (0.75 + 0.25 * part), .prefill_share = mix(part)};
        }
        case trace_kind::daily_cycle: {
            const double wave = 0.5 - 0.5 * std::cos(2 * std::numbers::pi * second / m_options.seconds + m_phase);
            return {.load = m_options.load * (0.45 + 0.55 * wave), .prefill_share = mix(wave)};
        }
        case trace_kind::flash: {
            const bool is_flash = second >= m_start && second < m_start + flash_seconds;
            return {.load = m_options.load * (is_flash ? 1.3 : 0.8), .prefill_share = mix(is_flash ? m_depth : 0)};
        }
        case trace_kind::threshold_noise: {
            const double wave = std::sin(second / 17 + m_phase) + std::sin(second / 41);
            return {.load = m_options.load * 0.95, .prefill_share = mix(0.5 + 0.06 * wave)};
        }
        case trace_kind::market_gone:
        case trace_kind::zone_reclaimed:
            return {.load = m_options.load, .prefill_share = mix(0.3)};
        default:
            return {.load = m_options.load * (0.85 + 0.2 * swing), .prefill_share = mix(swing)};
        }
    }

private:
    static constexpr double flash_seconds = 45;

    [[nodiscard]] double mix(double part) const {
        return m_fleet->calm_prefill_share + part * (m_fleet->swing_prefill_share - m_fleet->calm_prefill_share);
    }

    const deployment* m_fleet;
    trace_options m_options;
    double m_start{};
    double m_length{};
    double m_depth{};
    double m_phase{};
};

void add_faults(demand_trace& trace, const trace_options& options, double start) {
    constexpr std::uint32_t outage_seconds = 150;
    constexpr std::uint32_t engine_lost_seconds = 180;
    constexpr std::uint32_t into_change_seconds = 40;
    const auto swing = static_cast<std::uint32_t>(start);
    switch (options.kind) {
    case trace_kind::engine_lost:
        trace.engine_lost = {swing + into_change_seconds, swing + into_change_seconds + engine_lost_seconds};
        break;
    case trace_kind::log_outage:
        trace.log_down = {swing, swing + outage_seconds};
        break;
    case trace_kind::lagging_reports:
        trace.report_lag_seconds = 14;
        break;
    case trace_kind::missing_reports:
        trace.report_loss = 0.2;
        trace.unresponsive_host = {swing, options.seconds};
        break;
    case trace_kind::market_gone:
        trace.market_gone = {swing, swing + options.seconds / 4};
        break;
    case trace_kind::zone_reclaimed:
        trace.zone_reclaimed_at = swing;
        break;
    default:
        break;
    }
}

} // namespace

deployment make_jonosfera() {
    return {.name = "jonosfera",
            .organisation_share = {0.30, 0.22, 0.16, 0.10, 0.08, 0.06, 0.05, 0.03},
            .organisation_skew = {0.05, -0.05, 0.1, -0.1, 0, 0.05, -0.05, 0},
            .calm_prefill_share = 0.60,
            .swing_prefill_share = 0.22,
            .swing_seconds = 120,
            .max_prefill_wait_seconds = 4,
            .max_decode_wait_seconds = 8,
            .guaranteed_share = 0.35};
}

deployment make_carbonera() {
    return {.name = "carbonera",
            .organisation_share = {0.34, 0.20, 0.14, 0.10, 0.08, 0.06, 0.05, 0.03},
            .organisation_skew = {0.1, -0.1, 0, 0.05, -0.05, 0, 0.05, -0.05},
            .calm_prefill_share = 0.30,
            .swing_prefill_share = 0.78,
            .swing_seconds = 300,
            .max_prefill_wait_seconds = 8,
            .max_decode_wait_seconds = 16,
            .guaranteed_share = 0.45};
}

std::string_view get_trace_name(trace_kind kind) noexcept {
    switch (kind) {
    case trace_kind::storm_swing:
        return "storm_swing";
    case trace_kind::slow_drift:
        return "slow_drift";
    case trace_kind::daily_cycle:
        return "daily_cycle";
    case trace_kind::flash:
        return "flash";
    case trace_kind::threshold_noise:
        return "threshold_noise";
    case trace_kind::engine_lost:
        return "engine_lost";
    case trace_kind::lagging_reports:
        return "lagging_reports";
    case trace_kind::missing_reports:
        return "missing_reports";
    case trace_kind::log_outage:
        return "log_outage";
    case trace_kind::market_gone:
        return "market_gone";
    case trace_kind::zone_reclaimed:
        return "zone_reclaimed";
    }
    return "storm_swing";
}

policy::role_demand demand_trace::get_total(std::uint32_t second) const {
    policy::role_demand total;
    for (const policy::role_demand& part : demand.at(second)) {
        total.prefill += part.prefill;
        total.decode += part.decode;
    }
    return total;
}

demand_trace make_trace(const deployment& fleet, const trace_options& options) {
    std::mt19937_64 random(options.seed);
    const shape_generator shapes(fleet, options, random);
    std::normal_distribution<double> noise(1.0, per_second_noise);
    demand_trace trace;
    const double nominal = fleet.engines * fleet.units_per_engine;
    for (std::uint32_t second = 0; second < options.seconds; ++second) {
        const shape now = shapes.get(second);
        std::vector<policy::role_demand> row;
        for (std::size_t index = 0; index < fleet.organisation_share.size(); ++index) {
            const double share =
                std::clamp(now.prefill_share + fleet.organisation_skew[index], min_share, 1 - min_share);
            const double units = nominal * now.load * fleet.organisation_share[index] * std::max(0.0, noise(random));
            row.push_back({.prefill = units * share, .decode = units * (1 - share)});
        }
        trace.demand.push_back(std::move(row));
    }
    add_faults(trace, options, shapes.get_start());
    return trace;
}

} // namespace dragonflywell::fleet_model
