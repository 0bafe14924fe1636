#pragma once

#include <string_view>

namespace dragonflywell {

inline constexpr std::string_view version = "0.1.0";

} // namespace dragonflywell
