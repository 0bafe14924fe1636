#pragma once

#include <atomic>
#include <cstdint>
#include <unistd.h>

namespace dragonflywell::testing {

/// Yields ports of a range in turn. Each process begins at another port, because several tests may run at the same
/// time. Thread safe.
class port_range {
public:
    port_range(std::uint32_t first, std::uint32_t end)
        : m_first(first), m_end(end), m_next(static_cast<std::uint32_t>(::getpid()) * ports_per_process) {}

    std::uint16_t take_next() { return static_cast<std::uint16_t>(m_first + m_next++ % (m_end - m_first)); }

private:
    static constexpr std::uint32_t ports_per_process = 64;

    std::uint32_t m_first;
    std::uint32_t m_end;
    std::atomic<std::uint32_t> m_next;
};

} // namespace dragonflywell::testing
