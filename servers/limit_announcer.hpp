#pragma once

#include <cstddef>
#include <vector>

#include "core/identifiers.hpp"
#include "policy/server_limit_report.hpp"

namespace dragonflywell::servers {

/// Chooses the reports on limits of servers for a digest in which not all of them have room. Half of the room is for
/// those that changed last, the rest for the others in turn. Not thread safe.
class limit_announcer {
public:
    /// Largest number of servers in a digest.
    static constexpr std::size_t max_servers = 64;

    /// Returns the reports for the next digest. `known`: all of them, those that changed last first. `room`: in encoded
    /// bytes.
    [[nodiscard]] std::vector<policy::server_limit_report> take(std::vector<policy::server_limit_report> known,
                                                                std::size_t room);

private:
    /// The last server that was sent in turn.
    backend_server_name m_last;
};

} // namespace dragonflywell::servers
