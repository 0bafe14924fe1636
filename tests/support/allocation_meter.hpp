#pragma once

#include <cstddef>

namespace dragonflywell::testing {

/// Measures the memory that this process allocates with `new` during the lifetime of the object, beyond what it held
/// before. Only one may exist at a time. Available to test programs that compile allocation_meter.cpp.
class allocation_meter {
public:
    allocation_meter();
    allocation_meter(const allocation_meter&) = delete;
    allocation_meter& operator=(const allocation_meter&) = delete;
    allocation_meter(allocation_meter&&) = delete;
    allocation_meter& operator=(allocation_meter&&) = delete;
    ~allocation_meter() = default;

    /// Returns the largest number of bytes that were held at a time.
    [[nodiscard]] std::size_t get_peak_bytes() const;
    /// Returns how many bytes are held now.
    [[nodiscard]] std::size_t get_held_bytes() const;

private:
    std::size_t m_held_before;
};

} // namespace dragonflywell::testing
