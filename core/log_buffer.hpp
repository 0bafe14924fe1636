#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <string_view>

namespace dragonflywell {

/// Buffer of log lines that wait to be written, bounded in bytes. When it is full, it drops and counts the oldest
/// lines, those of low priority before those of high priority. Thread safe; never blocks on output.
class log_buffer {
public:
    /// Precondition: `limit_bytes` is positive.
    explicit log_buffer(std::size_t limit_bytes) : m_limit_bytes(limit_bytes) {}

    /// `is_high_priority`: for warnings, errors and events that end a request, which are dropped last.
    void push(std::string line, bool is_high_priority);

    /// Removes and returns the oldest lines until their size reaches `max_bytes`; at least one line unless it is empty.
    [[nodiscard]] std::string take(std::size_t max_bytes);

    [[nodiscard]] bool is_empty() const;
    /// Returns how many lines were dropped since the process started.
    [[nodiscard]] std::uint64_t get_dropped() const;

private:
    struct entry {
        std::uint64_t number{};
        std::string line;
    };

    void drop_one();
    [[nodiscard]] std::string take_one();

    std::size_t m_limit_bytes;
    mutable std::mutex m_mutex;
    std::deque<entry> m_high_priority;
    std::deque<entry> m_low_priority;
    std::size_t m_bytes{0};
    std::uint64_t m_next_number{0};
    std::uint64_t m_dropped{0};
};

} // namespace dragonflywell
