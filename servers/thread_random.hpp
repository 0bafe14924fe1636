#pragma once

#include <random>

namespace dragonflywell::servers {

/// Returns the calling thread's own random numbers, seeded differently in each thread and process.
[[nodiscard]] std::mt19937_64& get_thread_random();

} // namespace dragonflywell::servers
