#pragma once

#include <functional>
#include <memory>

#include "core/log.hpp"
#include "daemon/store_dependency.hpp"
#include "platform/store_client.hpp"
#include "servers/serving_state.hpp"

namespace dragonflywell::daemon {

/// Keeps the newest configuration of the store in force. Versions only grow within one life of the process.
/// Used on one event loop.
class configuration_follower {
public:
    /// Preconditions: store and state outlive the follower. `on_change` is called after each new configuration.
    configuration_follower(platform::store_client& store, servers::serving_state& state, duration bound,
                           std::function<void()> on_change);

    /// Follows for as long as the event loop runs.
    servers::asio::awaitable<void> run();

private:
    servers::asio::awaitable<void> follow_once();
    void take(const platform::store_page& page);
    void put_in_force(const platform::keyed_record& record);

    platform::store_client* m_store;
    servers::serving_state* m_state;
    duration m_bound;
    std::function<void()> m_on_change;
    std::shared_ptr<spdlog::logger> m_log;
    store_dependency m_dependency;
    /// Where to read on; nothing while the newest record has to be listed first.
    std::optional<std::uint64_t> m_next;
};

} // namespace dragonflywell::daemon
