#pragma once

#include <string>

#include "fleet/service_history.hpp"

namespace dragonflywell::ctl {

/// One figure of the board's report over time.
struct report_metric {
    std::string title;
    std::string unit;
    /// What its decline means, in one sentence.
    std::string meaning;
    std::vector<double> values;
    bool is_decline{false};
    /// Change over the whole time, as part of the median.
    double change{};
};

/// Returns goodput, worst-served organisation, spending per million delivered tokens and refusals, with trends.
/// Precondition: `spans` is not empty. Thread safe.
[[nodiscard]] std::vector<report_metric> get_report_metrics(const fleet::service_history::series& spans);

/// Returns one HTML page with plots drawn as inline SVG; it refers to no other file. Thread safe.
[[nodiscard]] std::string make_report_page(const fleet::service_history::series& spans, std::uint64_t span_seconds);

} // namespace dragonflywell::ctl
