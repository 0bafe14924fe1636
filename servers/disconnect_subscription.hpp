#pragma once

#include <functional>
#include <utility>

#include "servers/caller_channel.hpp"

namespace dragonflywell::servers {

/// Calls a function when the caller disconnects, during the lifetime of the subscription. Not thread safe.
class disconnect_subscription {
public:
    disconnect_subscription(caller_channel& caller, std::function<void()> notify) : m_caller(&caller) {
        m_caller->set_on_disconnect(std::move(notify));
    }
    disconnect_subscription(const disconnect_subscription&) = delete;
    disconnect_subscription& operator=(const disconnect_subscription&) = delete;
    disconnect_subscription(disconnect_subscription&&) = delete;
    disconnect_subscription& operator=(disconnect_subscription&&) = delete;
    ~disconnect_subscription() { m_caller->set_on_disconnect({}); }

private:
    caller_channel* m_caller;
};

} // namespace dragonflywell::servers
