#pragma once

#include <map>
#include <optional>
#include <string>

#include "core/log.hpp"
#include "platform/store_client.hpp"
#include "policy/usage_counter.hpp"
#include "servers/host_digest.hpp"
#include "servers/serving_state.hpp"

namespace dragonflywell::daemon {

/// Records the usage of the other hosts of a group in one call, where this host speaks for it, and tells which are
/// recorded. A host that is not told records for itself, so that nothing here has to succeed. Used on one event loop.
class group_usage_recorder {
public:
    /// What a life of a host has told.
    struct received_usage {
        std::uint64_t incarnation{};
        /// By its own time of day.
        wall_time sent_at;
        std::map<std::int64_t, policy::window_counts> windows;
    };

    /// `gather`: how long after its end a window is recorded; the hosts have told of it since.
    /// Preconditions: store and state outlive it.
    group_usage_recorder(platform::store_client& store, servers::serving_state& state, duration gather);

    /// Takes what a host of the group has told of its counts.
    void update(const servers::host_digest& digest);
    /// Forgets a host that fell silent; returns what it had told.
    [[nodiscard]] std::optional<received_usage> remove_host(const std::string& host);

    /// Records the newest window that is over, if it is time and not done yet. Called several times a second by the
    /// host that speaks for the group.
    void record_if_due();

    /// Returns what is recorded, for the next digests.
    [[nodiscard]] std::optional<servers::digest_recorded_usage> get_recorded() const { return m_recorded; }

private:
    servers::asio::awaitable<void> record(std::int64_t window);

    platform::store_client* m_store;
    servers::serving_state* m_state;
    duration m_gather;
    std::shared_ptr<spdlog::logger> m_log;
    /// By host.
    std::map<std::string, received_usage> m_told;
    /// The newest window that it was tried to record.
    std::int64_t m_tried{0};
    std::optional<servers::digest_recorded_usage> m_recorded;
};

} // namespace dragonflywell::daemon
