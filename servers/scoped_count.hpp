#pragma once

#include <atomic>
#include <cstdint>

namespace dragonflywell::servers {

/// Counts one item during its lifetime.
class scoped_count {
public:
    explicit scoped_count(std::atomic<std::int64_t>& count) : m_count(&count) { ++*m_count; }
    scoped_count(const scoped_count&) = delete;
    scoped_count& operator=(const scoped_count&) = delete;
    scoped_count(scoped_count&&) = delete;
    scoped_count& operator=(scoped_count&&) = delete;
    ~scoped_count() { --*m_count; }

private:
    std::atomic<std::int64_t>* m_count;
};

} // namespace dragonflywell::servers
