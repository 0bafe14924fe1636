#include "core/hash.hpp"

#include <array>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/sha.h>
#include <xxhash.h>

namespace dragonflywell {

std::string get_sha256_hex(std::string_view data) {
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    unsigned int size = 0;
    EVP_Digest(data.data(), data.size(), digest.data(), &size, EVP_sha256(), nullptr);
    constexpr std::string_view digits = "0123456789abcdef";
    constexpr unsigned int low_nibble = 0x0f;
    std::string text;
    text.reserve(digest.size() * 2);
    for (const unsigned char byte : digest) {
        text += digits[byte >> 4U];
        text += digits[byte & low_nibble];
    }
    return text;
}

std::uint64_t get_stable_hash(std::string_view data) noexcept {
    return XXH64(data.data(), data.size(), 0);
}

double hash_to_unit_interval(std::string_view name, std::uint64_t seed) noexcept {
    /// An odd number with well-mixed bits, so that consecutive seeds give well-distributed results.
    constexpr std::uint64_t mixing_factor = 0x9E3779B97F4A7C15;
    constexpr unsigned shift = 52;
    constexpr double steps = 4096;
    const std::uint64_t hash = (get_stable_hash(name) ^ (seed * mixing_factor)) * mixing_factor;
    return static_cast<double>(hash >> shift) / steps;
}

bool is_equal_in_constant_time(std::string_view left, std::string_view right) noexcept {
    return left.size() == right.size() && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

} // namespace dragonflywell
