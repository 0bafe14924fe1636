#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <set>
#include <span>
#include <vector>

#include "core/clock.hpp"
#include "core/identifiers.hpp"

namespace dragonflywell::policy {

/// Hash of the content of a request. A request that its caller sends again has the same fingerprint.
using request_fingerprint = std::uint64_t;

/// Crash of an engine while a request was running on it. Hosts exchange these records; a duplicate counts once.
struct engine_crash {
    request_fingerprint fingerprint{};
    /// Unique for each crash and for each host that observes it.
    std::uint64_t crash_id{};
    wall_time moment;

    friend bool operator==(const engine_crash&, const engine_crash&) = default;
};

struct quarantine_options {
    /// Number of crashes from which a request is refused.
    std::size_t crashes_to_refuse{2};
    /// How long a crash counts against a request.
    duration retention{std::chrono::hours(1)};
    /// Maximum number of requests kept; the oldest are evicted first.
    std::size_t max_requests{4096};
};

/// Detects requests that crash the engines that run them.
///
/// All requests that run on an engine when it crashes become suspects. A suspect is retried on an engine that is
/// reserved for it, so that a second crash must be its own fault. A suspect that completes is cleared. Thread safe.
class quarantine {
public:
    explicit quarantine(quarantine_options options) noexcept : m_options(options) {}

    /// Records a crash that this host observed or another host reported. Returns whether it was not known.
    bool record_crash(const engine_crash& crash);
    /// Clears a request that has completed.
    void record_completion(request_fingerprint fingerprint);

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
    using crash_map = std::map<std::uint64_t, wall_time>;

    [[nodiscard]] std::size_t count_crashes(request_fingerprint fingerprint, wall_time now) const;
    void evict_oldest();

    quarantine_options m_options;
    mutable std::mutex m_mutex;
    std::map<request_fingerprint, crash_map> m_crashes;
    std::multiset<backend_server_name> m_reserved;
};

} // namespace dragonflywell::policy
