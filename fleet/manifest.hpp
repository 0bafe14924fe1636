#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "core/clock.hpp"
#include "fleet/backend_server.hpp"
#include "fleet/organisation.hpp"
#include "fleet/service.hpp"

namespace dragonflywell::fleet {

/// A language model that the fleet serves.
struct model {
    model_name name;
    std::string version;

    friend bool operator==(const model&, const model&) = default;
};

/// An availability zone: its hosts and backend servers fail together.
struct availability_zone {
    zone_name name;
    std::string region;

    friend bool operator==(const availability_zone&, const availability_zone&) = default;
};

/// Everything that operators describe. Immutable once parsed, hence safe to share between threads.
struct manifest {
    std::chrono::seconds window_length{std::chrono::hours(1)};
    std::map<zone_name, availability_zone> zones;
    std::map<organisation_name, organisation> organisations;
    std::map<std::string, api_key> keys;
    std::map<model_name, model> models;
    std::vector<service_route> routes;
    std::map<backend_server_name, backend_server> backend_servers;

    friend bool operator==(const manifest&, const manifest&) = default;
};

/// Entries by path, as coordination::configuration keeps them.
using manifest_entries = std::map<std::string, std::string>;

/// Splits a manifest document into entries. Throws `invalid_input_error` when it is not a JSON object of sections.
[[nodiscard]] manifest_entries get_manifest_entries(std::string_view document);

/// Builds the manifest and checks every entry and reference.
/// Throws `invalid_input_error` that lists all problems at once, each with the path of its entry.
[[nodiscard]] manifest parse_manifest(const manifest_entries& entries);

/// Puts entries together into one document again.
[[nodiscard]] std::string get_manifest_document(const manifest_entries& entries);

} // namespace dragonflywell::fleet
