#include "policy/access_control.hpp"

#include "core/hash.hpp"

namespace dragonflywell::policy {

std::optional<std::string_view> get_bearer_key(std::string_view authorization) noexcept {
    constexpr std::string_view scheme = "Bearer ";
    if (!authorization.starts_with(scheme)) {
        return std::nullopt;
    }
    return authorization.substr(scheme.size());
}

std::optional<organisation_name> find_key_owner(const fleet::manifest& manifest, std::string_view key) {
    const std::size_t dot = key.find('.');
    if (dot == std::string_view::npos) {
        return std::nullopt;
    }
    const auto found = manifest.keys.find(std::string(key.substr(0, dot)));
    if (found == manifest.keys.end()) {
        return std::nullopt;
    }
    const fleet::api_key& known = found->second;
    const std::string digest = get_sha256_hex(known.salt + std::string(key.substr(dot + 1)));
    if (!is_equal_in_constant_time(digest, known.sha256)) {
        return std::nullopt;
    }
    return known.owner;
}

} // namespace dragonflywell::policy
