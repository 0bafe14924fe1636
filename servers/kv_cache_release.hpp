#pragma once

#include "servers/serving_state.hpp"

namespace dragonflywell::servers {

/// Frees the memory of a prompt that nobody will generate from, without waiting for the answer. An engine that is not
/// reached frees it by itself after a while. Precondition: the state outlives the call, which goes on in its event
/// loop.
void release_kv_cache(serving_state& state, const kv_cache_source& memory);

} // namespace dragonflywell::servers
