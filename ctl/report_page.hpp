#pragma once

#include <string>

#include "fleet/service_history.hpp"

namespace dragonflywell::ctl {

/// One metric of the service report over time.
struct report_metric {
    std::string title;
    std::string unit;
    /// Explains in one sentence what a decline means.
    std::string meaning;
    std::vector<double> values;
    bool is_decline{false};
    /// Change over the whole period, as a fraction of the median.
    double change{};
};

/// Returns goodput, goodput of the worst-served organisation, spending per million delivered tokens and refusals, each
/// with its trend. Precondition: `spans` is not empty. Thread safe.
[[nodiscard]] std::vector<report_metric> get_report_metrics(const fleet::service_history::series& spans);

/// Returns one self-contained HTML page with plots as inline SVG. `span_seconds` is the length of one span.
/// Precondition: `spans` is not empty. Thread safe.
[[nodiscard]] std::string make_report_page(const fleet::service_history::series& spans, std::uint64_t span_seconds);

} // namespace dragonflywell::ctl
