#include "servers/send_permit.hpp"

#include <utility>

#include "servers/server_limits.hpp"

namespace dragonflywell::servers {

send_permit::send_permit(server_limits& limits, backend_server_name server)
    : m_limits(&limits), m_server(std::move(server)) {}

send_permit::send_permit(server_limits& limits, backend_server_name server, std::uint64_t session, steady_time taken_at)
    : m_limits(&limits), m_server(std::move(server)), m_room(taken_room{.session = session, .at = taken_at}) {}

send_permit::send_permit(send_permit&& other) noexcept
    : m_limits(other.m_limits), m_server(std::move(other.m_server)), m_room(std::exchange(other.m_room, {})) {}

send_permit& send_permit::operator=(send_permit&& other) noexcept {
    if (this != &other) {
        give_back();
        m_limits = other.m_limits;
        m_server = std::move(other.m_server);
        m_room = std::exchange(other.m_room, {});
    }
    return *this;
}

bool send_permit::try_use() {
    if (m_room && m_limits->is_current(m_room->at)) {
        m_room.reset();
        return true;
    }
    give_back();
    std::optional<send_permit> other = m_limits->try_acquire(m_server);
    if (!other) {
        return false;
    }
    other->m_room.reset();
    return true;
}

void send_permit::give_back() noexcept {
    if (m_room) {
        m_limits->give_back(m_server, m_room->session);
        m_room.reset();
    }
}

} // namespace dragonflywell::servers
