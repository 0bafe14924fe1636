#pragma once

#include "servers/serving_state.hpp"

namespace dragonflywell::servers {

/// Finds out, without waiting, whether a server whose connection broke has crashed: it has if it refuses a new
/// connection. Then its requests are recorded as suspects at once, instead of when a later request finds it unreachable
/// or the list shows its restart. Does nothing while another probe of the server is in progress. Precondition: the
/// state outlives the operation, which continues on its event loop.
void probe_for_crash(serving_state& state, const backend_server_name& server, const endpoint& address);

} // namespace dragonflywell::servers
