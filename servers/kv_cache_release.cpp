#include "servers/kv_cache_release.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "servers/backend_exchange.hpp"

namespace dragonflywell::servers {

namespace {

constexpr duration release_timeout = std::chrono::milliseconds(500);
/// An answer beyond this is none.
constexpr std::size_t answer_limit_bytes = 64UL * 1024;

asio::awaitable<void> send_release(serving_state& state, kv_cache_source memory) {
    const exchange_options options{.progress_timeout = release_timeout, .deadline = state.time.now() + release_timeout};
    backend_exchange exchange(state.connections, memory.engine, options);
    try {
        const http_request message = state.codec.make_release_request(memory);
        co_await exchange.start(message);
        co_await exchange.read_rest(answer_limit_bytes);
    } catch (const exchange_failed_error&) {
        // The engine frees the memory by itself after a while.
    }
}

} // namespace

void release_kv_cache(serving_state& state, const kv_cache_source& memory) {
    asio::co_spawn(state.executor, send_release(state, memory), asio::detached);
}

} // namespace dragonflywell::servers
