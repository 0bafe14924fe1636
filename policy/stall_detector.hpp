#pragma once

#include <list>
#include <map>
#include <vector>

#include "core/clock.hpp"
#include "core/identifiers.hpp"

namespace dragonflywell::policy {

struct stall_detector_options {
    /// How many times as long as expected a server may take until it counts as silent, and how much longer besides: a
    /// step of the server, the way there and back, and a guess that is off.
    int timeout_factor{3};
    duration timeout_margin{std::chrono::milliseconds(400)};
};

/// Tells which servers leave requests of this host without any answer for much longer than they should. A server's
/// silence is no reason to end an answer that may still come, but it is one to send nothing more there meanwhile.
/// Answers the load of servers that go dark while their connections stay open. Not thread safe.
class stall_detector {
public:
    explicit stall_detector(stall_detector_options options = {}) : m_options(options) {}

    /// A request that waits for its first answer, for as long as this lives.
    class pending_request {
    public:
        pending_request(stall_detector& watch, backend_server_name server, steady_time overdue_at);
        pending_request(const pending_request&) = delete;
        pending_request& operator=(const pending_request&) = delete;
        pending_request(pending_request&&) = delete;
        pending_request& operator=(pending_request&&) = delete;
        ~pending_request() { end(); }

        /// Notes that the answer has begun. Idempotent.
        void end();

    private:
        stall_detector* m_watch;
        backend_server_name m_server;
        std::list<steady_time>::iterator m_place;
        bool m_has_ended{false};
    };

    /// Watches a request that was sent now. Precondition: the watch outlives the result.
    [[nodiscard]] pending_request track(const backend_server_name& server, steady_time now, duration expected);

    /// Returns whether a request has waited there for too long.
    [[nodiscard]] bool is_stalled(const backend_server_name& server, steady_time now) const;
    /// Returns all such servers.
    [[nodiscard]] std::vector<backend_server_name> get_stalled(steady_time now) const;

private:
    stall_detector_options m_options;
    /// When the requests that wait at a server are overdue.
    std::map<backend_server_name, std::list<steady_time>> m_waiting;
};

} // namespace dragonflywell::policy
