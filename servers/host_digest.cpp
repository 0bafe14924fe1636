#include "servers/host_digest.hpp"

#include <algorithm>

#include "core/error.hpp"
#include "core/json.hpp"
#include "servers/digest_items.hpp"

namespace dragonflywell::servers {

namespace {

using boost::json::array;
using boost::json::object;
using boost::json::value;

constexpr double thousandths = 1000;

std::uint64_t to_thousandths(double share) {
    return static_cast<std::uint64_t>(std::max(0.0, share) * thousandths);
}

array encode_prompts(const std::vector<digest_prompt>& prompts) {
    array list;
    for (const digest_prompt& prompt : prompts) {
        list.push_back(array{prompt.number, to_microseconds(prompt.age), to_microseconds(prompt.cost), prompt.urgency});
    }
    return list;
}

digest_engine decode_engine(const array& list) {
    digest_engine engine{.running = static_cast<std::uint32_t>(get_number(list, 0)),
                         .running_tokens = get_number(list, 1),
                         .prompts = {}};
    for (const value& item : get_list(list, 2)) {
        const array& prompt = require_list(item);
        engine.prompts.push_back({.number = get_number(prompt, 0),
                                  .age = std::chrono::microseconds(get_number(prompt, 1)),
                                  .cost = std::chrono::microseconds(get_number(prompt, 2)),
                                  .urgency = static_cast<std::uint32_t>(get_number(prompt, 3))});
    }
    return engine;
}

array encode_usage(const std::map<std::int64_t, policy::window_counts>& usage) {
    array windows;
    for (const auto& [window, counts] : usage) {
        object encoded;
        for (const auto& [organisation, count] : counts) {
            encoded[organisation.value()] = count;
        }
        windows.push_back(array{window, std::move(encoded)});
    }
    return windows;
}

std::map<std::int64_t, policy::window_counts> decode_usage(const array& windows) {
    std::map<std::int64_t, policy::window_counts> usage;
    for (const value& item : windows) {
        const array& window = require_list(item);
        policy::window_counts& counts = usage[static_cast<std::int64_t>(get_number(window, 0))];
        if (window.size() < 2) {
            throw malformed_message_error("usage window in host digest has no counts");
        }
        const object& encoded = json::as_object(window[1], "counts of a usage window in host digest");
        for (const auto& count : encoded) {
            counts[organisation_name(std::string_view(count.key()))] = json::get_unsigned(encoded, count.key());
        }
    }
    return usage;
}

array encode_recorded_usage(const digest_recorded_usage& recorded) {
    array incarnations;
    for (const host_incarnation& entry : recorded.incarnations) {
        incarnations.push_back(array{entry.host, entry.incarnation});
    }
    return {recorded.window, std::move(incarnations), recorded.era};
}

digest_recorded_usage decode_recorded_usage(const array& encoded) {
    digest_recorded_usage recorded{.window = static_cast<std::int64_t>(get_number(encoded, 0)),
                                   .incarnations = {},
                                   .era = encoded.size() > 2 ? get_number(encoded, 2) : 0};
    if (recorded.era > max_log_era) {
        throw malformed_message_error("the era of recorded usage in a host digest is out of range");
    }
    for (const value& item : get_list(encoded, 1)) {
        const array& entry = require_list(item);
        if (entry.empty() || !entry[0].is_string()) {
            throw malformed_message_error("recorded usage in host digest has an entry without host name");
        }
        recorded.incarnations.push_back(
            {.host = std::string(entry[0].get_string()), .incarnation = get_number(entry, 1)});
    }
    return recorded;
}

policy::host_capacity decode_capacity(const array& encoded) {
    return {.link_bytes_per_second = get_number(encoded, 0),
            .core_thousandths = static_cast<std::uint32_t>(get_number(encoded, 1))};
}

object encode_loads(const std::map<service_name, policy::group_load>& loads) {
    object encoded;
    for (const auto& [service, load] : loads) {
        encoded[service.value()] = array{to_microseconds(load.backlog), to_thousandths(load.utilisation), load.running};
    }
    return encoded;
}

std::map<service_name, policy::group_load> decode_loads(const object& encoded) {
    std::map<service_name, policy::group_load> loads;
    for (const auto& item : encoded) {
        const array& fields = require_list(item.value());
        loads.emplace(service_name(std::string_view(item.key())),
                      policy::group_load{.backlog = std::chrono::microseconds(get_number(fields, 0)),
                                         .utilisation = static_cast<double>(get_number(fields, 1)) / thousandths,
                                         .running = static_cast<std::uint32_t>(get_number(fields, 2))});
    }
    return loads;
}

log_position decode_position(const array& encoded) {
    const log_position position{.era = get_number(encoded, 1), .offset = get_number(encoded, 0)};
    if (position.era > max_log_era) {
        throw malformed_message_error("the era in a host digest is out of range");
    }
    return position;
}

/// An empty list means that the host does not read the store for its group.
array encode_read_position(const std::optional<digest_read_position>& position) {
    if (!position || !position->end) {
        return {};
    }
    return {position->end->offset, to_microseconds(position->age), position->end->era, position->checksum};
}

std::optional<digest_read_position> decode_read_position(const array& encoded) {
    if (encoded.empty()) {
        return std::nullopt;
    }
    constexpr std::size_t era_index = 2;
    constexpr std::size_t checksum_index = 3;
    // Hosts of an earlier version, which may run at the same time during an update, send neither era nor checksum.
    const std::uint64_t era = encoded.size() > era_index ? get_number(encoded, era_index) : 0;
    if (era > max_log_era) {
        throw malformed_message_error("the era in a host digest is out of range");
    }
    return digest_read_position{.end = log_position{.era = era, .offset = get_number(encoded, 0)},
                                .age = std::chrono::microseconds(get_number(encoded, 1)),
                                .checksum = encoded.size() > checksum_index ? get_number(encoded, checksum_index) : 0};
}

} // namespace

std::string encode_host_digest(const host_digest& digest) {
    object engines;
    for (const auto& [name, engine] : digest.engines) {
        engines[name.value()] = array{engine.running, engine.running_tokens, encode_prompts(engine.prompts)};
    }
    object instances;
    for (const auto& [name, count] : digest.instances) {
        instances[name.value()] = count;
    }
    object transitions;
    for (const auto& [name, transition] : digest.transitions) {
        transitions[name.value()] =
            array{transition.stage == fleet::engine_stage::prefill ? 1 : 0, to_microseconds(transition.remaining)};
    }
    object ejections;
    for (const auto& [name, remaining] : digest.ejections) {
        ejections[name.value()] = to_microseconds(remaining);
    }
    object prefill_demand;
    for (const auto& [service, cost] : digest.prefill_demand) {
        prefill_demand[service.value()] = to_microseconds(cost);
    }
    object encoded{{"h", digest.host},
                   {"z", digest.zone.value()},
                   {"g", digest.group},
                   {"i", digest.incarnation},
                   {"n", digest.sequence},
                   {"w", to_microseconds(digest.corrected_time.time_since_epoch())},
                   {"s", digest.is_stopping},
                   {"e", std::move(engines)},
                   {"p", std::move(instances)},
                   {"t", encode_items(digest.prefix_accesses)},
                   {"c", std::move(transitions)},
                   {"x", std::move(ejections)},
                   {"r", std::move(prefill_demand)},
                   {"u", encode_usage(digest.usage)},
                   {"m", encode_loads(digest.loads)},
                   {"d", encode_items(digest.crashes)},
                   {"l", digest.holds_lease},
                   {"rc", encode_read_position(digest.configuration)},
                   {"rs", encode_read_position(digest.servers)}};
    if (!digest.part_crashes.empty()) {
        encoded["dp"] = encode_items(digest.part_crashes);
    }
    if (!digest.part_clearances.empty()) {
        encoded["dc"] = encode_items(digest.part_clearances);
    }
    if (digest.capacity != policy::host_capacity{}) {
        encoded["b"] = array{digest.capacity.link_bytes_per_second, digest.capacity.core_thousandths};
    }
    if (digest.is_cut_off) {
        encoded["o"] = true;
    }
    if (digest.missing_servers_from) {
        encoded["ms"] = array{digest.missing_servers_from->offset, digest.missing_servers_from->era};
    }
    if (digest.recorded_usage) {
        encoded["ur"] = encode_recorded_usage(*digest.recorded_usage);
    }
    if (!digest.speeds.empty()) {
        encoded["sp"] = encode_speeds(digest.speeds);
    }
    if (!digest.limits.empty()) {
        encoded["sl"] = encode_items(digest.limits);
    }
    return boost::json::serialize(encoded);
}

host_digest decode_host_digest(std::string_view text) {
    const value document = json::parse(text);
    return decode_host_digest(json::as_object(document, "host digest"));
}

host_digest decode_host_digest(const object& source) {
    host_digest digest{.host = json::get_string(source, "h"),
                       .zone = zone_name(json::get_string(source, "z")),
                       .group = json::get_string(source, "g"),
                       .incarnation = json::get_unsigned(source, "i"),
                       .sequence = json::get_unsigned(source, "n"),
                       .corrected_time = wall_time(std::chrono::microseconds(json::get_unsigned(source, "w"))),
                       .is_stopping = json::get_bool_or(source, "s", false),
                       .is_cut_off = json::get_bool_or(source, "o", false),
                       .engines = {},
                       .instances = {},
                       .prefix_accesses = {},
                       .transitions = {},
                       .ejections = {},
                       .prefill_demand = {},
                       .usage = decode_usage(json::get_array(source, "u")),
                       .recorded_usage = {},
                       .loads = decode_loads(json::get_object(source, "m")),
                       .crashes = decode_crashes(json::get_array(source, "d")),
                       .part_crashes = {},
                       .part_clearances = {},
                       .holds_lease = json::get_bool_or(source, "l", false),
                       .configuration = decode_read_position(json::get_array(source, "rc")),
                       .servers = decode_read_position(json::get_array(source, "rs")),
                       .missing_servers_from = {},
                       .speeds = {},
                       .limits = {}};
    if (source.contains("dp")) {
        digest.part_crashes = decode_part_crashes(json::get_array(source, "dp"));
    }
    if (source.contains("sp")) {
        digest.speeds = decode_speeds(json::get_object(source, "sp"));
    }
    if (source.contains("sl")) {
        digest.limits = decode_limit_reports(json::get_array(source, "sl"));
    }
    if (source.contains("dc")) {
        digest.part_clearances = decode_part_clearances(json::get_array(source, "dc"));
    }
    for (const auto& item : json::get_object(source, "e")) {
        digest.engines.emplace(backend_server_name(std::string_view(item.key())),
                               decode_engine(require_list(item.value())));
    }
    const object& instances = json::get_object(source, "p");
    for (const auto& item : instances) {
        digest.instances.emplace(backend_server_name(std::string_view(item.key())),
                                 static_cast<std::uint32_t>(json::get_unsigned(instances, item.key())));
    }
    for (const value& item : json::get_array(source, "t")) {
        digest.prefix_accesses.push_back(decode_prefix_access(item));
    }
    for (const auto& item : json::get_object(source, "c")) {
        const array& transition = require_list(item.value());
        digest.transitions.emplace(
            backend_server_name(std::string_view(item.key())),
            digest_transition{.stage = get_number(transition, 0) == 1 ? fleet::engine_stage::prefill
                                                                      : fleet::engine_stage::decode,
                              .remaining = std::chrono::microseconds(get_number(transition, 1))});
    }
    if (source.contains("b")) {
        digest.capacity = decode_capacity(json::get_array(source, "b"));
    }
    if (source.contains("ms")) {
        digest.missing_servers_from = decode_position(json::get_array(source, "ms"));
    }
    if (source.contains("ur")) {
        digest.recorded_usage = decode_recorded_usage(json::get_array(source, "ur"));
    }
    // Hosts of an earlier version, which may run at the same time during an update, do not send this field.
    if (source.contains("x")) {
        const object& ejections = json::get_object(source, "x");
        for (const auto& item : ejections) {
            digest.ejections.emplace(backend_server_name(std::string_view(item.key())),
                                     std::chrono::microseconds(json::get_unsigned(ejections, item.key())));
        }
    }
    const object& prefill_demand = json::get_object(source, "r");
    for (const auto& item : prefill_demand) {
        digest.prefill_demand.emplace(service_name(std::string_view(item.key())),
                                      std::chrono::microseconds(json::get_unsigned(prefill_demand, item.key())));
    }
    return digest;
}

} // namespace dragonflywell::servers
