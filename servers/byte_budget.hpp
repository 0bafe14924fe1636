#pragma once

#include <atomic>
#include <cstddef>
#include <memory>

namespace dragonflywell::servers {

/// Bytes that may be held at a time by all that share the budget. Thread safe.
class byte_budget {
public:
    explicit byte_budget(std::size_t most) : m_left(std::make_shared<std::atomic<std::size_t>>(most)) {}

    /// What one holder has of the budget; given back when it ends, even if the budget is gone by then. Used by one
    /// holder.
    class share {
    public:
        explicit share(const byte_budget& budget) : m_left(budget.m_left) {}
        share(const share&) = delete;
        share& operator=(const share&) = delete;
        share(share&&) = delete;
        share& operator=(share&&) = delete;
        ~share() { *m_left += m_held; }

        /// Takes some more. Returns whether there was enough left; if not, nothing is taken.
        [[nodiscard]] bool take(std::size_t bytes) {
            std::size_t left = m_left->load();
            do {
                if (bytes > left) {
                    return false;
                }
            } while (!m_left->compare_exchange_weak(left, left - bytes));
            m_held += bytes;
            return true;
        }

    private:
        std::shared_ptr<std::atomic<std::size_t>> m_left;
        std::size_t m_held{0};
    };

private:
    std::shared_ptr<std::atomic<std::size_t>> m_left;
};

} // namespace dragonflywell::servers
