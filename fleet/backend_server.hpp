#pragma once

#include <cstdint>
#include <string>
#include <variant>

#include "core/endpoint.hpp"
#include "core/identifiers.hpp"

namespace dragonflywell::fleet {

/// The part of a model's work that an engine performs.
enum class engine_role { mixed, prefill, decode };

[[nodiscard]] constexpr const char* get_role_name(engine_role role) noexcept {
    switch (role) {
    case engine_role::mixed:
        return "mixed";
    case engine_role::prefill:
        return "prefill";
    case engine_role::decode:
        return "decode";
    }
    return "mixed";
}

/// The properties of a backend server that runs a model.
struct engine {
    model_name model;
    engine_role role{engine_role::mixed};
    /// Maximum number of tokens that it processes at once.
    std::uint64_t capacity_tokens{2000};
    /// Whether it refuses orders with a stale fencing number.
    bool checks_fencing{false};

    friend bool operator==(const engine&, const engine&) = default;
};

/// One backend server: an engine, or an instance of a plain service.
struct backend_server {
    backend_server_name name;
    zone_name zone;
    endpoint address;
    /// Whether it is a cheap (spot) server. All cheap servers of its zone may be reclaimed at any time.
    bool is_cheap{false};
    std::variant<engine, service_name> offer;

    [[nodiscard]] const engine* get_engine() const noexcept { return std::get_if<engine>(&offer); }
    [[nodiscard]] const service_name* get_service() const noexcept { return std::get_if<service_name>(&offer); }

    friend bool operator==(const backend_server&, const backend_server&) = default;
};

} // namespace dragonflywell::fleet
