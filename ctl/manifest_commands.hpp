#pragma once

#include <memory>
#include <vector>

#include "ctl/command.hpp"

namespace dragonflywell::ctl {

/// Returns the commands that check, publish and show manifests and that create API keys.
[[nodiscard]] std::vector<std::unique_ptr<command>> make_manifest_commands();

} // namespace dragonflywell::ctl
