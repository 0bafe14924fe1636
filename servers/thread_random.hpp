#pragma once

#include <random>

namespace dragonflywell::servers {

/// Returns the random number generator of the calling thread, seeded differently in each thread and process.
[[nodiscard]] std::mt19937_64& get_thread_random();

} // namespace dragonflywell::servers
