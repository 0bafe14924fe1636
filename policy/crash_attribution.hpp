#pragma once

#include <map>
#include <vector>

#include "core/clock.hpp"
#include "core/identifiers.hpp"
#include "policy/quarantine.hpp"

namespace dragonflywell::policy {

struct crash_attribution_options {
    /// How long after a broken exchange a crash of the server still counts as its cause. This is longer than the server
    /// list takes to show that a server is gone.
    duration retention{std::chrono::seconds(10)};
    /// Maximum number of broken exchanges kept for one server. More of them do not help to identify the cause.
    std::size_t max_per_server{64};
};

/// Determines which requests were running on a server when it crashed. A broken connection alone does not prove a
/// crash; the later state of the server does. Not thread safe.
class crash_attribution {
public:
    explicit crash_attribution(crash_attribution_options options = {}) noexcept : m_options(options) {}

    /// Records that the connection of a request broke after the request was sent.
    void record_broken_exchange(request_fingerprint request, const backend_server_name& server, steady_time now);

    /// Call when a server is gone, unreachable or restarted. Returns the requests that were running on it and removes
    /// them, so that each is returned once.
    [[nodiscard]] std::vector<request_fingerprint> take_crash_suspects(const backend_server_name& server,
                                                                       steady_time now);

private:
    struct broken_exchange {
        request_fingerprint request{};
        steady_time at{};
    };

    crash_attribution_options m_options;
    std::map<backend_server_name, std::vector<broken_exchange>> m_broken;
};

} // namespace dragonflywell::policy
