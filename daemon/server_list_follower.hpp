#pragma once

#include <memory>
#include <optional>

#include "core/log.hpp"
#include "daemon/store_dependency.hpp"
#include "platform/store_client.hpp"
#include "servers/serving_state.hpp"

namespace dragonflywell::daemon {

/// Keeps the directory of backend servers up to what the store lists. Used on one event loop.
class server_list_follower {
public:
    /// Preconditions: store and state outlive the follower; `interval` is well below the bound for draining servers.
    server_list_follower(platform::store_client& store, servers::serving_state& state, duration interval);

    /// Follows for as long as the event loop runs.
    servers::asio::awaitable<void> run();

    /// Returns whether the list was read at least once.
    [[nodiscard]] bool is_loaded() const noexcept { return m_is_loaded; }

private:
    servers::asio::awaitable<void> follow_once();
    void take_all(const platform::store_page& page);
    void take(const platform::keyed_record& record);
    void report(const backend_server_name& server, fleet::directory_change change) const;

    platform::store_client* m_store;
    servers::serving_state* m_state;
    duration m_interval;
    std::shared_ptr<spdlog::logger> m_log;
    store_dependency m_dependency;
    std::optional<std::uint64_t> m_next;
    bool m_is_loaded{false};
};

} // namespace dragonflywell::daemon
