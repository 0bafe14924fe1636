#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

#include "core/clock.hpp"
#include "core/identifiers.hpp"

namespace dragonflywell::policy {

struct server_announcements_options {
    /// Longest pause that a server may ask for. A longer one is replaced by the default.
    duration max_pause{std::chrono::minutes(1)};
    duration default_pause{std::chrono::seconds(1)};
    /// Part of a pause by which hosts return at different times, and its upper limit.
    double spread_fraction{0.25};
    duration max_spread{std::chrono::milliseconds(500)};
    /// How long it counts that the address of a server, or its stage, did not answer to its entry: some heartbeats, in
    /// which the entry becomes true or goes.
    duration mismatch_time{std::chrono::seconds(3)};
    /// Maximum number of servers of which announcements are kept.
    std::size_t max_servers{4096};
};

/// What backend servers say of themselves in their responses: that they are leaving, that they want no requests from
/// this host for some time, or that they are not as the list says. It takes precedence over the server list, whose
/// entries may be stale. Not thread safe.
class server_announcements {
public:
    explicit server_announcements(server_announcements_options options = {}) noexcept : m_options(options) {}

    /// Records that an incarnation of a server is leaving. Only another incarnation ends this state. Returns whether it
    /// is new.
    bool record_leaving(const backend_server_name& server, std::uint64_t incarnation);

    /// Records that a server wants no requests for a time; nothing, or a time out of range, means the default pause.
    /// `spread`: 0 to 1, different on each host, so that the hosts do not all return at once. Returns the pause.
    duration record_pause(const backend_server_name& server, std::optional<duration> pause, double spread,
                          steady_time now);

    /// Records that whoever answered a request of that time at the address of an incarnation of a server is not what
    /// its entry says.
    void record_mismatch(const backend_server_name& server, std::uint64_t incarnation, steady_time sent_at);

    /// Returns whether a pause can be granted as it was asked for.
    [[nodiscard]] bool is_valid_pause(std::optional<duration> pause) const noexcept;

    [[nodiscard]] bool is_leaving(const backend_server_name& server, std::uint64_t incarnation) const;
    /// Returns whether an incarnation of a server was lately found to differ from its entry, which changed last at
    /// `changed_at`.
    [[nodiscard]] bool is_mismatched(const backend_server_name& server, std::uint64_t incarnation,
                                     steady_time changed_at, steady_time now) const;
    /// Returns when the pause of a server ends; nothing if it has none.
    [[nodiscard]] std::optional<steady_time> get_pause_end(const backend_server_name& server, steady_time now) const;

private:
    struct mismatch {
        std::uint64_t incarnation{};
        steady_time at{};
    };

    server_announcements_options m_options;
    /// The newest incarnation of each server that announced its leaving.
    std::map<backend_server_name, std::uint64_t> m_leaving;
    std::map<backend_server_name, steady_time> m_paused_until;
    std::map<backend_server_name, mismatch> m_mismatched;
};

} // namespace dragonflywell::policy
