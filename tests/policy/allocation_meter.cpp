#include "support/allocation_meter.hpp"

#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <malloc.h>
#include <new>

namespace {

std::atomic<std::size_t> held{0};
std::atomic<std::size_t> peak{0};

void* allocate(std::size_t size) {
    void* const memory = std::malloc(size);
    if (memory == nullptr) {
        throw std::bad_alloc();
    }
    const std::size_t now = held += malloc_usable_size(memory);
    peak = std::max(peak.load(), now);
    return memory;
}

void release(void* memory) noexcept {
    if (memory != nullptr) {
        held -= malloc_usable_size(memory);
    }
    std::free(memory);
}

} // namespace

void* operator new(std::size_t size) {
    return allocate(size);
}

void operator delete(void* memory) noexcept {
    release(memory);
}

void operator delete(void* memory, std::size_t /*size*/) noexcept {
    release(memory);
}

namespace dragonflywell::testing {

allocation_meter::allocation_meter() : m_held_before(held) {
    peak = m_held_before;
}

std::size_t allocation_meter::get_peak_bytes() const {
    return peak - std::min(peak.load(), m_held_before);
}

std::size_t allocation_meter::get_held_bytes() const {
    return held - std::min(held.load(), m_held_before);
}

} // namespace dragonflywell::testing
