#pragma once

#include <deque>

#include "core/clock.hpp"

namespace dragonflywell::policy {

/// Maximum over a sliding time window. Not thread safe.
template <typename Value>
class recent_maximum {
public:
    explicit recent_maximum(duration span) noexcept : m_span(span) {}

    /// Adds a value and returns the maximum of the window that ends now.
    Value observe(Value value, steady_time now) {
        while (!m_values.empty() && m_values.back().value <= value) {
            m_values.pop_back();
        }
        m_values.push_back({.value = value, .moment = now});
        while (now - m_values.front().moment > m_span) {
            m_values.pop_front();
        }
        return m_values.front().value;
    }

private:
    struct entry {
        Value value{};
        steady_time moment{};
    };

    duration m_span;
    /// Values in decreasing order. A value that is followed by a greater one can never be the maximum again, so it is
    /// removed.
    std::deque<entry> m_values;
};

} // namespace dragonflywell::policy
