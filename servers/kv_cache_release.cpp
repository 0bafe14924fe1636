#include "servers/kv_cache_release.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "servers/backend_exchange.hpp"
#include "servers/server_call.hpp"

namespace dragonflywell::servers {

namespace {

constexpr duration release_timeout = std::chrono::milliseconds(500);
/// A longer response is treated as a failure.
constexpr std::size_t response_limit_bytes = 64UL * 1024;

asio::awaitable<void> send_release(serving_state& state, kv_cache_source kv_cache) {
    // Without a release, the engine releases the KV cache after a timeout of its own.
    if (state.eligibility.get_pause_end(kv_cache.server, state.time.now())) {
        co_return;
    }
    const std::optional<server_call> call = try_begin_call(state, kv_cache.server);
    if (!call) {
        co_return;
    }
    const auto find_owner = [&state](const http::response_header<>& head) { return state.codec.find_owner(head); };
    const exchange_options options{
        .progress_timeout = release_timeout,
        .deadline = state.time.now() + release_timeout,
        .matching = response_matching{.request_id = {}, .find_owner = find_owner, .accepts_copies = true},
        .on_response_head = call->on_response_head,
        .may_send = call->may_send};
    backend_exchange exchange(state.connections, kv_cache.engine, options);
    try {
        const http_request message = state.codec.make_release_request(kv_cache);
        co_await exchange.start(message);
        co_await exchange.read_rest(response_limit_bytes);
    } catch (const exchange_failed_error&) {
        // The engine releases the KV cache after a timeout of its own.
    }
}

} // namespace

void release_kv_cache(serving_state& state, const kv_cache_source& kv_cache) {
    asio::co_spawn(state.executor, send_release(state, kv_cache), asio::detached);
}

} // namespace dragonflywell::servers
