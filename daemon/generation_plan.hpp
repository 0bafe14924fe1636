#pragma once

#include "policy/stage_plan.hpp"
#include "servers/serving_state.hpp"

namespace dragonflywell::daemon {

/// Returns the options with which the engines of a service are planned: how many requests an engine that generates may
/// run for events to follow each other as fast as the routes of the service ask.
[[nodiscard]] policy::stage_plan_options make_stage_plan_options(servers::serving_state& state,
                                                                 const service_name& service);

} // namespace dragonflywell::daemon
