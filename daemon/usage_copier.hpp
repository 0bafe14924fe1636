#pragma once

#include <map>
#include <memory>
#include <string>

#include "core/log.hpp"
#include "platform/store_client.hpp"
#include "policy/usage_counter.hpp"
#include "servers/http_types.hpp"

namespace dragonflywell::daemon {

/// Records the usage counts of a host that timed out, since it may have been killed before it could record them itself.
/// Used on one event loop.
class usage_copier {
public:
    /// Precondition: the store outlives the copier.
    explicit usage_copier(platform::store_client& store) : m_store(&store), m_log(get_logger("usage")) {}

    /// Writes a copy of a host's counts by window to the store. Retries several times when the store fails.
    servers::asio::awaitable<void> record(std::string host, std::uint64_t incarnation,
                                          std::map<std::int64_t, policy::window_counts> usage);

private:
    platform::store_client* m_store;
    std::shared_ptr<spdlog::logger> m_log;
};

} // namespace dragonflywell::daemon
