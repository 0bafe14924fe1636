#include "servers/kv_cache_release.hpp"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "servers/backend_exchange.hpp"

namespace dragonflywell::servers {

namespace {

constexpr duration release_timeout = std::chrono::milliseconds(500);
/// A longer response is treated as a failure.
constexpr std::size_t response_limit_bytes = 64UL * 1024;

bool is_paused(const serving_state& state, const endpoint& address) {
    const auto& listed = state.eligibility.get_list().get_servers();
    return std::any_of(listed.begin(), listed.end(), [&](const auto& item) {
        return item.second.record.address == address && state.eligibility.get_pause_end(item.first, state.time.now());
    });
}

asio::awaitable<void> send_release(serving_state& state, kv_cache_source kv_cache) {
    // The engine releases the KV cache after a timeout of its own.
    if (is_paused(state, kv_cache.engine)) {
        co_return;
    }
    const auto find_owner = [&state](const http::response_header<>& head) { return state.codec.find_owner(head); };
    const exchange_options options{
        .progress_timeout = release_timeout,
        .deadline = state.time.now() + release_timeout,
        .matching = response_matching{.request_id = {}, .find_owner = find_owner, .accepts_copies = true}};
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
