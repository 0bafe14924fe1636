#pragma once

#include <cstdint>
#include <string>
#include <variant>

#include "core/endpoint.hpp"
#include "core/identifiers.hpp"

namespace dragonflywell::fleet {

/// Part of a model's work that an engine takes.
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

/// What a backend server that runs a model offers.
struct engine {
    model_name model;
    engine_role role{engine_role::mixed};
    /// Tokens that it can keep in work at once.
    std::uint64_t capacity_tokens{2000};
    /// Whether it refuses orders with an old fencing number.
    bool checks_fencing{false};

    friend bool operator==(const engine&, const engine&) = default;
};

/// One backend server: an engine, or an instance of a plain service.
struct backend_server {
    backend_server_name name;
    zone_name zone;
    endpoint address;
    /// May be reclaimed with its whole zone at any moment.
    bool is_cheap{false};
    std::variant<engine, service_name> offer;

    [[nodiscard]] const engine* get_engine() const noexcept { return std::get_if<engine>(&offer); }
    [[nodiscard]] const service_name* get_service() const noexcept { return std::get_if<service_name>(&offer); }

    friend bool operator==(const backend_server&, const backend_server&) = default;
};

} // namespace dragonflywell::fleet
