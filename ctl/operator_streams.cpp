#include "ctl/operator_streams.hpp"

#include <unistd.h>

namespace dragonflywell::ctl {

namespace {

coordination::writer_id make_operator_id() {
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    const auto microseconds = std::chrono::duration_cast<std::chrono::microseconds>(now).count();
    return {.host = "operator-" + std::to_string(::getpid()), .incarnation = static_cast<std::uint64_t>(microseconds)};
}

} // namespace

operator_streams::operator_streams(const command_context& context)
    : log({.server = context.platform_log, .deadline = context.deadline}),
      configuration_stream(log, std::string(coordination::configuration_stream), make_operator_id()),
      usage_stream(log, std::string(coordination::usage_stream), make_operator_id()) {
    configuration_stream.add_observer(configuration);
    usage_stream.add_observer(usage);
}

} // namespace dragonflywell::ctl
