#include "servers/crash_probe.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <utility>

namespace dragonflywell::servers {

namespace {

constexpr duration connect_limit = std::chrono::milliseconds(300);

asio::awaitable<void> probe(serving_state& state, backend_server_name server, endpoint address) {
    error_code fault;
    std::shared_ptr<backend_connection> connection = co_await state.connections.connect(address, connect_limit, fault);
    state.probed_servers.erase(server);
    if (connection != nullptr) {
        state.connections.put_idle(address, std::move(connection));
        co_return;
    }
    // A server that does not answer at all may only be out of reach.
    if (fault == asio::error::connection_refused) {
        state.health.add_failure(server, policy::server_failure::unreachable, state.time.now());
        state.record_server_down(server);
    }
}

} // namespace

void probe_for_crash(serving_state& state, const backend_server_name& server, const endpoint& address) {
    if (state.probed_servers.insert(server).second) {
        asio::co_spawn(state.executor, probe(state, server, address), asio::detached);
    }
}

} // namespace dragonflywell::servers
