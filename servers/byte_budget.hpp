#pragma once

#include <atomic>
#include <cstddef>
#include <memory>

namespace dragonflywell::servers {

/// Bytes of a response, or of an incomplete event, that are buffered without room in the budget.
constexpr std::size_t unbudgeted_response_bytes = 32UL * 1024;

/// Limit on the bytes that all users of the budget hold at a time. Thread safe.
class byte_budget {
public:
    explicit byte_budget(std::size_t capacity_bytes)
        : m_left(std::make_shared<std::atomic<std::size_t>>(capacity_bytes)) {}

    /// The bytes that one user holds. They return to the budget on destruction, even if the budget object no longer
    /// exists. Used by one user; not thread safe.
    class share {
    public:
        /// `free_bytes`: bytes that the user may hold without taking them from the budget. What it needs for ordinary
        /// work is then there also when other users hold the whole budget.
        explicit share(const byte_budget& budget, std::size_t free_bytes = 0)
            : m_left(budget.m_left), m_free(free_bytes) {}
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

        /// Takes or returns bytes, so that this user holds that many, the free ones included. Returns false and changes
        /// nothing when too few are left.
        [[nodiscard]] bool resize(std::size_t bytes) {
            const std::size_t counted = bytes > m_free ? bytes - m_free : 0;
            if (counted > m_held) {
                return take(counted - m_held);
            }
            *m_left += m_held - counted;
            m_held = counted;
            return true;
        }

    private:
        std::shared_ptr<std::atomic<std::size_t>> m_left;
        std::size_t m_free;
        std::size_t m_held{0};
    };

private:
    std::shared_ptr<std::atomic<std::size_t>> m_left;
};

} // namespace dragonflywell::servers
