#include "daemon/daemon_settings.hpp"

#include "core/settings_reader.hpp"

namespace dragonflywell::daemon {

namespace {

constexpr integer_range poll_milliseconds{.min = 10, .max = 10000};
constexpr integer_range retention_minutes{.min = 10, .max = 525600};
constexpr integer_range deadline_milliseconds{.min = 10, .max = 3600000};

std::optional<endpoint> get_optional_endpoint(settings_reader& reader, const std::string& key,
                                              std::optional<std::string> fallback) {
    const std::string text = reader.get_string(key, std::move(fallback));
    std::optional<endpoint> parsed = parse_endpoint(text);
    if (!parsed && !text.empty()) {
        reader.add_problem(key, "must be an IP address and port such as 127.0.0.1:8080");
    }
    return parsed;
}

endpoint get_endpoint(settings_reader& reader, const std::string& key) {
    return get_optional_endpoint(reader, key, std::nullopt).value_or(endpoint{});
}

duration get_milliseconds(settings_reader& reader, const std::string& key, integer_range range, std::int64_t fallback) {
    return std::chrono::milliseconds(reader.get_integer(key, range, fallback));
}

} // namespace

daemon_settings parse_daemon_settings(std::string_view text, const std::string& file) {
    settings_reader reader(text, file);
    daemon_settings settings;
    settings.host = host_name(reader.get_string("host.name"));
    settings.zone = zone_name(reader.get_string("host.zone"));
    settings.callers = get_endpoint(reader, "listen.callers");
    settings.operators = get_endpoint(reader, "listen.operators");
    settings.platform_log = get_endpoint(reader, "platform.log");
    settings.platform_usage = get_optional_endpoint(reader, "platform.usage", "");
    settings.log_deadline = get_milliseconds(reader, "platform.log_deadline_ms", deadline_milliseconds, 2000);
    settings.log_retention =
        std::chrono::minutes(reader.get_integer("platform.log_retention_minutes", retention_minutes, 1440));
    settings.configuration_poll = get_milliseconds(reader, "configuration.poll_ms", poll_milliseconds, 500);
    settings.control_interval = get_milliseconds(reader, "control.interval_ms", poll_milliseconds, 1000);
    settings.history_interval = get_milliseconds(reader, "history.interval_ms", deadline_milliseconds, 60000);
    settings.usage_flush = get_milliseconds(reader, "usage.flush_ms", poll_milliseconds, 1000);
    settings.claim_interval = get_milliseconds(reader, "claims.interval_ms", poll_milliseconds, 50);
    settings.claims.window =
        std::chrono::seconds(reader.get_integer("claims.window_s", {.min = 1200, .max = 604800}, 3600));
    settings.claims.max_entries =
        static_cast<std::size_t>(reader.get_integer("claims.most_entries", {.min = 100, .max = 1000000}, 50000));
    settings.workers = static_cast<unsigned>(reader.get_integer("threads.workers", {.min = 1, .max = 256}, 2));
    settings.header_limit_bytes = static_cast<std::uint32_t>(
        reader.get_integer("request.header_limit_bytes", {.min = 1024, .max = 1048576}, 16384));
    settings.body_limit_bytes = static_cast<std::uint64_t>(
        reader.get_integer("request.body_limit_bytes", {.min = 1024, .max = 1073741824}, 8388608));
    settings.limits.request_timeout = get_milliseconds(reader, "request.deadline_ms", deadline_milliseconds, 300000);
    settings.limits.progress_timeout =
        get_milliseconds(reader, "request.progress_deadline_ms", deadline_milliseconds, 5000);
    settings.limits.max_attempts =
        static_cast<unsigned>(reader.get_integer("request.most_attempts", {.min = 1, .max = 10}, 3));
    settings.admission.hosts =
        static_cast<std::uint64_t>(reader.get_integer("admission.hosts", {.min = 1, .max = 100000}, 1));
    settings.limits.entry_hosts = settings.admission.hosts;
    settings.admission.max_wait = get_milliseconds(reader, "admission.longest_wait_ms", deadline_milliseconds, 1900);
    settings.admission.max_waiting =
        static_cast<std::size_t>(reader.get_integer("admission.most_waiting", {.min = 1, .max = 1000000}, 1000));
    settings.stop_notice = get_milliseconds(reader, "stop.notice_ms", {.min = 0, .max = 600000}, 5000);
    settings.stop_grace = get_milliseconds(reader, "stop.grace_ms", deadline_milliseconds, 300000);
    settings.log.level = reader.get_choice("log.level", {"trace", "debug", "info", "warn", "error"}, "info");
    settings.log.format =
        reader.get_choice("log.format", {"text", "json"}, "text") == "json" ? log_format::json_lines : log_format::text;
    settings.log.host = settings.host.value();
    reader.finish();
    return settings;
}

} // namespace dragonflywell::daemon
