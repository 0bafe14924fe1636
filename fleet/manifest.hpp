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
    /// Cost of one prompt token and of one generated token, in thousandths of the unit of an engine's capacity.
    std::uint64_t prompt_token_milliunits{250};
    std::uint64_t output_token_milliunits{1000};

    friend bool operator==(const model&, const model&) = default;
};

/// An availability zone: its hosts and backend servers fail together.
struct availability_zone {
    zone_name name;
    std::string region;
    /// Maximum number of backend servers in the zone for one model.
    std::uint32_t max_servers{1000};
    bool has_cheap_servers{true};

    friend bool operator==(const availability_zone&, const availability_zone&) = default;
};

/// Limits on spending, and the prices and lead time of backend servers.
struct spending {
    /// Prices of one backend server for one hour, in thousandths of the operators' currency.
    std::uint64_t regular_price_milli{1000};
    std::uint64_t cheap_price_milli{350};
    /// Maximum spending for one model in one hour; 0 means no limit.
    std::uint64_t max_price_per_hour_milli{0};
    /// Maximum percentage of a model's backend servers that may be cheap.
    std::uint64_t max_cheap_percent{50};
    /// Time from ordering a server until it serves.
    std::chrono::seconds lead_time{300};

    friend bool operator==(const spending&, const spending&) = default;
};

/// The complete configuration by the operators. Immutable once parsed and therefore safe to share between threads.
struct manifest {
    std::chrono::seconds window_length{std::chrono::hours(1)};
    spending prices;
    std::map<zone_name, availability_zone> zones;
    std::map<organisation_name, organisation> organisations;
    std::map<std::string, api_key> keys;
    std::map<model_name, model> models;
    std::vector<service_route> routes;
    std::map<backend_server_name, backend_server> backend_servers;

    friend bool operator==(const manifest&, const manifest&) = default;
};

/// Entries by path, in the form that coordination::configuration stores them.
using manifest_entries = std::map<std::string, std::string>;

/// Splits a manifest document into entries. Throws `invalid_input_error` if it is not a JSON object of sections.
[[nodiscard]] manifest_entries get_manifest_entries(std::string_view document);

/// Builds the manifest and checks every entry and reference.
/// Throws `invalid_input_error`, which lists all problems, each with the path of its entry.
[[nodiscard]] manifest parse_manifest(const manifest_entries& entries);

/// Combines entries into one manifest document.
[[nodiscard]] std::string get_manifest_document(const manifest_entries& entries);

} // namespace dragonflywell::fleet
