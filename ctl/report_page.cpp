#include "ctl/report_page.hpp"

#include <algorithm>
#include <chrono>
#include <fmt/chrono.h>
#include <fmt/format.h>

#include "policy/trend.hpp"

namespace dragonflywell::ctl {

namespace {

constexpr double percent = 100;
constexpr double tokens_per_million = 1e6;
constexpr double milli_per_unit = 1000;
/// An organisation with fewer requests in a span is ignored, because its goodput would be too noisy.
constexpr std::uint64_t min_requests = 20;

constexpr double plot_width = 860;
constexpr double plot_height = 180;
constexpr double plot_left = 64;
constexpr double plot_bottom = 26;
constexpr double plot_top = 12;
constexpr int grid_lines = 4;

constexpr const char* page_style =
    "body{font:15px/1.5 system-ui,sans-serif;max-width:920px;margin:2em auto;padding:0 "
    "1em;color:#1c2733;background:#fff}"
    "h1{font-size:1.5em;margin-bottom:0}h2{font-size:1.1em;margin:1.6em 0 .2em}p{margin:.3em 0}"
    ".good{border-left:5px solid #2e7d4f;padding:.4em .8em;background:#eef7f1}"
    ".bad{border-left:5px solid #b3261e;padding:.4em .8em;background:#fdeeed}"
    "table{border-collapse:collapse;margin:.5em 0}td,th{padding:.2em .9em;text-align:right;border-bottom:1px solid "
    "#dde3ea}"
    "td:first-child,th:first-child{text-align:left}.note{color:#5b6b7b;font-size:.9em}"
    "svg{display:block;max-width:100%;height:auto}text{font:11px system-ui,sans-serif;fill:#5b6b7b}";

std::string escape(const std::string& text) {
    std::string result;
    for (const char letter : text) {
        switch (letter) {
        case '&':
            result += "&amp;";
            break;
        case '<':
            result += "&lt;";
            break;
        case '>':
            result += "&gt;";
            break;
        case '"':
            result += "&quot;";
            break;
        default:
            result += letter;
        }
    }
    return result;
}

std::string format_moment(std::uint64_t second) {
    const auto moment = std::chrono::system_clock::time_point(std::chrono::seconds(second));
    return fmt::format("{:%Y-%m-%d %H:%M}", fmt::gmtime(std::chrono::system_clock::to_time_t(moment)));
}

std::string format_value(double value) {
    return value >= percent ? fmt::format("{:.0f}", value) : fmt::format("{:.2f}", value);
}

/// Draws one series with a labelled scale. The scale has a minimum height, so that small variations of an almost
/// constant series do not look like large changes.
class line_plot {
public:
    line_plot(const report_metric& metric, std::uint64_t first, std::uint64_t last)
        : m_metric(&metric), m_first(first), m_last(last) {
        const auto [least, most] = std::minmax_element(metric.values.begin(), metric.values.end());
        const double margin = std::max({(*most - *least) * 0.1, std::abs(*most) * 0.005, 0.01});
        m_low = std::max(0.0, *least - margin);
        m_high = *most + margin;
    }

    [[nodiscard]] std::string draw() const {
        std::string text = fmt::format("<svg viewBox=\"0 0 {} {}\" role=\"img\" aria-label=\"{}\">", plot_width,
                                       plot_height, escape(m_metric->title));
        for (int line = 0; line <= grid_lines; ++line) {
            const double value = m_low + (m_high - m_low) * line / grid_lines;
            text += fmt::format("<line x1=\"{0}\" y1=\"{2:.1f}\" x2=\"{1}\" y2=\"{2:.1f}\" stroke=\"#e3e8ee\"/>",
                                plot_left, plot_width, get_y(value));
            text += fmt::format("<text x=\"{}\" y=\"{:.1f}\" text-anchor=\"end\">{}</text>", plot_left - 6,
                                get_y(value) + 4, format_value(value));
        }
        text += draw_line();
        text += fmt::format("<text x=\"{}\" y=\"{}\">{}</text>", plot_left, plot_height - 6, format_moment(m_first));
        text += fmt::format("<text x=\"{}\" y=\"{}\" text-anchor=\"end\">{} UTC</text>", plot_width, plot_height - 6,
                            format_moment(m_last));
        return text + "</svg>";
    }

private:
    [[nodiscard]] std::string draw_line() const {
        const char* colour = m_metric->is_decline ? "#b3261e" : "#1f5fa8";
        std::string points;
        for (std::size_t index = 0; index < m_metric->values.size(); ++index) {
            points += fmt::format("{:.1f},{:.1f} ", get_x(index), get_y(m_metric->values[index]));
        }
        std::string text =
            fmt::format("<polyline points=\"{}\" fill=\"none\" stroke=\"{}\" stroke-width=\"1.8\"/>", points, colour);
        if (m_metric->values.size() == 1) {
            text += fmt::format("<circle cx=\"{:.1f}\" cy=\"{:.1f}\" r=\"3\" fill=\"{}\"/>", get_x(0),
                                get_y(m_metric->values[0]), colour);
        }
        return text;
    }

    [[nodiscard]] double get_x(std::size_t index) const {
        const double steps = std::max<double>(1, static_cast<double>(m_metric->values.size()) - 1);
        return plot_left + (plot_width - plot_left) * static_cast<double>(index) / steps;
    }

    [[nodiscard]] double get_y(double value) const {
        const double height = plot_height - plot_top - plot_bottom;
        return plot_top + height * (1 - (value - m_low) / (m_high - m_low));
    }

    const report_metric* m_metric;
    std::uint64_t m_first;
    std::uint64_t m_last;
    double m_low{};
    double m_high{};
};

report_metric make_metric(std::string title, std::string unit, std::string meaning, std::vector<double> values,
                          const policy::trend_options& options) {
    const policy::trend found = policy::find_trend(values, options);
    return {.title = std::move(title),
            .unit = std::move(unit),
            .meaning = std::move(meaning),
            .values = std::move(values),
            .is_decline = found.is_decline,
            .change = found.change};
}

std::string make_summary(const std::vector<report_metric>& metrics) {
    std::string declines;
    for (const report_metric& metric : metrics) {
        if (metric.is_decline) {
            declines += fmt::format("<p><strong>{}</strong> has changed by {:+.1f}% over this period. {}</p>",
                                    escape(metric.title), metric.change * percent, escape(metric.meaning));
        }
    }
    if (!declines.empty()) {
        return "<div class=\"bad\"><p><strong>Slow decline found.</strong></p>" + declines + "</div>";
    }
    if (metrics.front().values.size() < 8) {
        return "<div class=\"good\"><p>Too short a time to detect a trend: at least eight spans are needed.</p></div>";
    }
    return "<div class=\"good\"><p>No slow decline found in any metric.</p></div>";
}

std::string make_refusal_table(const fleet::service_counts& total) {
    std::vector<std::pair<std::string, std::uint64_t>> reasons;
    for (const auto& [reason, count] : total.refusals) {
        if (count > 0) {
            reasons.emplace_back(reason, count);
        }
    }
    if (reasons.empty()) {
        return "<p>No request was refused.</p>";
    }
    std::sort(reasons.begin(), reasons.end(),
              [](const auto& one, const auto& other) { return one.second > other.second; });
    std::string text = "<table><tr><th>Reason</th><th>Requests</th></tr>";
    for (const auto& [reason, count] : reasons) {
        text += fmt::format("<tr><td>{}</td><td>{}</td></tr>", escape(reason), count);
    }
    return text + "</table>";
}

std::string make_organisation_table(const fleet::service_counts& total) {
    std::string text = "<table><tr><th>Organisation</th><th>Asked</th><th>Completed</th><th>Part</th></tr>";
    std::vector<std::pair<std::string, fleet::request_counts>> rows;
    for (const auto& [name, service] : total.organisations) {
        rows.emplace_back(name.empty() ? "all other organisations" : name.value(), service);
    }
    const auto part = [](const fleet::request_counts& item) {
        return item.requested == 0 ? 1.0 : static_cast<double>(item.completed) / static_cast<double>(item.requested);
    };
    std::sort(rows.begin(), rows.end(),
              [&](const auto& one, const auto& other) { return part(one.second) < part(other.second); });
    for (const auto& [name, service] : rows) {
        text += fmt::format("<tr><td>{}</td><td>{}</td><td>{}</td><td>{:.2f}%</td></tr>", escape(name),
                            service.requested, service.completed, part(service) * percent);
    }
    return text + "</table>";
}

} // namespace

std::vector<report_metric> get_report_metrics(const fleet::service_history::series& spans) {
    std::vector<double> goodput;
    std::vector<double> worst;
    std::vector<double> spend;
    std::vector<double> refusals;
    for (const auto& [start, counts] : spans) {
        goodput.push_back(fleet::get_goodput(counts) * percent);
        worst.push_back(fleet::get_worst_goodput(counts, min_requests) * percent);
        if (counts.delivered_tokens > 0) {
            spend.push_back(static_cast<double>(counts.spend_milli) / milli_per_unit /
                            (static_cast<double>(counts.delivered_tokens) / tokens_per_million));
        }
        std::uint64_t refused = 0;
        for (const auto& [reason, count] : counts.refusals) {
            refused += count;
        }
        refusals.push_back(static_cast<double>(refused));
    }
    constexpr policy::trend_options falls{.bad = policy::bad_direction::down, .min_change = 0.005};
    constexpr policy::trend_options rises{.bad = policy::bad_direction::up, .min_change = 0.05};
    std::vector<report_metric> metrics;
    metrics.push_back(make_metric("Goodput", "% of requests completed",
                                  "Fewer requests are completed; compare the refusals by reason below.",
                                  std::move(goodput), falls));
    metrics.push_back(make_metric("Worst-served organisation", "% of its requests completed",
                                  "One organisation is served worse than the others; check its weight and limits.",
                                  std::move(worst), falls));
    if (!spend.empty()) {
        metrics.push_back(make_metric("Spending per million delivered tokens", "in the manifest's currency",
                                      "The fleet costs more for the same number of tokens; check the spending plan.",
                                      std::move(spend), rises));
    }
    metrics.push_back(make_metric("Refused requests", "in each span",
                                  "More requests are refused; see the reasons below.", std::move(refusals), rises));
    return metrics;
}

std::string make_report_page(const fleet::service_history::series& spans, std::uint64_t span_seconds) {
    const std::uint64_t first = spans.begin()->first;
    const std::uint64_t last = spans.rbegin()->first + span_seconds;
    fleet::service_counts total;
    for (const auto& [start, counts] : spans) {
        fleet::add_counts(total, counts);
    }
    const std::vector<report_metric> metrics = get_report_metrics(spans);
    std::string page = fmt::format("<!DOCTYPE html><html lang=\"en\"><head><meta charset=\"utf-8\">"
                                   "<title>Service report</title><style>{}</style></head><body>",
                                   page_style);
    page += fmt::format("<h1>Service report</h1><p class=\"note\">{} to {} UTC, {} spans of {} minutes</p>",
                        format_moment(first), format_moment(last), spans.size(), span_seconds / 60);
    page += make_summary(metrics);
    for (const report_metric& metric : metrics) {
        page += fmt::format("<h2>{}{}</h2><p class=\"note\">{}</p>", escape(metric.title),
                            metric.is_decline ? " — declining" : "", escape(metric.unit));
        page += line_plot(metric, first, last).draw();
    }
    page += "<h2>Refusals by reason</h2>" + make_refusal_table(total);
    page += "<h2>Organisations, worst served first</h2>" + make_organisation_table(total);
    return page + "</body></html>\n";
}

} // namespace dragonflywell::ctl
