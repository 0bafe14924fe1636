#pragma once

#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

#include "core/clock.hpp"
#include "core/identifiers.hpp"
#include "policy/part_quarantine.hpp"
#include "policy/quarantine.hpp"

namespace dragonflywell::policy {

struct crash_attribution_options {
    /// How long after an exchange without an answer a crash of the server still counts as its cause. This is longer
    /// than the server list takes to show that a server is gone.
    duration retention{std::chrono::seconds(10)};
    /// How long a server may still begin a request after its exchange ended: it counts as harmless if the server
    /// answers one that was sent later than that.
    duration late_start{std::chrono::seconds(1)};
    /// Maximum number of unanswered exchanges kept for one server. Beyond it, the least likely causes are dropped.
    std::size_t max_per_server{256};
    /// Maximum number of prompt parts kept for all servers. Beyond it, the oldest exchanges lose theirs.
    std::size_t max_parts{65'536};
};

/// How a server was found to be down.
enum class down_proof : std::uint8_t {
    /// It accepts no connection from here, or its entry may only have expired; so it may be running.
    unreachable,
    /// It is gone or has restarted, as it had said before.
    left_as_planned,
    /// It refuses connections, its entry was removed, or it has restarted.
    ended,
};

/// A request that was sent to a server and got no whole answer.
struct crash_suspect {
    request_fingerprint request{};
    /// The shared parts of its prompt, if the request was waiting for its answer to begin; empty otherwise, since a
    /// prompt part crashes a server when the answer begins.
    std::vector<prompt_part_id> waiting_parts;
    /// Identifies the incarnation of the server, equally on all hosts.
    std::uint64_t server_incarnation{};
    steady_time sent_at{};
    steady_time ended_at{};
    /// Whether the server ended the exchange. If not, its deadline, its caller or this host did, or it is running,
    /// which says only that the request was there.
    bool is_broken{false};

    friend bool operator==(const crash_suspect&, const crash_suspect&) = default;
};

/// Determines which requests may have crashed a server: those that it left without a whole answer, however their
/// exchanges ended. That is evidence only if the server then proves to be down. Not thread safe.
class crash_attribution {
public:
    explicit crash_attribution(crash_attribution_options options = {}) noexcept : m_options(options) {}

    /// Records that an exchange ended without a whole answer after the request was sent.
    void record_unanswered(crash_suspect suspect, const backend_server_name& server);

    /// Records that a server gave a whole answer to a request sent at that time. What it ran long before is harmless.
    void record_answer(const backend_server_name& server, steady_time sent_at, steady_time now);

    /// Records that a request got its whole answer, which shows that it crashes no server. Costs steps for the servers
    /// that left an equal one unanswered.
    void forget(request_fingerprint request);

    /// Call when a server is down. Returns the requests that it left without an answer, the likeliest cause first, and
    /// removes them, so that each is returned once. `running`: the requests whose exchanges have not ended. Of a server
    /// that has not surely ended unplanned, those count whose exchanges it broke; the others are kept while it may run.
    [[nodiscard]] std::vector<crash_suspect> take_crash_suspects(const backend_server_name& server, down_proof proof,
                                                                 std::vector<crash_suspect> running, steady_time now);

    /// Returns whether no unanswered exchange is kept.
    [[nodiscard]] bool is_empty() const noexcept { return m_servers.empty(); }
    /// Returns how many prompt parts are kept.
    [[nodiscard]] std::size_t count_parts() const noexcept { return m_part_count; }

private:
    struct server_history {
        std::vector<crash_suspect> unanswered;
        steady_time answered_at{steady_time::min()};
    };

    /// Returns whether a request is a likelier cause of a crash than another one: a server that answers after an
    /// exchange was running at its end, and of several requests the first one stops it.
    [[nodiscard]] static bool is_likelier(const crash_suspect& left, const crash_suspect& right,
                                          steady_time answered_at) noexcept;
    using server_map = std::map<backend_server_name, server_history>;

    /// Removes the exchanges of a server for which `is_removed` returns true.
    template <typename IsRemoved>
    void remove(server_map::iterator server, IsRemoved is_removed);
    void remove_old(server_map::iterator server, steady_time now);
    /// Removes what is kept of an exchange beside its place.
    void forget_details(const crash_suspect& suspect, const backend_server_name& server);
    void drop_least_likely(server_map::iterator server);
    void erase_if_empty(server_map::iterator server);
    void drop_oldest_parts();

    crash_attribution_options m_options;
    std::size_t m_part_count{0};
    server_map m_servers;
    /// How many exchanges with a request each server left unanswered.
    std::unordered_map<request_fingerprint, std::map<backend_server_name, std::size_t>> m_servers_by_request;
};

} // namespace dragonflywell::policy
