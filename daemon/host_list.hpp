#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "core/endpoint.hpp"
#include "core/identifiers.hpp"
#include "core/log.hpp"
#include "daemon/store_dependency.hpp"
#include "platform/store_client.hpp"
#include "servers/serving_state.hpp"

namespace dragonflywell::daemon {

/// A host as described by its entry in the store.
struct listed_host {
    std::string name;
    zone_name zone;
    /// Address on which it receives the datagrams of other hosts.
    endpoint address;
    std::uint64_t incarnation{};
    /// Share of a processor core, in thousandths; zero for a host of an earlier version, which does not state it.
    std::uint32_t core_thousandths{0};

    friend bool operator==(const listed_host&, const listed_host&) = default;
};

[[nodiscard]] std::string encode_host_entry(const listed_host& host);
/// Throws `malformed_message_error`.
[[nodiscard]] listed_host decode_host_entry(const std::string& name, std::string_view text);

/// The list of hosts in the store: registers this host and follows the others. Used on one event loop.
class host_list {
public:
    /// Callbacks for changes of the list.
    struct listeners {
        std::function<void(const listed_host&)> on_listed;
        std::function<void(const std::string&)> on_removed;
        /// Called after all changes of a page.
        std::function<void()> on_page;
    };

    /// Preconditions: store and state outlive the list.
    host_list(platform::store_client& store, servers::serving_state& state, listed_host own);

    /// Registers this host and follows the list for as long as the event loop runs.
    void start(listeners listeners);

    /// Removes the entry of a host that is gone. A failure is not retried: it only means that datagrams are sent in
    /// vain.
    void remove(const std::string& host);

private:
    servers::asio::awaitable<void> follow();
    /// Returns whether a listing contains the entry of this host. It may lack it after the store has returned from an
    /// older copy; a host that is missing in a listing is not gone.
    [[nodiscard]] bool is_listed_in(const platform::store_page& listing) const;
    servers::asio::awaitable<void> send_removal(std::string host);
    void apply(const platform::store_page& page);

    platform::store_client* m_store;
    servers::serving_state* m_state;
    listed_host m_own;
    listeners m_listeners;
    std::shared_ptr<spdlog::logger> m_log;
    store_dependency m_dependency;
    std::optional<log_position> m_next;
    bool m_is_registered{false};
};

} // namespace dragonflywell::daemon
