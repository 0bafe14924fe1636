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

/// Digest of what a request asks an engine to do; the same for a request that its caller sends again.
using request_fingerprint = std::uint64_t;

/// One death of an engine with a request on it, as hosts tell each other. A death that is told twice counts once.
struct engine_crash {
    request_fingerprint fingerprint{};
    /// Differs for each death and host.
    std::uint64_t crash_id{};
    wall_time moment;

    friend bool operator==(const engine_crash&, const engine_crash&) = default;
};

struct quarantine_options {
    /// Deaths after which a request is refused.
    std::size_t crashes_to_refuse{2};
    /// How long a death is held against a request.
    duration retention{std::chrono::hours(1)};
    /// Requests remembered at most; the oldest are forgotten first.
    std::size_t max_requests{4096};
};

/// Finds requests that crash the engines that run them.
///
/// All requests that run on an engine when it dies become suspects. A suspect runs again on an engine that nothing else
/// is sent to meanwhile, so that its second death is its own doing; completion clears it. Thread safe.
class quarantine {
public:
    explicit quarantine(quarantine_options options) noexcept : m_options(options) {}

    /// Notes a death, seen here or told by another host.
    void record_crash(const engine_crash& death);
    /// Clears a request that ran to its end.
    void record_completion(request_fingerprint fingerprint);

    /// Returns whether no death is held against any request.
    [[nodiscard]] bool is_empty() const;
    [[nodiscard]] bool is_suspect(request_fingerprint fingerprint, wall_time now) const;
    [[nodiscard]] bool is_refused(request_fingerprint fingerprint, wall_time now) const;

    /// Returns all deaths held against requests now, for other hosts.
    [[nodiscard]] std::vector<engine_crash> get_crashes(wall_time now) const;
    /// Returns those of the last `age`, the newest `most` of them.
    [[nodiscard]] std::vector<engine_crash> get_newest_crashes(wall_time now, duration age, std::size_t most) const;

    /// Returns the engines that are set apart for a suspect.
    [[nodiscard]] std::set<backend_server_name> get_reserved() const;

    /// Sets an engine apart for a suspect for as long as it lives.
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
    using death_map = std::map<std::uint64_t, wall_time>;

    [[nodiscard]] std::size_t count_deaths(request_fingerprint fingerprint, wall_time now) const;
    void forget_oldest();

    quarantine_options m_options;
    mutable std::mutex m_mutex;
    std::map<request_fingerprint, death_map> m_deaths;
    std::multiset<backend_server_name> m_reserved;
};

} // namespace dragonflywell::policy
