#include <doctest/doctest.h>

#include "core/metrics.hpp"

using namespace dragonflywell;

TEST_CASE("metrics are written in the Prometheus text format") {
    metrics_registry registry;
    registry.get_counter("refusals_total", {{.name = "reason", .value = "queue_full"}}).add(2);
    registry.get_gauge("version").set(5);
    registry.get_histogram("request_seconds").record(0.01);
    const std::string text = registry.get_text();
    CHECK(text.find("# TYPE refusals_total counter\nrefusals_total{reason=\"queue_full\"} 2\n") != std::string::npos);
    CHECK(text.find("# TYPE version gauge\nversion 5\n") != std::string::npos);
    CHECK(text.find("request_seconds_bucket{le=\"+Inf\"} 1\n") != std::string::npos);
    CHECK(text.find("request_seconds_count 1\n") != std::string::npos);
}
