#include "daemon/host_settings.hpp"

#include <cmath>

#include "core/settings_reader.hpp"
#include "daemon/environment_number.hpp"

namespace dragonflywell::daemon {

namespace {

constexpr integer_range any_count{.min = 0, .max = 1'000'000'000};
constexpr integer_range milliseconds_range{.min = 1, .max = 3'600'000};
constexpr number_range seconds_range{.min = 0.001, .max = 86'400};
constexpr number_range share_range{.min = 0, .max = 100};
constexpr number_range count_range{.min = 0, .max = 1e9};
constexpr number_range link_range{.min = 0.1, .max = 1e6};
constexpr number_range core_range{.min = 0.001, .max = 1024};
constexpr double bytes_per_megabit = 125'000;
constexpr double thousandths = 1000;

endpoint get_endpoint(settings_reader& reader, const std::string& key) {
    const std::optional<endpoint> parsed = parse_endpoint(reader.get_string(key));
    if (!parsed) {
        reader.add_problem(key, "must be an IP address and port such as 127.0.0.1:8080");
    }
    return parsed.value_or(endpoint{});
}

endpoint get_optional_endpoint(settings_reader& reader, const std::string& key) {
    const std::string text = reader.get_string(key, "");
    const std::optional<endpoint> parsed = parse_endpoint(text);
    if (!parsed && !text.empty()) {
        reader.add_problem(key, "must be an IP address and port such as 127.0.0.1:8080");
    }
    return parsed.value_or(endpoint{});
}

duration get_milliseconds(settings_reader& reader, const std::string& key) {
    return std::chrono::milliseconds(reader.get_integer(key, milliseconds_range));
}

duration get_seconds(settings_reader& reader, const std::string& key) {
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(reader.get_number(key, seconds_range)));
}

policy::host_capacity get_capacity(settings_reader& reader, const policy::host_capacity& fallback) {
    const double megabits = reader.get_number("host.link_mbps", link_range,
                                              static_cast<double>(fallback.link_bytes_per_second) / bytes_per_megabit);
    const double cores =
        reader.get_number("host.cpu_share", core_range, static_cast<double>(fallback.core_thousandths) / thousandths);
    return {.link_bytes_per_second = static_cast<std::uint64_t>(std::llround(megabits * bytes_per_megabit)),
            .core_thousandths = static_cast<std::uint32_t>(std::llround(cores * thousandths))};
}

host_bounds get_bounds(settings_reader& reader) {
    return {.server_heartbeat = get_milliseconds(reader, "bounds.server_heartbeat_ms"),
            .recovery = get_milliseconds(reader, "bounds.contact_ms"),
            .drain = get_milliseconds(reader, "bounds.drain_ms"),
            .stop = get_seconds(reader, "bounds.stop_s"),
            .configuration = get_milliseconds(reader, "bounds.configuration_ms"),
            .lease = get_milliseconds(reader, "bounds.lease_ms"),
            .retries_per_request = reader.get_number("bounds.repeats_per_request", share_range),
            .base_retries = reader.get_number("bounds.repeats_besides", count_range),
            .retry_window = get_seconds(reader, "bounds.repeats_window_s"),
            .usage_window = get_seconds(reader, "bounds.usage_window_s"),
            .usage_report = get_seconds(reader, "bounds.usage_due_s")};
}

} // namespace

policy::host_capacity read_capacity_from_environment() {
    policy::host_capacity capacity = default_capacity;
    if (const std::optional<double> megabits = read_number_from_environment("HOST_LINK_MBPS", link_range)) {
        capacity.link_bytes_per_second = static_cast<std::uint64_t>(std::llround(*megabits * bytes_per_megabit));
    }
    if (const std::optional<double> cores = read_number_from_environment("HOST_CPU_SHARE", core_range)) {
        capacity.core_thousandths = static_cast<std::uint32_t>(std::llround(*cores * thousandths));
    }
    return capacity;
}

host_settings parse_host_settings(std::string_view text, const std::string& file,
                                  const policy::host_capacity& fallback) {
    settings_reader reader(text, file);
    host_settings settings;
    settings.name = host_name(reader.get_string("host.name"));
    settings.zone = zone_name(reader.get_string("host.zone"));
    settings.address = reader.get_string("host.address");
    settings.is_first_start = reader.get_boolean("host.is_first_start", false);
    settings.capacity = get_capacity(reader, fallback);
    settings.callers = get_endpoint(reader, "listen.callers");
    settings.ready = get_endpoint(reader, "listen.ready");
    settings.metrics = get_endpoint(reader, "listen.metrics");
    settings.hosts = get_endpoint(reader, "listen.hosts");
    settings.store = get_endpoint(reader, "store.address");
    settings.orders = get_optional_endpoint(reader, "orders.address");
    settings.order_calls_per_second = reader.get_number("orders.calls_per_second", count_range, 0.0);
    for (const std::string& duty : reader.get_strings("orders.duties")) {
        settings.duties.insert(duty);
    }
    settings.bounds = get_bounds(reader);
    settings.log.level = reader.get_choice("log.level", {"trace", "debug", "info", "warn", "error"}, "info");
    settings.log.format = log_format::json_lines;
    settings.log.host = settings.name.value();
    reader.finish();
    return settings;
}

bool is_host_settings(std::string_view text) {
    return text.find("\n[store]\n") != std::string_view::npos;
}

} // namespace dragonflywell::daemon
