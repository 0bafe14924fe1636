#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "fleet/serving_view.hpp"

namespace dragonflywell::fleet {

/// Identifies a route within one configuration.
struct route_key {
    std::string host;
    std::string path_prefix;

    friend auto operator<=>(const route_key&, const route_key&) = default;
};

/// The difference between two configurations. It is much smaller than a configuration if few routes changed, so that
/// hosts that have the first one need not read the second one as a whole.
struct configuration_delta {
    /// Version of the configuration to which the delta applies.
    std::uint64_t base_version{0};
    /// Version of the configuration that results.
    std::uint64_t version{0};
    std::vector<route_key> removed_routes;
    /// Routes that are new or differ.
    std::vector<route> changed_routes;
    std::vector<organisation_name> removed_organisations;
    /// Organisations that are new or differ.
    std::vector<served_organisation> changed_organisations;
    /// Present if the limits differ.
    std::optional<caller_limits> limits;

    friend bool operator==(const configuration_delta&, const configuration_delta&) = default;
};

/// Returns the difference from `base` to `next`. Returns nothing if a delta cannot express it: when the services
/// or the need for keys differ, or when two routes, organisations or keys of a configuration are equal, so that their
/// order matters. Thread safe.
[[nodiscard]] std::optional<configuration_delta> make_delta(const serving_configuration& base,
                                                            const serving_configuration& next);

/// Returns the configuration that results from a delta. Its routes and organisations may be in another order than in
/// the configuration from which the delta was made. Precondition: the version of `base` is the delta's base version.
/// Thread safe.
[[nodiscard]] serving_configuration apply_delta(const serving_configuration& base, const configuration_delta& delta);

} // namespace dragonflywell::fleet
