#include "core/metrics.hpp"

#include <fmt/format.h>

namespace dragonflywell {

namespace {

constexpr unsigned latency_buckets = 42;
constexpr double min_latency_seconds = 1e-4;
constexpr double max_latency_seconds = 1e3;
constexpr double microseconds_per_second = 1e6;

std::string escape(std::string_view value) {
    std::string text;
    for (const char character : value) {
        if (character == '"' || character == '\\') {
            text += '\\';
        }
        text += character == '\n' ? ' ' : character;
    }
    return text;
}

std::string format_labels(const std::vector<metric_label>& labels) {
    std::string text;
    for (const metric_label& label : labels) {
        text += text.empty() ? "" : ",";
        text += fmt::format("{}=\"{}\"", label.name, escape(label.value));
    }
    return text;
}

std::string with_braces(const std::string& labels) {
    return labels.empty() ? "" : "{" + labels + "}";
}

template <typename Metric>
Metric& get_or_make(std::map<std::pair<std::string, std::string>, std::unique_ptr<Metric>>& metrics,
                    std::string_view name, const std::vector<metric_label>& labels) {
    std::unique_ptr<Metric>& slot = metrics[{std::string(name), format_labels(labels)}];
    if (slot == nullptr) {
        slot = std::make_unique<Metric>();
    }
    return *slot;
}

/// Appends the type line once per metric name; the maps are sorted by name.
void append_type(std::string& text, std::string& last_name, const std::string& name, std::string_view type) {
    if (name == last_name) {
        return;
    }
    last_name = name;
    text += fmt::format("# TYPE {} {}\n", name, type);
}

void append_latency(std::string& text, const std::string& name, const std::string& labels,
                    const latency_histogram& latency) {
    const std::string separator = labels.empty() ? "" : ",";
    std::uint64_t cumulative = 0;
    const std::vector<latency_histogram::bucket> buckets = latency.get_buckets();
    for (std::size_t index = 0; index + 1 < buckets.size(); ++index) {
        cumulative += buckets[index].count;
        text += fmt::format("{}_bucket{{{}{}le=\"{:.6g}\"}} {}\n", name, labels, separator,
                            buckets[index].upper_seconds, cumulative);
    }
    cumulative += buckets.back().count;
    text += fmt::format("{}_bucket{{{}{}le=\"+Inf\"}} {}\n", name, labels, separator, cumulative);
    text += fmt::format("{}_sum{} {}\n", name, with_braces(labels), latency.get_sum_seconds());
    text += fmt::format("{}_count{} {}\n", name, with_braces(labels), cumulative);
}

} // namespace

latency_histogram::latency_histogram()
    : m_histogram(boost::histogram::make_histogram_with(
          boost::histogram::dense_storage<count>(), axis(latency_buckets, min_latency_seconds, max_latency_seconds))) {}

void latency_histogram::record(double seconds) {
    m_histogram(seconds);
    m_sum_microseconds.fetch_add(static_cast<std::uint64_t>(seconds * microseconds_per_second),
                                 std::memory_order_relaxed);
}

std::vector<latency_histogram::bucket> latency_histogram::get_buckets() const {
    std::vector<bucket> buckets;
    const auto& only_axis = m_histogram.axis(0);
    std::uint64_t underflow = m_histogram.at(-1).value();
    for (int index = 0; index < only_axis.size(); ++index) {
        buckets.push_back(
            {.upper_seconds = only_axis.bin(index).upper(), .count = m_histogram.at(index).value() + underflow});
        underflow = 0;
    }
    buckets.push_back({.upper_seconds = max_latency_seconds, .count = m_histogram.at(only_axis.size()).value()});
    return buckets;
}

double latency_histogram::get_sum_seconds() const {
    return static_cast<double>(m_sum_microseconds.load(std::memory_order_relaxed)) / microseconds_per_second;
}

counter& metrics_registry::get_counter(std::string_view name, const std::vector<metric_label>& labels) {
    const std::scoped_lock lock(m_mutex);
    return get_or_make(m_counters, name, labels);
}

gauge& metrics_registry::get_gauge(std::string_view name, const std::vector<metric_label>& labels) {
    const std::scoped_lock lock(m_mutex);
    return get_or_make(m_gauges, name, labels);
}

latency_histogram& metrics_registry::get_histogram(std::string_view name, const std::vector<metric_label>& labels) {
    const std::scoped_lock lock(m_mutex);
    return get_or_make(m_latencies, name, labels);
}

std::string metrics_registry::get_text() const {
    const std::scoped_lock lock(m_mutex);
    std::string text;
    std::string last_name;
    for (const auto& [key, metric] : m_counters) {
        append_type(text, last_name, key.first, "counter");
        text += fmt::format("{}{} {}\n", key.first, with_braces(key.second), metric->get());
    }
    for (const auto& [key, metric] : m_gauges) {
        append_type(text, last_name, key.first, "gauge");
        text += fmt::format("{}{} {}\n", key.first, with_braces(key.second), metric->get());
    }
    for (const auto& [key, metric] : m_latencies) {
        append_type(text, last_name, key.first, "histogram");
        append_latency(text, key.first, key.second, *metric);
    }
    return text;
}

} // namespace dragonflywell
