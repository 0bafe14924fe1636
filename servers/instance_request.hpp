#pragma once

#include <optional>
#include <set>

#include "servers/serving_request.hpp"

namespace dragonflywell::servers {

/// A request to an instance of a plain service. The response is buffered and sent to the caller as a whole. Used by one
/// coroutine.
class instance_request final : public serving_request {
public:
    instance_request(serving_state& state, accepted_request request, request_record& record)
        : serving_request(state, std::move(request), record) {}

    asio::awaitable<void> run(caller_channel& caller) override;

private:
    [[nodiscard]] backend_server_name choose();
    /// Identifies requests that usually take equally long: those of a route with the same method.
    [[nodiscard]] std::uint64_t get_kind() const;
    /// Sends the request to one instance. Returns the response for the caller, or nothing when another instance may be
    /// tried. Throws `request_refused` when none may be tried.
    asio::awaitable<std::optional<http_response>> send_to(const backend_server_name& server, send_permit permit,
                                                          caller_channel& caller);
    std::optional<http_response> handle_failure(const backend_server_name& server, const exchange_failed_error& failure,
                                                tracked_exchange& tracked, bool was_sent);
    [[nodiscard]] bool may_try_again() const;

    std::set<backend_server_name> m_tried;
    /// Servers whose limit left no room when a permit was asked for.
    std::set<backend_server_name> m_without_room;
    /// What the response holds of the buffer budget until the caller has read it.
    std::unique_ptr<byte_budget::share> m_response_share;
    /// Number of instances on which the request may have run.
    std::uint32_t m_run_count{0};
    /// An error response of an instance. It goes to the caller if no other instance gives a better one.
    std::optional<http_response> m_error_response;
};

} // namespace dragonflywell::servers
