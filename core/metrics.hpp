#pragma once

#include <atomic>
#include <boost/histogram.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace dragonflywell {

/// A number that only increases. Thread safe.
class counter {
public:
    void add(std::uint64_t amount = 1) noexcept { m_value.fetch_add(amount, std::memory_order_relaxed); }
    [[nodiscard]] std::uint64_t get() const noexcept { return m_value.load(std::memory_order_relaxed); }

private:
    std::atomic<std::uint64_t> m_value{0};
};

/// A number that may increase and decrease. Thread safe.
class gauge {
public:
    void set(std::int64_t value) noexcept { m_value.store(value, std::memory_order_relaxed); }
    void add(std::int64_t amount) noexcept { m_value.fetch_add(amount, std::memory_order_relaxed); }
    [[nodiscard]] std::int64_t get() const noexcept { return m_value.load(std::memory_order_relaxed); }

private:
    std::atomic<std::int64_t> m_value{0};
};

/// Distribution of durations in seconds, with logarithmic buckets from 0.1 ms to 1000 s. Thread safe.
class latency_histogram {
public:
    latency_histogram();

    void record(double seconds);

    struct bucket {
        double upper_seconds{};
        std::uint64_t count{};
    };
    /// Returns the count of each bucket, not cumulative; the last bucket has no upper bound.
    [[nodiscard]] std::vector<bucket> get_buckets() const;
    [[nodiscard]] double get_sum_seconds() const;

private:
    using axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using count = boost::histogram::accumulators::count<std::uint64_t, true>;
    boost::histogram::histogram<std::tuple<axis>, boost::histogram::dense_storage<count>> m_histogram;
    std::atomic<std::uint64_t> m_sum_microseconds{0};
};

/// One label of a metric, such as `reason="unknown_key"`.
struct metric_label {
    std::string name;
    std::string value;
};

/// All metrics of one process, for export in the Prometheus text format.
///
/// Thread safe. Returned references are valid for the lifetime of the registry, so look up a metric once and keep the
/// reference.
class metrics_registry {
public:
    counter& get_counter(std::string_view name, const std::vector<metric_label>& labels = {});
    gauge& get_gauge(std::string_view name, const std::vector<metric_label>& labels = {});
    latency_histogram& get_histogram(std::string_view name, const std::vector<metric_label>& labels = {});

    [[nodiscard]] std::string get_text() const;

private:
    using key = std::pair<std::string, std::string>;

    mutable std::mutex m_mutex;
    std::map<key, std::unique_ptr<counter>> m_counters;
    std::map<key, std::unique_ptr<gauge>> m_gauges;
    std::map<key, std::unique_ptr<latency_histogram>> m_latencies;
};

} // namespace dragonflywell
