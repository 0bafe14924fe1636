#pragma once

#include <memory>
#include <optional>
#include <vector>

#include "fleet/serving_view.hpp"
#include "servers/backend_exchange.hpp"
#include "servers/caller_channel.hpp"
#include "servers/caller_request.hpp"
#include "servers/request_record.hpp"
#include "servers/request_refused.hpp"
#include "servers/serving_state.hpp"
#include "servers/tracked_exchange.hpp"

namespace dragonflywell::servers {

/// Base of all kinds of requests that are sent to a backend server. Used by one coroutine.
class serving_request {
public:
    serving_request(const serving_request&) = delete;
    serving_request& operator=(const serving_request&) = delete;
    serving_request(serving_request&&) = delete;
    serving_request& operator=(serving_request&&) = delete;
    virtual ~serving_request() = default;

    /// Takes what the request counts from the quota of its organisation, if it has one. Called before `run`. Throws
    /// `request_refused`.
    asio::awaitable<void> acquire_quota();
    /// Gives it back, since the request has not run.
    void give_back_quota();
    /// Gives it back if nothing was sent to a backend server.
    void give_back_unsent_quota();

    /// Runs the request and sends the response to the caller. Throws `request_refused`, `caller_disconnected_error`.
    virtual asio::awaitable<void> run(caller_channel& caller) = 0;

protected:
    /// The accepted request. It keeps the configuration that was active when it arrived.
    struct accepted_request {
        const caller_request* request{};
        std::shared_ptr<const fleet::serving_view> view;
        const fleet::route* route{};
        service_name service;
        organisation_name organisation;
        /// Priority of the organisation, or of the route where the organisation has none; 0 is the most urgent.
        std::uint32_t priority{0};
        steady_time deadline{};
        /// What the request counts for the quota of its organisation; absent if that has none.
        std::optional<double> quota_amount;
    };

    /// Preconditions: state, record and the caller request outlive this object.
    serving_request(serving_state& state, accepted_request request, request_record& record)
        : m_state(&state), m_request(std::move(request)), m_record(&record) {}

    [[nodiscard]] serving_state& get_state() const noexcept { return *m_state; }
    [[nodiscard]] const accepted_request& get_request() const noexcept { return m_request; }
    [[nodiscard]] const caller_request& get_caller_request() const noexcept { return *m_request.request; }
    [[nodiscard]] request_record& get_record() const noexcept { return *m_record; }
    /// Returns how long the request may still run: until its deadline, or until this process ends its work.
    [[nodiscard]] duration get_time_left() const;

    /// Throws `request_refused` when no time is left.
    void require_time_left() const;
    /// Takes one retry from the retry budget of the service. Throws `request_refused` when the budget is exhausted.
    void require_retry_budget(policy::retry_reason reason);

    /// Returns the dispatch to a listed server. Throws `request_refused` when the server is no longer listed.
    /// Returns the message of an attempt. Throws `request_refused` if it cannot be sent to any server, since a name or
    /// an id in it cannot stand in a header.
    [[nodiscard]] http_request make_message(const dispatch& attempt) const;
    [[nodiscard]] dispatch make_dispatch(const backend_server_name& server) const;
    /// Returns the options of the next exchange with a server. The exchange sends nothing if the server is no longer
    /// listed, or the caller has disconnected, by then. The permit counts as used when the request is sent.
    [[nodiscard]] exchange_options make_exchange_options(const backend_server_name& server,
                                                         const caller_channel& caller, send_permit permit);

    /// Takes a permit to send one request to a server; waits for other hosts if this one has none. Returns nothing if
    /// the limit of the server leaves no room, so that another server is to be chosen.
    asio::awaitable<std::optional<send_permit>> acquire_permit(backend_server_name server);
    /// Returns the Retry-After of a request for which no server of its service is available: from the limits of the
    /// servers or the pauses that they asked for, or else `fallback`.
    [[nodiscard]] duration get_retry_after(duration fallback);

    /// Tracks an exchange of this request. `is_generation`: whether the server is to begin an answer to its prompt.
    [[nodiscard]] tracked_exchange track(const backend_server_name& server, const backend_exchange& exchange,
                                         bool is_generation = false) const;
    /// Records that a server failed an exchange in its health state. An exchange that ended at the deadline, or because
    /// its caller left, is no failure of the server.
    void record_failure(const backend_server_name& server, const exchange_failed_error& failure,
                        tracked_exchange& tracked) const;
    /// Records that a server refused to run the request.
    void record_refusal(const backend_server_name& server) const;
    /// Records that a server started to run the request at the given time of day, and counts the usage once.
    void record_execution(wall_time began_at);

    /// Returns the outcome to report in a refusal.
    [[nodiscard]] policy::request_outcome get_outcome() const noexcept {
        return m_may_have_run ? policy::request_outcome::unknown : policy::request_outcome::not_run;
    }
    void set_may_have_run() noexcept { m_may_have_run = true; }
    /// Records that a server did a part of the work, so that the request counts for the quota.
    void set_quota_used() noexcept { m_quota_use.reset(); }
    [[nodiscard]] bool may_have_run() const noexcept { return m_may_have_run; }

private:
    serving_state* m_state;
    accepted_request m_request;
    request_record* m_record;
    bool m_may_have_run{false};
    bool m_is_counted{false};
    /// What may still be given back.
    std::optional<quota_use> m_quota_use;
    bool m_was_exchange_begun{false};
    /// The shortest Retry-After of the servers whose limit left no room.
    std::optional<duration> m_limit_retry_after;

    friend std::unique_ptr<serving_request> make_serving_request(serving_state&, const caller_request&,
                                                                 request_record&);
};

/// Returns the parts of the prompt that other requests may share: all but the last one. Thread safe.
[[nodiscard]] std::vector<policy::prompt_part_id> get_shared_parts(const caller_request& incoming);

/// Throws `request_refused` with the outcome when a part of the prompt has crashed servers.
void require_no_blamed_part(serving_state& state, const caller_request& incoming, policy::request_outcome outcome);

/// Returns a hash that is the same each time the caller sends the same request. Thread safe.
[[nodiscard]] policy::request_fingerprint get_fingerprint(const caller_request& incoming,
                                                          const organisation_name& organisation);

/// A request whose head has been checked.
struct checked_head {
    /// Keeps route and organisation alive.
    std::shared_ptr<const fleet::serving_view> view;
    const fleet::route* route{};
    /// Null on a public route.
    const fleet::served_organisation* organisation{};
    duration time_limit{};
};

/// Checks what is known of a request before its body is read: the configuration, the route, the key, and that this
/// process can still run it. Records them. Throws `request_refused`.
[[nodiscard]] checked_head check_request_head(const serving_state& state, const caller_request& incoming,
                                              request_record& record);

/// Checks the route and the key of a request and returns the object that runs it. Throws `request_refused`.
/// Preconditions: state, request and record outlive the returned object.
[[nodiscard]] std::unique_ptr<serving_request>
make_serving_request(serving_state& state, const caller_request& incoming, request_record& record);

} // namespace dragonflywell::servers
