#pragma once

#include <boost/asio/io_context.hpp>

namespace dragonflywell::servers {

/// An event loop for one thread, whose pending operations can be destroyed before the objects that they use.
class event_loop : public boost::asio::io_context {
public:
    event_loop() : io_context(1) {}

    /// Destroys all pending operations and suspended coroutines without resuming them. Preconditions: no thread runs
    /// the loop, and none will run it again.
    void destroy_pending() { shutdown(); }
};

} // namespace dragonflywell::servers
