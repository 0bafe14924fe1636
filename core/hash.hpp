#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace dragonflywell {

/// Returns the SHA-256 digest of `data` as lower-case hexadecimal digits.
[[nodiscard]] std::string get_sha256_hex(std::string_view data);

/// Returns a 64-bit hash that is the same on every host and in every version. It is not cryptographic.
[[nodiscard]] std::uint64_t get_stable_hash(std::string_view data) noexcept;

/// Hashes a name and a seed to a number of at least 0 and below 1, which is the same on every host. Thread safe.
[[nodiscard]] double hash_to_unit_interval(std::string_view name, std::uint64_t seed) noexcept;

/// Compares two secrets in constant time, independent of the position at which they differ.
[[nodiscard]] bool is_equal_in_constant_time(std::string_view left, std::string_view right) noexcept;

} // namespace dragonflywell
