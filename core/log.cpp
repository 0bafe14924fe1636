#include "core/log.hpp"

#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <spdlog/pattern_formatter.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

namespace dragonflywell {

namespace {

/// Writes the message as a JSON string, so that a quote in it cannot break the line.
class json_payload_flag final : public spdlog::custom_flag_formatter {
public:
    void format(const spdlog::details::log_msg& message, const std::tm& /*time*/, spdlog::memory_buf_t& out) override {
        const std::string text =
            boost::json::serialize(boost::json::string_view(message.payload.data(), message.payload.size()));
        out.append(text.data(), text.data() + text.size());
    }

    [[nodiscard]] std::unique_ptr<custom_flag_formatter> clone() const override {
        return std::make_unique<json_payload_flag>();
    }
};

} // namespace

void set_log_options(const log_options& options) {
    auto sink = std::make_shared<spdlog::sinks::stderr_sink_mt>();
    auto formatter = std::make_unique<spdlog::pattern_formatter>(spdlog::pattern_time_type::utc);
    if (options.format == log_format::json_lines) {
        formatter->add_flag<json_payload_flag>('*');
        const std::string host = boost::json::serialize(boost::json::string_view(options.host));
        formatter->set_pattern(R"({"time":"%Y-%m-%dT%H:%M:%S.%eZ","level":"%l","part":"%n","host":)" + host +
                               R"(,"message":%*})");
    } else {
        formatter->set_pattern("%Y-%m-%dT%H:%M:%S.%eZ %l [%n] %v");
    }
    sink->set_formatter(std::move(formatter));
    auto logger = std::make_shared<spdlog::logger>("main", std::move(sink));
    logger->set_level(spdlog::level::from_str(options.level));
    logger->flush_on(spdlog::level::info);
    spdlog::set_default_logger(std::move(logger));
}

std::shared_ptr<spdlog::logger> get_logger(std::string_view part) {
    return spdlog::default_logger()->clone(std::string(part));
}

} // namespace dragonflywell
