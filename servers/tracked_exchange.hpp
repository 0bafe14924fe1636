#pragma once

#include <optional>

#include "core/identifiers.hpp"
#include "policy/crash_attribution.hpp"
#include "servers/backend_exchange.hpp"
#include "servers/caller_request.hpp"

namespace dragonflywell::servers {

class serving_state;

/// Keeps that a request is at a server while its exchange runs. If it ends without a whole answer, in whichever way,
/// the request is recorded as one that the server may have crashed of. That says nothing of the health of the server.
/// Not thread safe.
class tracked_exchange {
public:
    /// What is sent in the exchange.
    struct subject {
        const caller_request* request{};
        organisation_name organisation;
        /// Whether the server begins to answer the prompt of the request.
        bool is_generation{false};
    };

    /// Preconditions: the server is listed; state, exchange and request outlive the object.
    tracked_exchange(serving_state& state, backend_server_name server, const backend_exchange& exchange,
                     subject content);
    tracked_exchange(const tracked_exchange&) = delete;
    tracked_exchange& operator=(const tracked_exchange&) = delete;
    tracked_exchange(tracked_exchange&&) = delete;
    tracked_exchange& operator=(tracked_exchange&&) = delete;
    ~tracked_exchange();

    /// Call when the answer has begun: the parts of the prompt have not crashed the server.
    void set_answer_begun() noexcept { m_is_waiting = false; }
    /// Call when the whole answer is there.
    void set_answered();
    /// Call when the response shows that the server has not run the request.
    void set_not_run() noexcept { m_is_settled = true; }
    /// Call when the server, and not this host, ended the exchange.
    void set_broken() noexcept { m_is_broken = true; }

    [[nodiscard]] bool is_broken() const noexcept { return m_is_broken; }
    [[nodiscard]] steady_time get_sent_at() const noexcept { return m_sent_at; }
    /// Returns the request if the server may have crashed of it, or nothing. Afterwards the end of the exchange records
    /// nothing.
    [[nodiscard]] std::optional<policy::crash_suspect> take_suspect();

private:
    serving_state* m_state;
    backend_server_name m_server;
    const backend_exchange* m_exchange;
    subject m_subject;
    std::uint64_t m_incarnation{};
    steady_time m_sent_at;
    bool m_is_waiting;
    bool m_is_settled{false};
    bool m_is_broken{false};
};

} // namespace dragonflywell::servers
