#include "servers/thread_random.hpp"

namespace dragonflywell::servers {

std::mt19937_64& get_thread_random() {
    thread_local std::mt19937_64 random(std::random_device{}());
    return random;
}

} // namespace dragonflywell::servers
