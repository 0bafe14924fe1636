#pragma once

#include <boost/json/object.hpp>
#include <string>

namespace dragonflywell::ctl {

/// Formats the status of a daemon as human-readable text. Missing optional keys are shown with default values. Throws
/// `malformed_message_error` when a mandatory key is missing. Thread safe.
[[nodiscard]] std::string format_status(const boost::json::object& status);

} // namespace dragonflywell::ctl
