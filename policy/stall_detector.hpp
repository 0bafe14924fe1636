#pragma once

#include <list>
#include <map>
#include <vector>

#include "core/clock.hpp"
#include "core/identifiers.hpp"

namespace dragonflywell::policy {

struct stall_detector_options {
    /// A request is overdue after its expected time multiplied by the factor, plus the margin. They cover a scheduling
    /// step of the server, the network round trip, and errors of the estimate.
    int timeout_factor{3};
    duration timeout_margin{std::chrono::milliseconds(400)};
};

/// Detects servers that have not begun to answer a request of this host for much longer than expected. Such a request
/// is not cancelled, because the answer may still come, but the server gets no further requests meanwhile. This catches
/// servers that hang while their connections stay open. Not thread safe.
class stall_detector {
public:
    explicit stall_detector(stall_detector_options options = {}) : m_options(options) {}

    /// A request that waits for the begin of its answer, during the lifetime of the object.
    class pending_request {
    public:
        pending_request(stall_detector& watch, backend_server_name server, steady_time overdue_at);
        pending_request(const pending_request&) = delete;
        pending_request& operator=(const pending_request&) = delete;
        pending_request(pending_request&&) = delete;
        pending_request& operator=(pending_request&&) = delete;
        ~pending_request() { end(); }

        /// Records that the answer has begun. Idempotent.
        void end();

    private:
        stall_detector* m_detector;
        backend_server_name m_server;
        std::list<steady_time>::iterator m_entry;
        bool m_has_ended{false};
    };

    /// Tracks a request that was sent now and whose answer is expected to begin after `expected`. Precondition: this
    /// object outlives the result.
    [[nodiscard]] pending_request track(const backend_server_name& server, steady_time now, duration expected);

    /// Returns whether a request to the server is overdue.
    [[nodiscard]] bool is_stalled(const backend_server_name& server, steady_time now) const;
    /// Returns all servers with an overdue request.
    [[nodiscard]] std::vector<backend_server_name> get_stalled(steady_time now) const;

private:
    stall_detector_options m_options;
    /// Times at which the pending requests of a server become overdue.
    std::map<backend_server_name, std::list<steady_time>> m_waiting;
};

} // namespace dragonflywell::policy
