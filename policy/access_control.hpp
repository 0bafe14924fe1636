#pragma once

#include <optional>
#include <string_view>

#include "fleet/manifest.hpp"

namespace dragonflywell::policy {

/// Splits "Bearer ID.SECRET" and returns "ID.SECRET", or nothing for another form.
[[nodiscard]] std::optional<std::string_view> get_bearer_key(std::string_view authorization) noexcept;

/// Returns the organisation whose key this is, or nothing for an unknown, revoked or wrong key. Thread safe.
[[nodiscard]] std::optional<organisation_name> find_key_owner(const fleet::manifest& manifest, std::string_view key);

} // namespace dragonflywell::policy
