#pragma once

#include <map>
#include <vector>

#include "core/clock.hpp"
#include "core/identifiers.hpp"
#include "policy/quarantine.hpp"

namespace dragonflywell::policy {

struct crash_watch_options {
    /// How long after a broken exchange a server's death still counts as its reason: longer than the list takes to
    /// show that a server is gone.
    duration memory{std::chrono::seconds(10)};
    /// Broken exchanges that are remembered for one server at most; more say nothing about any of them.
    std::size_t most_per_server{64};
};

/// Tells which requests were on a server when it died. A broken connection alone is no death: only what is learnt of
/// the server afterwards shows whether it was one. Not thread safe.
class crash_watch {
public:
    explicit crash_watch(crash_watch_options options = {}) noexcept : m_options(options) {}

    /// Notes that the exchange of a request broke after the request was sent.
    void note_broken(request_fingerprint request, const backend_server_name& server, steady_time now);

    /// Notes that a server is gone, cannot be reached or has started anew. Returns the requests that were on it; each
    /// is returned once.
    [[nodiscard]] std::vector<request_fingerprint> take_dead(const backend_server_name& server, steady_time now);

private:
    struct broken_exchange {
        request_fingerprint request{};
        steady_time at{};
    };

    crash_watch_options m_options;
    std::map<backend_server_name, std::vector<broken_exchange>> m_broken;
};

} // namespace dragonflywell::policy
