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
    /// Time since a response last named it.
    duration named_age{};
    /// Time since the newest request was sent whose response named no limit, if that was after the limit was named.
    std::optional<duration> ended_age;

    friend bool operator==(const server_limit_report&, const server_limit_report&) = default;
};

} // namespace dragonflywell::policy
