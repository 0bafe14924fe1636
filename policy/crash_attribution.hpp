#pragma once

#include <map>
#include <vector>

#include "core/clock.hpp"
#include "core/identifiers.hpp"
#include "policy/part_quarantine.hpp"
#include "policy/quarantine.hpp"

namespace dragonflywell::policy {

struct crash_attribution_options {
    /// How long after a broken exchange a crash of the server still counts as its cause. This is longer than the server
    /// list takes to show that a server is gone.
    duration retention{std::chrono::seconds(10)};
    /// Maximum number of broken exchanges kept for one server. More of them do not help to identify the cause.
    std::size_t max_per_server{64};
    /// Maximum number of prompt parts kept for all servers. Beyond it, the oldest exchanges lose theirs.
    std::size_t max_parts{65'536};
};

/// A request whose connection broke after it was sent.
struct crash_suspect {
    request_fingerprint request{};
    /// The shared parts of its prompt, if the request was waiting for its answer to begin; empty otherwise, since a
    /// prompt part crashes a server when the answer begins.
    std::vector<prompt_part_id> waiting_parts;
    /// Identifies the incarnation of the server, equally on all hosts.
    std::uint64_t server_incarnation{};
    steady_time broken_at{};

    friend bool operator==(const crash_suspect&, const crash_suspect&) = default;
};

/// Determines which requests were running on a server when it crashed. A broken connection alone does not prove a
/// crash; the later state of the server does. Not thread safe.
class crash_attribution {
public:
    explicit crash_attribution(crash_attribution_options options = {}) noexcept : m_options(options) {}

    /// Records that the connection of a request broke after the request was sent.
    void record_broken_exchange(crash_suspect suspect, const backend_server_name& server);

    /// Call when a server is gone, unreachable or restarted. Returns the requests that were running on it and removes
    /// them, so that each is returned once.
    [[nodiscard]] std::vector<crash_suspect> take_crash_suspects(const backend_server_name& server, steady_time now);

    /// Returns how many prompt parts are kept.
    [[nodiscard]] std::size_t count_parts() const noexcept { return m_part_count; }

private:
    /// Removes exchanges, and counts their parts as gone.
    void remove_old(std::vector<crash_suspect>& broken, steady_time now);
    void drop_oldest_parts();

    crash_attribution_options m_options;
    std::size_t m_part_count{0};
    std::map<backend_server_name, std::vector<crash_suspect>> m_broken;
};

} // namespace dragonflywell::policy
