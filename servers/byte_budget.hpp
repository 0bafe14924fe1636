#pragma once

#include <atomic>
#include <cstddef>
#include <memory>

namespace dragonflywell::servers {

/// Limit on the bytes that all users of the budget hold at a time. Thread safe.
class byte_budget {
public:
    explicit byte_budget(std::size_t capacity_bytes)
        : m_left(std::make_shared<std::atomic<std::size_t>>(capacity_bytes)) {}

    /// The bytes that one user holds. They return to the budget on destruction, even if the budget object no longer
    /// exists. Used by one user; not thread safe.
    class share {
    public:
        explicit share(const byte_budget& budget) : m_left(budget.m_left) {}
        share(const share&) = delete;
        share& operator=(const share&) = delete;
        share(share&&) = delete;
        share& operator=(share&&) = delete;
        ~share() { *m_left += m_held; }

        /// Takes further bytes from the budget. Returns false and takes nothing when too few are left.
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

        /// Takes or returns bytes, so that this user holds that many. Returns false and changes nothing when too few
        /// are left.
        [[nodiscard]] bool resize(std::size_t bytes) {
            if (bytes > m_held) {
                return take(bytes - m_held);
            }
            *m_left += m_held - bytes;
            m_held = bytes;
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
