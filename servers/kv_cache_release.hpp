#pragma once

#include "servers/serving_state.hpp"

namespace dragonflywell::servers {

/// Asks an engine to release the KV cache of a prompt that will not be used, without waiting for the response. An
/// unreachable engine releases it after a timeout of its own. Precondition: the state outlives the operation, which
/// continues on its event loop.
void release_kv_cache(serving_state& state, const kv_cache_source& kv_cache);

} // namespace dragonflywell::servers
