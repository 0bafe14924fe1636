#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace dragonflywell {

/// Returns the SHA-256 digest of `data` as lower-case hexadecimal digits.
[[nodiscard]] std::string get_sha256_hex(std::string_view data);

/// Returns a 64-bit hash that is the same on every host and in every version. Not for secrets.
[[nodiscard]] std::uint64_t get_stable_hash(std::string_view data) noexcept;

/// Returns a number from 0 to below 1 that is the same on every host for the same name and seed. Thread safe.
[[nodiscard]] double hash_to_unit_interval(std::string_view name, std::uint64_t seed) noexcept;

/// Compares two secrets in a time that does not depend on where they differ.
[[nodiscard]] bool is_equal_in_constant_time(std::string_view left, std::string_view right) noexcept;

} // namespace dragonflywell
