#pragma once

#include "coordination/configuration.hpp"
#include "coordination/usage.hpp"
#include "ctl/command.hpp"
#include "platform/http_log.hpp"

namespace dragonflywell::ctl {

/// The configuration and usage streams of the platform's log, with their folded states. Not thread safe.
struct operator_streams {
    explicit operator_streams(const command_context& context);

    platform::http_log log;
    coordination::folded_stream configuration_stream;
    coordination::folded_stream usage_stream;
    coordination::configuration_fold configuration;
    coordination::usage_fold usage;
};

} // namespace dragonflywell::ctl
