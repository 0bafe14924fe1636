#include "core/log.hpp"

#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <spdlog/details/null_mutex.h>
#include <spdlog/pattern_formatter.h>
#include <spdlog/sinks/base_sink.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

namespace dragonflywell {

namespace {

/// Prefix of the text that `log_event` writes.
constexpr std::string_view event_prefix = "{\"event\":";

/// Writes the message as an escaped JSON string field, so that quotes in it cannot break the line. The fields of a
/// `log_event` are written as they are.
class json_payload_flag final : public spdlog::custom_flag_formatter {
public:
    void format(const spdlog::details::log_msg& message, const std::tm& /*time*/, spdlog::memory_buf_t& out) override {
        const std::string_view payload(message.payload.data(), message.payload.size());
        if (payload.starts_with(event_prefix)) {
            out.append(payload.data() + 1, payload.data() + payload.size() - 1);
            return;
        }
        const std::string text =
            "\"message\":" + boost::json::serialize(boost::json::string_view(payload.data(), payload.size()));
        out.append(text.data(), text.data() + text.size());
    }

    [[nodiscard]] std::unique_ptr<custom_flag_formatter> clone() const override {
        return std::make_unique<json_payload_flag>();
    }
};

/// Appends formatted lines to a log buffer.
class log_buffer_sink final : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
public:
    explicit log_buffer_sink(std::shared_ptr<log_buffer> ring) : m_ring(std::move(ring)) {}

protected:
    void sink_it_(const spdlog::details::log_msg& message) override {
        spdlog::memory_buf_t line;
        formatter_->format(message, line);
        const std::string_view payload(message.payload.data(), message.payload.size());
        const bool is_high_priority = message.level >= spdlog::level::warn || payload.starts_with(request_end_prefix);
        m_ring->push(std::string(line.data(), line.size()), is_high_priority);
    }
    void flush_() override {}

private:
    /// Prefix of the text of events that end a request.
    static constexpr std::string_view request_end_prefix = "{\"event\":\"request_";

    std::shared_ptr<log_buffer> m_ring;
};

std::shared_ptr<spdlog::sinks::sink> make_sink(const log_options& options) {
    if (options.buffer != nullptr) {
        return std::make_shared<log_buffer_sink>(options.buffer);
    }
    return std::make_shared<spdlog::sinks::stderr_sink_mt>();
}

} // namespace

void set_log_options(const log_options& options) {
    auto sink = make_sink(options);
    auto formatter = std::make_unique<spdlog::pattern_formatter>(spdlog::pattern_time_type::utc);
    if (options.format == log_format::json_lines) {
        formatter->add_flag<json_payload_flag>('*');
        const std::string host = boost::json::serialize(boost::json::string_view(options.host));
        formatter->set_pattern(R"({"time":"%Y-%m-%dT%H:%M:%S.%eZ","level":"%l","part":"%n","host":)" + host +
                               R"(,%*})");
    } else {
        formatter->set_pattern("%Y-%m-%dT%H:%M:%S.%eZ %l [%n] %v");
    }
    sink->set_formatter(std::move(formatter));
    auto logger = std::make_shared<spdlog::logger>("main", std::move(sink));
    // All loggers share the sink, and the sink filters by level, so that the level can be changed later.
    logger->set_level(spdlog::level::trace);
    logger->flush_on(spdlog::level::info);
    spdlog::set_default_logger(std::move(logger));
    set_log_level(options.level);
}

void set_log_level(const std::string& level) {
    for (const spdlog::sink_ptr& sink : spdlog::default_logger()->sinks()) {
        sink->set_level(spdlog::level::from_str(level));
    }
}

std::shared_ptr<spdlog::logger> get_logger(std::string_view part) {
    return spdlog::default_logger()->clone(std::string(part));
}

} // namespace dragonflywell
