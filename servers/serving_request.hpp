#pragma once

#include <memory>

#include "fleet/serving_view.hpp"
#include "servers/backend_exchange.hpp"
#include "servers/caller_channel.hpp"
#include "servers/caller_request.hpp"
#include "servers/request_record.hpp"
#include "servers/request_refused.hpp"
#include "servers/serving_state.hpp"

namespace dragonflywell::servers {

/// What every kind of request has in common on its way to a backend server. Used by one coroutine.
class serving_request {
public:
    serving_request(const serving_request&) = delete;
    serving_request& operator=(const serving_request&) = delete;
    serving_request(serving_request&&) = delete;
    serving_request& operator=(serving_request&&) = delete;
    virtual ~serving_request() = default;

    /// Answers the caller. Throws `request_refused`, `caller_disconnected_error`.
    virtual asio::awaitable<void> run(caller_channel& caller) = 0;

protected:
    /// The request as it was accepted; the configuration stays that of its arrival.
    struct accepted_request {
        const caller_request* request{};
        std::shared_ptr<const fleet::serving_view> view;
        const fleet::route* route{};
        service_name service;
        organisation_name organisation;
        /// That of the organisation, or else of the route; 0 is the most urgent.
        std::uint32_t priority{0};
        steady_time deadline{};
    };

    /// Preconditions: state, record and the call outlive the request.
    serving_request(serving_state& state, accepted_request request, request_record& record)
        : m_state(&state), m_request(std::move(request)), m_record(&record) {}

    [[nodiscard]] serving_state& get_state() const noexcept { return *m_state; }
    [[nodiscard]] const accepted_request& get_request() const noexcept { return m_request; }
    [[nodiscard]] const caller_request& get_call() const noexcept { return *m_request.request; }
    [[nodiscard]] request_record& get_record() const noexcept { return *m_record; }
    [[nodiscard]] duration get_time_left() const { return m_request.deadline - m_state->time.now(); }

    /// Throws `request_refused` when the time is up.
    void require_time_left() const;
    /// Throws `request_refused` when no further repeat may be sent now.
    void require_retry_budget(policy::retry_reason reason);

    /// Returns the dispatch to a server of the list. Throws `request_refused` when it is not listed any more.
    [[nodiscard]] dispatch make_dispatch(const backend_server_name& server) const;
    /// Returns the options of an exchange with that server, to which nothing is sent once it leaves.
    [[nodiscard]] exchange_options make_exchange_options(const backend_server_name& server) const;

    /// Notes what a failed exchange says about its server.
    void record_failure(const backend_server_name& server, const exchange_failed_error& failure) const;
    /// Notes that a server would not run anything.
    void record_refusal(const backend_server_name& server) const;
    /// Notes that a server began to run the request, at that time of day.
    void record_execution(wall_time began_at);

    /// Returns how far the request came, for a refusal.
    [[nodiscard]] policy::request_outcome get_outcome() const noexcept {
        return m_may_have_run ? policy::request_outcome::unknown : policy::request_outcome::not_run;
    }
    void set_may_have_run() noexcept { m_may_have_run = true; }
    [[nodiscard]] bool may_have_run() const noexcept { return m_may_have_run; }

private:
    serving_state* m_state;
    accepted_request m_request;
    request_record* m_record;
    bool m_may_have_run{false};
    bool m_is_counted{false};

    friend std::unique_ptr<serving_request> make_serving_request(serving_state&, const caller_request&,
                                                                 request_record&);
};

/// Returns the digest by which a request is known when its caller sends it again. Thread safe.
[[nodiscard]] policy::request_fingerprint get_fingerprint(const caller_request& wanted,
                                                          const organisation_name& organisation);

/// Checks route and key of a call and returns the request that answers it. Throws `request_refused`.
/// Preconditions: state, call and record outlive the request.
[[nodiscard]] std::unique_ptr<serving_request> make_serving_request(serving_state& state, const caller_request& wanted,
                                                                    request_record& record);

} // namespace dragonflywell::servers
