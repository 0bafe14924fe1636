#pragma once

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>

#include "core/log.hpp"
#include "daemon/store_dependency.hpp"
#include "gossip/relayed_configuration.hpp"
#include "platform/store_client.hpp"
#include "policy/topic_progress.hpp"
#include "servers/serving_state.hpp"

namespace dragonflywell::daemon {

/// Applies the newest valid configuration in the store. Within one run of the process, versions only increase.
///
/// The leader of a group of hosts waits for changes with long polls of the store and relays each one to its group as
/// the difference to the configuration before it. The other hosts read the store when such a change is missing or too
/// large to relay, or when their configuration was not confirmed as current for too long. Used on one event loop.
class configuration_follower final : public platform::store_era_listener {
public:
    /// Preconditions: store and state outlive the follower. `on_change` is called after each new
    /// configuration was applied.
    configuration_follower(platform::store_client& store, servers::serving_state& state, duration bound,
                           std::function<void()> on_change);
    configuration_follower(const configuration_follower&) = delete;
    configuration_follower& operator=(const configuration_follower&) = delete;
    configuration_follower(configuration_follower&&) = delete;
    configuration_follower& operator=(configuration_follower&&) = delete;
    ~configuration_follower() override;

    /// Returns the age of the configuration at which a host that is not the group leader reads the store itself.
    [[nodiscard]] static duration get_max_age(duration bound);

    /// Follows the configuration for as long as the event loop runs.
    servers::asio::awaitable<void> run();

    /// Sets the callback that relays the newest changes that this host has read for its group, oldest first.
    void set_relay(std::function<void(const gossip::relayed_configuration&)> relay) { m_relay = std::move(relay); }
    /// Applies those changes that the group leader relays and that continue the configuration in force.
    void apply_relayed(gossip::relayed_configuration changes);

    /// Sets whether this host reads the configuration for its group.
    void set_reader(bool is_reader);
    /// Applies the read position that the group leader reports.
    void update_leader_position(const servers::digest_read_position& position);
    /// Lists the configuration at once, because records that this host has read may be gone.
    void on_era_changed(std::uint64_t era) override;
    /// Returns the read position of this host, which its digests report to others.
    [[nodiscard]] servers::digest_read_position get_read_position() const;

private:
    servers::asio::awaitable<void> follow_once();
    servers::asio::awaitable<void> wait_for_leader();
    /// Applies a page that was read. `at`: time at which the topic ended where the page states.
    /// `sent_at`: when the read was sent.
    void apply(const platform::store_page& page, steady_time at, steady_time sent_at);
    /// Applies a configuration record if it is newer. `next`: position at which the page with the record ends.
    void apply_configuration(const platform::keyed_record& record, const log_position& next, steady_time sent_at);
    /// Applies the relayed changes that continue the configuration in force.
    void apply_pending_changes();
    void put_in_force(fleet::serving_configuration configuration);
    /// Relays the difference between the previous configuration and the one in force.
    void relay_change(const fleet::serving_configuration& previous, const log_position& next);

    platform::store_client* m_store;
    servers::serving_state* m_state;
    /// Time limit for the header of a change that is known to exist.
    duration m_change_timeout;
    /// How long a long poll waits for a change: short enough that a dead connection is noticed within the bound.
    duration m_long_poll_time;
    /// How long the configuration may go without being confirmed as current before this host reads the store itself.
    duration m_max_age;
    std::function<void()> m_on_change;
    std::shared_ptr<spdlog::logger> m_log;
    store_dependency m_dependency;
    policy::topic_progress m_topic;
    boost::asio::steady_timer m_read_timer;
    std::function<void(const gossip::relayed_configuration&)> m_relay;
    /// The newest changes that this host has relayed.
    gossip::relayed_configuration m_relayed_changes;
    /// The newest changes that the group leader has relayed. They may continue a configuration that is still being
    /// read.
    gossip::relayed_configuration m_pending_changes;
    bool m_is_reader{false};
};

} // namespace dragonflywell::daemon
