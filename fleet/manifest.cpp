#include "fleet/manifest.hpp"

#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <fmt/format.h>
#include <set>

#include "core/error.hpp"
#include "core/json.hpp"
#include "fleet/manifest_entry_reader.hpp"

namespace dragonflywell::fleet {

namespace {

constexpr std::array<std::string_view, 7> sections{"settings", "zones",  "organisations",  "keys",
                                                   "models",   "routes", "backend_servers"};
constexpr std::uint64_t max_window_seconds = 86400;
constexpr std::uint64_t max_weight = 1000000;
constexpr std::uint64_t max_cut_off_seconds = 86400;
constexpr std::uint64_t max_capacity_tokens = 100000000;
constexpr std::uint64_t max_zone_servers = 1000000;
constexpr std::uint64_t max_milliunits = 1000000;
constexpr std::uint64_t max_price_milli = 1000000000000;
constexpr std::uint64_t max_lead_seconds = 86400;
constexpr std::size_t sha256_digits = 64;

/// Builds a manifest from entries and collects every problem on the way.
class manifest_builder {
public:
    explicit manifest_builder(const manifest_entries& entries) : m_entries(&entries) {}

    manifest build() {
        for (const auto& [path, text] : *m_entries) {
            read_entry(path, text);
        }
        check_references();
        if (!m_problems.empty()) {
            throw invalid_input_error(m_problems);
        }
        return std::move(m_manifest);
    }

private:
    void read_entry(const std::string& path, const std::string& text) {
        const std::size_t slash = path.find('/');
        const std::string section = path.substr(0, slash);
        const std::string name = slash == std::string::npos ? "" : path.substr(slash + 1);
        if (std::find(sections.begin(), sections.end(), section) == sections.end()) {
            add(path, "is not a known section");
            return;
        }
        if (name.empty()) {
            add(path, "has no name");
            return;
        }
        manifest_entry_reader reader(path, text, m_problems);
        if (!reader.is_readable()) {
            return;
        }
        read_section_entry(section, name, reader);
        reader.finish();
    }

    void read_section_entry(const std::string& section, const std::string& name, manifest_entry_reader& reader) {
        if (section == "settings") {
            read_settings(name, reader);
        } else if (section == "zones") {
            read_zone(zone_name(name), reader);
        } else if (section == "organisations") {
            read_organisation(organisation_name(name), reader);
        } else if (section == "keys") {
            read_key(name, reader);
        } else if (section == "models") {
            read_model(model_name(name), reader);
        } else if (section == "routes") {
            read_route(reader);
        } else {
            read_backend_server(backend_server_name(name), reader);
        }
    }

    void read_zone(const zone_name& name, manifest_entry_reader& reader) {
        m_manifest.zones[name] = {
            .name = name,
            .region = reader.get_string("region"),
            .max_servers = static_cast<std::uint32_t>(reader.get_unsigned("most_servers", 0, max_zone_servers, 1000)),
            .has_cheap_servers = reader.get_bool("cheap_servers", true)};
    }

    void read_model(const model_name& name, manifest_entry_reader& reader) {
        m_manifest.models[name] = {
            .name = name,
            .version = reader.get_string("version"),
            .prompt_token_milliunits = reader.get_unsigned("prompt_token_milliunits", 1, max_milliunits, 250),
            .output_token_milliunits = reader.get_unsigned("output_token_milliunits", 1, max_milliunits, 1000)};
    }

    void read_spending(manifest_entry_reader& reader) {
        m_manifest.prices = {
            .regular_price_milli = reader.get_unsigned("regular_price_milli", 1, max_price_milli, 1000),
            .cheap_price_milli = reader.get_unsigned("cheap_price_milli", 1, max_price_milli, 350),
            .max_price_per_hour_milli = reader.get_unsigned("most_price_per_hour_milli", 0, max_price_milli, 0),
            .max_cheap_percent = reader.get_unsigned("most_cheap_percent", 0, 100, 50),
            .lead_time = std::chrono::seconds(reader.get_unsigned("lead_seconds", 1, max_lead_seconds, 300))};
    }

    void read_settings(const std::string& name, manifest_entry_reader& reader) {
        if (name == "spending") {
            read_spending(reader);
            return;
        }
        if (name != "billing") {
            reader.add_problem("is not a known settings entry");
            return;
        }
        m_manifest.window_length = std::chrono::seconds(reader.get_unsigned("window_seconds", 1, max_window_seconds));
    }

    void read_organisation(const organisation_name& name, manifest_entry_reader& reader) {
        const std::string behaviour = reader.get_choice("when_cut_off", {"serve", "refuse"}, "serve");
        m_manifest.organisations[name] = {
            .name = name,
            .weight = static_cast<std::uint32_t>(reader.get_unsigned("weight", 1, max_weight, 1)),
            .tokens_per_window = reader.get_unsigned("tokens_per_window", 0, UINT64_MAX, 0),
            .when_cut_off = behaviour == "serve" ? cut_off_behaviour::serve : cut_off_behaviour::refuse,
            .cut_off_grace =
                std::chrono::seconds(reader.get_unsigned("cut_off_bound_seconds", 0, max_cut_off_seconds, 0)),
            .accepts_cheap_servers = reader.get_bool("accepts_cheap_servers", true)};
    }

    void read_key(const std::string& id, manifest_entry_reader& reader) {
        api_key key{.id = id,
                    .owner = organisation_name(reader.get_string("organisation")),
                    .salt = reader.get_string("salt"),
                    .sha256 = reader.get_string("sha256")};
        if (key.sha256.size() != sha256_digits) {
            reader.add_problem("sha256 must have 64 hexadecimal digits");
        }
        if (id.find('.') != std::string::npos) {
            reader.add_problem("a key's id must not contain a dot");
        }
        m_manifest.keys[id] = std::move(key);
    }

    void read_route(manifest_entry_reader& reader) {
        service_route route{.service = service_name(reader.get_string("service")),
                            .path_prefix = reader.get_string("path_prefix"),
                            .methods = reader.get_strings("methods"),
                            .is_idempotent = reader.get_bool("idempotent", false),
                            .is_public = reader.get_bool("open", false)};
        if (!route.path_prefix.starts_with('/')) {
            reader.add_problem("path_prefix must start with /");
        }
        if (route.path_prefix.starts_with("/v1/")) {
            reader.add_problem("path_prefix must not start with /v1/, which is reserved for models");
        }
        if (route.methods.empty()) {
            reader.add_problem("methods must name at least one method");
        }
        m_manifest.routes.push_back(std::move(route));
    }

    void read_backend_server(const backend_server_name& name, manifest_entry_reader& reader) {
        backend_server server{.name = name,
                              .zone = zone_name(reader.get_string("zone")),
                              .address = {},
                              .is_cheap = reader.get_bool("cheap", false),
                              .offer = {}};
        const std::string address = reader.get_string("address");
        const std::optional<endpoint> parsed = parse_endpoint(address);
        if (parsed) {
            server.address = *parsed;
        } else {
            reader.add_problem(fmt::format("address \"{}\" is not an IP number and port", address));
        }
        if (reader.has("model")) {
            server.offer = read_engine(reader);
        } else {
            server.offer = service_name(reader.get_string("service"));
        }
        m_manifest.backend_servers[name] = std::move(server);
    }

    static engine read_engine(manifest_entry_reader& reader) {
        const std::string role = reader.get_choice("role", {"mixed", "prefill", "decode"}, "mixed");
        engine value{.model = model_name(reader.get_string("model")),
                     .role = engine_role::mixed,
                     .capacity_tokens = reader.get_unsigned("capacity_tokens", 1, max_capacity_tokens, 2000),
                     .checks_fencing = reader.get_bool("checks_fencing", false)};
        if (role == "prefill") {
            value.role = engine_role::prefill;
        }
        if (role == "decode") {
            value.role = engine_role::decode;
        }
        return value;
    }

    void check_references() {
        for (const auto& [id, key] : m_manifest.keys) {
            if (!m_manifest.organisations.contains(key.owner)) {
                add("keys/" + id, fmt::format("organisation \"{}\" does not exist", key.owner.value()));
            }
        }
        std::set<service_name> routed;
        for (const service_route& route : m_manifest.routes) {
            routed.insert(route.service);
        }
        for (const auto& [name, server] : m_manifest.backend_servers) {
            check_backend_server(server, routed);
        }
    }

    void check_backend_server(const backend_server& server, const std::set<service_name>& routed) {
        const std::string path = "backend_servers/" + server.name.value();
        if (!m_manifest.zones.contains(server.zone)) {
            add(path, fmt::format("zone \"{}\" does not exist", server.zone.value()));
        }
        if (const engine* offered = server.get_engine();
            offered != nullptr && !m_manifest.models.contains(offered->model)) {
            add(path, fmt::format("model \"{}\" does not exist", offered->model.value()));
        }
        if (const service_name* service = server.get_service(); service != nullptr && !routed.contains(*service)) {
            add(path, fmt::format("service \"{}\" has no route", service->value()));
        }
    }

    void add(std::string place, std::string message) {
        m_problems.push_back({.location = std::move(place), .message = std::move(message)});
    }

    const manifest_entries* m_entries;
    manifest m_manifest;
    std::vector<input_problem> m_problems;
};

} // namespace

manifest_entries get_manifest_entries(std::string_view document) {
    std::vector<input_problem> problems;
    manifest_entries entries;
    boost::json::value root;
    try {
        root = json::parse(document);
        for (const auto& [section, items] : json::as_object(root, "manifest")) {
            if (!items.is_object()) {
                problems.push_back({.location = std::string(section), .message = "must be an object"});
                continue;
            }
            for (const auto& [name, value] : items.get_object()) {
                entries[std::string(section) + "/" + std::string(name)] = boost::json::serialize(value);
            }
        }
    } catch (const malformed_message_error& fault) {
        problems.push_back({.location = "manifest", .message = fault.what()});
    }
    if (!problems.empty()) {
        throw invalid_input_error(problems);
    }
    return entries;
}

manifest parse_manifest(const manifest_entries& entries) {
    return manifest_builder(entries).build();
}

std::string get_manifest_document(const manifest_entries& entries) {
    boost::json::object document;
    for (const auto& [path, text] : entries) {
        const std::size_t slash = path.find('/');
        boost::json::value& section = document[path.substr(0, slash)];
        if (!section.is_object()) {
            section.emplace_object();
        }
        section.get_object()[path.substr(slash + 1)] = json::parse(text);
    }
    return boost::json::serialize(document);
}

} // namespace dragonflywell::fleet
