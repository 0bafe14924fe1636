#pragma once

#include <map>
#include <optional>
#include <string>

#include "core/log.hpp"
#include "daemon/store_era_subscription.hpp"
#include "platform/store_client.hpp"
#include "policy/usage_counter.hpp"
#include "servers/host_digest.hpp"
#include "servers/serving_state.hpp"

namespace dragonflywell::daemon {

/// On a group leader, records the usage of the other hosts of the group with one store call, and provides for the next
/// digests whose usage is recorded. A host that receives no such confirmation records its own usage, so a failure here
/// loses nothing. Used on one event loop.
class group_usage_recorder final : public platform::store_era_listener {
public:
    /// Usage counts that one incarnation of a host has sent in its digests.
    struct received_usage {
        std::uint64_t incarnation{};
        /// When the newest digest was sent, by the sender's wall clock.
        wall_time sent_at;
        std::map<std::int64_t, policy::window_counts> windows;
    };

    /// `record_delay`: delay from the end of a window until it is recorded, in which the hosts send their counts.
    /// Preconditions: store and state outlive it.
    group_usage_recorder(platform::store_client& store, servers::serving_state& state, duration record_delay);

    /// Updates the counts of a host of the group from its digest.
    void update(const servers::host_digest& digest);
    /// Removes a host that timed out. Returns the counts that it had sent.
    [[nodiscard]] std::optional<received_usage> remove_host(const std::string& host);

    /// Records the newest window that is over, if that is due and was not tried yet. Called several times a second on
    /// the group leader.
    void record_if_due();

    /// Lets the newest window be recorded again, with all retained ones, since the store may have lost them.
    void on_era_changed(std::uint64_t era) override;
    /// Returns whether a group leader's statement that usage is recorded holds in the present era of the store.
    [[nodiscard]] bool is_current(const servers::digest_recorded_usage& recorded) const {
        return recorded.era >= m_era;
    }

    /// Returns whose usage of which window is recorded, for the next digests.
    [[nodiscard]] std::optional<servers::digest_recorded_usage> get_recorded() const { return m_recorded; }

private:
    servers::asio::awaitable<void> record(std::int64_t window);

    platform::store_client* m_store;
    servers::serving_state* m_state;
    duration m_record_delay;
    std::shared_ptr<spdlog::logger> m_log;
    /// By host.
    std::map<std::string, received_usage> m_received;
    /// The newest window for which recording was tried.
    std::int64_t m_last_tried{0};
    std::optional<servers::digest_recorded_usage> m_recorded;
    std::uint64_t m_era;
    store_era_subscription m_subscription;
};

} // namespace dragonflywell::daemon
