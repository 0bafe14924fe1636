#pragma once

#include <boost/json/object.hpp>
#include <string>

namespace dragonflywell::ctl {

/// Returns a daemon's status as lines that a person reads. Keys that are missing are left out. Thread safe.
[[nodiscard]] std::string format_status(const boost::json::object& status);

} // namespace dragonflywell::ctl
