#pragma once

#include <functional>
#include <utility>

#include "servers/caller_channel.hpp"

namespace dragonflywell::servers {

/// Has a function called when the caller leaves, for as long as it lives. Not thread safe.
class gone_subscription {
public:
    gone_subscription(caller_channel& caller, std::function<void()> notify) : m_caller(&caller) {
        m_caller->set_on_gone(std::move(notify));
    }
    gone_subscription(const gone_subscription&) = delete;
    gone_subscription& operator=(const gone_subscription&) = delete;
    gone_subscription(gone_subscription&&) = delete;
    gone_subscription& operator=(gone_subscription&&) = delete;
    ~gone_subscription() { m_caller->set_on_gone({}); }

private:
    caller_channel* m_caller;
};

} // namespace dragonflywell::servers
