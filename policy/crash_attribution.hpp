#pragma once

#include <map>
#include <vector>

#include "core/clock.hpp"
#include "core/identifiers.hpp"
#include "policy/quarantine.hpp"

namespace dragonflywell::policy {

struct crash_attribution_options {
    /// How long after a broken exchange a server's death still counts as its reason: longer than the list takes to
    /// show that a server is gone.
    duration retention{std::chrono::seconds(10)};
    /// Broken exchanges that are remembered for one server at most; more say nothing about any of them.
    std::size_t max_per_server{64};
};

/// Tells which requests were on a server when it died. A broken connection alone is no death: only what is learnt of
/// the server afterwards shows whether it was one. Not thread safe.
class crash_attribution {
public:
    explicit crash_attribution(crash_attribution_options options = {}) noexcept : m_options(options) {}

    /// Notes that the exchange of a request broke after the request was sent.
    void record_broken_exchange(request_fingerprint request, const backend_server_name& server, steady_time now);

    /// Notes that a server is gone, cannot be reached or has started anew. Returns the requests that were on it; each
    /// is returned once.
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
