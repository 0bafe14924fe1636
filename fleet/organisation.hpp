#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include "core/identifiers.hpp"

namespace dragonflywell::fleet {

/// What a daemon does with the requests of an organisation while its zone cannot reach the log, so that it cannot see
/// whether a key was revoked.
enum class cut_off_behaviour { serve, refuse };

/// A paying customer.
struct organisation {
    organisation_name name;
    /// Share of a contended engine, relative to the other organisations.
    std::uint32_t weight{1};
    /// Tokens that may be used in one billing window; 0 means no limit.
    std::uint64_t tokens_per_window{0};
    cut_off_behaviour when_cut_off{cut_off_behaviour::serve};
    /// With `refuse`, requests are still served for this long after the zone was cut off.
    std::chrono::seconds cut_off_grace{0};
    /// Whether its repeatable requests may run on cheap servers.
    bool accepts_cheap_servers{true};

    friend bool operator==(const organisation&, const organisation&) = default;
};

/// An API key as stored in the manifest, without the secret itself.
struct api_key {
    std::string id;
    organisation_name owner;
    std::string salt;
    /// SHA-256 of salt and secret, as hexadecimal digits.
    std::string sha256;

    friend bool operator==(const api_key&, const api_key&) = default;
};

} // namespace dragonflywell::fleet
