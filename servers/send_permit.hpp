#pragma once

#include <cstdint>
#include <optional>

#include "core/clock.hpp"
#include "core/identifiers.hpp"

namespace dragonflywell::servers {

class server_limits;

/// Permission to send one request to a backend server. What is not used goes back to the limit of the server. Used on
/// the event loop of the limits.
class send_permit {
public:
    /// A permit for a server that names no limit. Precondition: the limits outlive the permit.
    send_permit(server_limits& limits, backend_server_name server);
    /// A permit that was taken from the limit of a server at that time. `session`: see `policy::quota_decision`.
    send_permit(server_limits& limits, backend_server_name server, std::uint64_t session, steady_time taken_at);
    send_permit(const send_permit&) = delete;
    send_permit& operator=(const send_permit&) = delete;
    send_permit(send_permit&& other) noexcept;
    send_permit& operator=(send_permit&& other) noexcept;
    ~send_permit() { give_back(); }

    /// Uses the permit, right before the request is sent. Returns whether the request may be sent: if a limit was named
    /// since the permit was taken, or the permit is too old, another one is taken, and there may be none.
    [[nodiscard]] bool try_use();

private:
    /// What was taken from a limit.
    struct taken_room {
        std::uint64_t session{};
        steady_time at{};
    };

    void give_back() noexcept;

    server_limits* m_limits;
    backend_server_name m_server;
    std::optional<taken_room> m_room;
};

} // namespace dragonflywell::servers
