#pragma once

#include <cstddef>
#include <deque>
#include <map>

namespace dragonflywell::coordination {

/// News that still has to be told a number of times, the one that waited longest first.
///
/// Bounded by the number of distinct keys. Not thread safe.
template <typename Key>
class gossip_rumours {
public:
    /// Precondition: `times` is positive. News about a known key starts its count afresh.
    void add(const Key& key, unsigned times) {
        if (m_left.insert_or_assign(key, times).second) {
            m_order.push_back(key);
        }
    }

    /// Hands out keys until `take` returns false for one, which then stays first, or each has been seen once.
    template <typename Take>
    void take_each(Take take) {
        for (std::size_t remaining = m_order.size(); remaining > 0; --remaining) {
            const Key key = m_order.front();
            if (!take(key)) {
                return;
            }
            m_order.pop_front();
            if (--m_left[key] > 0) {
                m_order.push_back(key);
            } else {
                m_left.erase(key);
            }
        }
    }

    [[nodiscard]] std::size_t size() const noexcept { return m_order.size(); }

private:
    std::map<Key, unsigned> m_left;
    std::deque<Key> m_order;
};

} // namespace dragonflywell::coordination
