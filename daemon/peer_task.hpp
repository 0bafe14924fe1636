#pragma once

#include <memory>

#include "daemon/control_task.hpp"
#include "daemon/daemon_parts.hpp"
#include "daemon/peer_hub.hpp"
#include "servers/peer_client.hpp"

namespace dragonflywell::daemon {

/// Carries gossip between this daemon and others.
class peer_task final : public control_task {
public:
    /// Precondition: the hub is shared with the tasks that need the other daemons.
    peer_task(const daemon_parts& parts, std::shared_ptr<peer_hub> hub);

    void run_round() override;
    void finish() override;
    [[nodiscard]] const char* get_name() const noexcept override { return "peers"; }
    [[nodiscard]] duration get_interval() const noexcept override;

private:
    void send(std::vector<coordination::addressed_message> messages);
    void report();

    daemon_parts m_parts;
    std::shared_ptr<peer_hub> m_hub;
    servers::peer_client m_client;
    gauge* m_members;
    gauge* m_links;
    gauge* m_reach;
    counter* m_sent;
    counter* m_answered;
};

} // namespace dragonflywell::daemon
