#pragma once

#include <cstdint>
#include <optional>

#include "core/clock.hpp"
#include "core/identifiers.hpp"

namespace dragonflywell::policy {

/// What a host believes of the limit of a server, for other hosts. Ages are of the moment at which the report was made;
/// the receiver adds how long it was on the way, so that no clock of another host is used.
struct server_limit_report {
    backend_server_name server;
    std::uint64_t incarnation{};
    /// Requests per second of all hosts together that the server named last.
    double limit{};
    /// Identifies the response that named it, so that a host does not take a report that it has passed on itself for a
    /// newer one.
    std::uint64_t naming{};
    /// Time since that response.
    duration named_age{};
    /// If the limit has ended: time since the newest request was sent whose response named none.
    std::optional<duration> ended_age{std::nullopt};

    friend bool operator==(const server_limit_report&, const server_limit_report&) = default;
};

} // namespace dragonflywell::policy
