#pragma once

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>

#include "core/log.hpp"
#include "daemon/store_dependency.hpp"
#include "platform/store_client.hpp"
#include "policy/topic_progress.hpp"
#include "servers/serving_state.hpp"

namespace dragonflywell::daemon {

/// Keeps the newest configuration of the store in force. Versions only grow within one life of the process.
///
/// One host of a group waits at the store for changes; the others read when it tells of one, or when they have not
/// heard of it for too long. Used on one event loop.
class configuration_follower {
public:
    /// Preconditions: store and state outlive the follower. `on_change` is called after each new configuration.
    configuration_follower(platform::store_client& store, servers::serving_state& state, duration bound,
                           std::function<void()> on_change);

    /// Follows for as long as the event loop runs.
    servers::asio::awaitable<void> run();

    /// Sets whether this host reads for its group.
    void set_reader(bool is_reader);
    /// Takes how far a host that reads for the group has come.
    void update_leader_position(const servers::digest_read_position& reading);
    /// Returns how far this host has come, for others.
    [[nodiscard]] servers::digest_read_position get_read_position() const;

private:
    servers::asio::awaitable<void> follow_once();
    servers::asio::awaitable<void> wait_for_hint();
    /// Takes what was read; `at`: when the topic ended as the page says.
    void take(const platform::store_page& page, steady_time at);
    /// Returns whether the record is a configuration that can be used, new or not.
    bool put_in_force(const platform::keyed_record& record);

    platform::store_client* m_store;
    servers::serving_state* m_state;
    /// How long a read waits for a change, so that a connection that went silent is noticed within the bound.
    duration m_read_wait;
    /// How old the last news may be before this host reads by itself.
    duration m_longest_age;
    std::function<void()> m_on_change;
    std::shared_ptr<spdlog::logger> m_log;
    store_dependency m_dependency;
    policy::topic_progress m_topic;
    boost::asio::steady_timer m_hint_timer;
    bool m_is_reader{false};
};

} // namespace dragonflywell::daemon
