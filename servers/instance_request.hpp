#pragma once

#include <optional>
#include <set>

#include "servers/serving_request.hpp"

namespace dragonflywell::servers {

/// A request to an instance of a plain service; its answer is passed on whole. Used by one coroutine.
class instance_request final : public serving_request {
public:
    instance_request(serving_state& state, accepted_request request, request_record& record)
        : serving_request(state, std::move(request), record) {}

    asio::awaitable<void> run(caller_channel& caller) override;

private:
    [[nodiscard]] backend_server_name choose() const;
    /// Sends the request to one instance; returns the answer for the caller, or nothing when another instance may be
    /// tried. Throws `request_refused` when none may.
    asio::awaitable<std::optional<http_response>> try_on(const backend_server_name& server, caller_channel& caller);
    std::optional<http_response> on_failure(const backend_server_name& server, const exchange_failed_error& failure,
                                            bool was_sent);
    [[nodiscard]] bool may_try_again() const;

    std::set<backend_server_name> m_tried;
    /// Instances on which the request may have run.
    std::uint32_t m_runs{0};
    /// An answer that tells of a failure, for the caller if no better one comes.
    std::optional<http_response> m_failed_answer;
};

} // namespace dragonflywell::servers
