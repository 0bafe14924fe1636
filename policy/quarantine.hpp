#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <set>
#include <span>
#include <tuple>
#include <utility>
#include <vector>

#include "core/clock.hpp"
#include "core/identifiers.hpp"

namespace dragonflywell::policy {

/// Hash of the content of a request. A request that its caller sends again has the same fingerprint.
using request_fingerprint = std::uint64_t;

/// Crash of an engine while a request was running on it. Hosts exchange these records; a duplicate counts once.
struct engine_crash {
    request_fingerprint fingerprint{};
    /// Different for each crash, however many equal requests ran there and however many hosts observe it.
    std::uint64_t crash_id{};
    wall_time moment;

    friend bool operator==(const engine_crash&, const engine_crash&) = default;
};

struct quarantine_options {
    /// Number of crashes from which a request is refused.
    std::size_t crashes_to_refuse{2};
    /// How long a crash counts against a request.
    duration retention{std::chrono::hours(1)};
    /// Maximum number of requests kept. Those with one crash are evicted first, and of these the oldest.
    std::size_t max_requests{4096};
    /// Maximum number of requests of which it is remembered that they completed; the oldest are evicted first.
    std::size_t max_cleared{8192};
};

/// Detects requests that crash the engines that run them.
///
/// All requests that run on an engine when it crashes become suspects. A suspect is retried on an engine that is
/// reserved for it, so that a second crash must be its own fault. A suspect that completes is cleared of all crashes
/// before, also of those that are reported later. Thread safe.
class quarantine {
public:
    explicit quarantine(quarantine_options options) noexcept : m_options(options) {}

    /// Records a crash that this host observed or another host reported. Returns whether it was not known and counts.
    bool record_crash(const engine_crash& crash);
    /// Clears a request that has completed, also of crashes before that are reported later.
    void record_completion(request_fingerprint fingerprint, wall_time now);

    /// Returns whether no crashes are recorded.
    [[nodiscard]] bool is_empty() const;
    [[nodiscard]] bool is_suspect(request_fingerprint fingerprint, wall_time now) const;
    [[nodiscard]] bool is_refused(request_fingerprint fingerprint, wall_time now) const;

    /// Returns whether several crashes of a request are known, so that the next one may be the last before it is
    /// refused.
    [[nodiscard]] bool is_repeated(request_fingerprint fingerprint, wall_time now) const;

    /// Returns all crashes that still count at `now`.
    [[nodiscard]] std::vector<engine_crash> get_crashes(wall_time now) const;
    /// Returns the crashes of the requests that are refused, at most `most` of them, newest first.
    [[nodiscard]] std::vector<engine_crash> get_refused_crashes(wall_time now, std::size_t most) const;

    /// Returns the engines that are reserved for suspects.
    [[nodiscard]] std::set<backend_server_name> get_reserved() const;

    /// Reserves an engine for a suspect during the lifetime of the object. Precondition: `owner` outlives it.
    class reservation {
    public:
        reservation(quarantine& owner, backend_server_name server);
        reservation(const reservation&) = delete;
        reservation& operator=(const reservation&) = delete;
        reservation(reservation&&) = delete;
        reservation& operator=(reservation&&) = delete;
        ~reservation();

    private:
        quarantine* m_owner;
        backend_server_name m_server;
    };

private:
    struct suspect {
        /// Time of each crash, by its id.
        std::map<std::uint64_t, wall_time> crashes;
        wall_time newest{wall_time::min()};
    };
    /// Order of eviction: whether the request has several crashes, and when the newest one was.
    using eviction_key = std::tuple<bool, wall_time, request_fingerprint>;

    [[nodiscard]] static eviction_key get_eviction_key(request_fingerprint fingerprint, const suspect& item) {
        return {item.crashes.size() > 1, item.newest, fingerprint};
    }
    [[nodiscard]] std::size_t count_crashes(request_fingerprint fingerprint, wall_time now) const;
    void erase(std::map<request_fingerprint, suspect>::iterator position);
    void remember_clearance(request_fingerprint fingerprint, wall_time now);

    quarantine_options m_options;
    mutable std::mutex m_mutex;
    std::map<request_fingerprint, suspect> m_suspects;
    std::set<eviction_key> m_eviction_order;
    /// When requests completed last, and the same in the order of time.
    std::map<request_fingerprint, wall_time> m_cleared;
    std::set<std::pair<wall_time, request_fingerprint>> m_cleared_by_time;
    std::multiset<backend_server_name> m_reserved;
};

} // namespace dragonflywell::policy
