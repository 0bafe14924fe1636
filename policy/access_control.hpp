#pragma once

#include <optional>
#include <string_view>

#include "fleet/manifest.hpp"

namespace dragonflywell::policy {

/// Returns the "ID.SECRET" part of an Authorization header "Bearer ID.SECRET", or nothing if the scheme is another one.
/// Thread safe.
[[nodiscard]] std::optional<std::string_view> get_bearer_key(std::string_view authorization) noexcept;

/// Returns the organisation that owns the API key, or nothing if the key is unknown, revoked or wrong. Thread safe.
[[nodiscard]] std::optional<organisation_name> find_key_owner(const fleet::manifest& manifest, std::string_view key);

} // namespace dragonflywell::policy
