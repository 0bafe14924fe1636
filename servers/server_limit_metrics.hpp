#pragma once

#include "core/metrics.hpp"

namespace dragonflywell::servers {

/// What is counted of the limits of servers, looked up once in the registry. Thread safe.
struct server_limit_metrics {
    /// Precondition: `registry` outlives the metrics.
    explicit server_limit_metrics(metrics_registry& registry)
        : limited_servers(&registry.get_gauge("dragonflywell_servers_with_limit")),
          invalid(&registry.get_counter("dragonflywell_invalid_server_limits_total")),
          begun(&get_change(registry, "begun")), changed(&get_change(registry, "changed")),
          ended(&get_change(registry, "ended")), taken(&get_permit(registry, "taken")),
          waited(&get_permit(registry, "waited")), refused(&get_permit(registry, "refused")),
          left_out(&get_permit(registry, "left_out")), given_back(&get_permit(registry, "given_back")),
          not_ready(&get_permit(registry, "not_ready")) {}

    gauge* limited_servers;
    counter* invalid;
    counter* begun;
    counter* changed;
    counter* ended;
    counter* taken;
    counter* waited;
    counter* refused;
    counter* left_out;
    counter* given_back;
    counter* not_ready;

private:
    static counter& get_change(metrics_registry& registry, const char* says) {
        return registry.get_counter("dragonflywell_server_limit_changes_total", {{"says", says}});
    }
    static counter& get_permit(metrics_registry& registry, const char* result) {
        return registry.get_counter("dragonflywell_server_permits_total", {{"result", result}});
    }
};

} // namespace dragonflywell::servers
