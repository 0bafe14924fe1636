#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <utility>

namespace dragonflywell {

/// Read-copy-update container for one immutable value.
///
/// A writer replaces the whole value; a reader keeps the version that it holds valid for as long as it needs it.
/// Thread safety: `set` and `get` may be called from any thread.
template <typename T>
class rcu_cell {
public:
    explicit rcu_cell(std::shared_ptr<const T> value) : m_value(std::move(value)) {}

    /// Replaces the value. Readers see it on their next call of `get`.
    void set(std::shared_ptr<const T> value) {
        const std::scoped_lock lock(m_mutex);
        m_value = std::move(value);
        m_generation.fetch_add(1, std::memory_order_release);
    }

    [[nodiscard]] std::shared_ptr<const T> get() const {
        const std::scoped_lock lock(m_mutex);
        return m_value;
    }

    /// A cached view for one connection. Reading an unchanged value costs one atomic load and no shared write.
    ///
    /// Thread safety: one thread at a time. The cell must outlive its readers.
    class reader {
    public:
        explicit reader(const rcu_cell& cell) : m_cell(&cell) {}

        /// Returns the newest value. It stays valid for as long as the caller holds the pointer.
        const std::shared_ptr<const T>& get() {
            const std::uint64_t generation = m_cell->m_generation.load(std::memory_order_acquire);
            if (m_cached == nullptr || generation != m_seen) {
                m_cached = m_cell->get();
                m_seen = generation;
            }
            return m_cached;
        }

    private:
        const rcu_cell* m_cell;
        std::uint64_t m_seen{0};
        std::shared_ptr<const T> m_cached;
    };

private:
    mutable std::mutex m_mutex;
    std::shared_ptr<const T> m_value;
    std::atomic<std::uint64_t> m_generation{1};
};

} // namespace dragonflywell
