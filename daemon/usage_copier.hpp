#pragma once

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "core/log.hpp"
#include "daemon/store_era_subscription.hpp"
#include "platform/store_client.hpp"
#include "policy/usage_counter.hpp"
#include "servers/http_types.hpp"

namespace dragonflywell::daemon {

/// Records the usage counts of a host that timed out, since it may have been killed before it could record them itself.
/// Used on one event loop.
class usage_copier final : public platform::store_era_listener {
public:
    /// Precondition: the store outlives the copier. `executor`: executor of the event loop.
    usage_copier(platform::store_client& store, servers::asio::any_io_executor executor)
        : m_store(&store), m_executor(std::move(executor)), m_log(get_logger("usage")), m_subscription(store, *this) {}

    /// Writes a copy of a host's counts by window to the store. Retries several times when the store fails.
    servers::asio::awaitable<void> record(std::string host, std::uint64_t incarnation,
                                          std::map<std::int64_t, policy::window_counts> usage);

    /// Writes the newest copies again, since the store may have lost them and their hosts may have ended.
    void on_era_changed(std::uint64_t era) override;

private:
    /// Writes records, with several attempts. Returns whether they were written.
    servers::asio::awaitable<bool> write(std::vector<platform::keyed_value> records);
    servers::asio::awaitable<void> write_again();

    platform::store_client* m_store;
    servers::asio::any_io_executor m_executor;
    std::shared_ptr<spdlog::logger> m_log;
    /// The newest copies, oldest first.
    std::deque<platform::keyed_value> m_copies;
    store_era_subscription m_subscription;
};

} // namespace dragonflywell::daemon
