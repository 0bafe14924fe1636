#pragma once

#include "platform/store_client.hpp"
#include "platform/store_era_listener.hpp"

namespace dragonflywell::daemon {

/// Tells a listener about new eras of the store for the lifetime of this object. Not thread safe.
class store_era_subscription {
public:
    /// Preconditions: store and listener outlive the subscription.
    store_era_subscription(platform::store_client& store, platform::store_era_listener& listener)
        : m_store(&store), m_listener(&listener) {
        m_store->add_era_listener(*m_listener);
    }
    store_era_subscription(const store_era_subscription&) = delete;
    store_era_subscription& operator=(const store_era_subscription&) = delete;
    store_era_subscription(store_era_subscription&&) = delete;
    store_era_subscription& operator=(store_era_subscription&&) = delete;
    ~store_era_subscription() { m_store->remove_era_listener(*m_listener); }

private:
    platform::store_client* m_store;
    platform::store_era_listener* m_listener;
};

} // namespace dragonflywell::daemon
