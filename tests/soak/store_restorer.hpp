#pragma once

#include <cstdint>
#include <functional>
#include <random>
#include <utility>

#include "soak/soak_platform.hpp"

namespace dragonflywell::soak {

/// Makes the store return from an older copy. Its draws leave those of the other faults as they are. Not thread safe:
/// it is used on one event loop.
class store_restorer {
public:
    /// Precondition: `platform` outlives the restorer. `publish` publishes a new version of the configuration.
    store_restorer(soak_platform& platform, std::uint64_t seed, std::function<void()> publish)
        : m_platform(&platform), m_random(seed), m_publish(std::move(publish)) {}

    /// Takes a copy of the store and lets it grow some seconds old. At least one version is published meanwhile.
    servers::asio::awaitable<void> prepare();
    /// Makes the store unavailable, lets it return from the copy, and writes again what the operator and the backend
    /// servers had written since.
    servers::asio::awaitable<void> restore();

private:
    [[nodiscard]] duration draw_length(duration least, duration most);
    [[nodiscard]] bool draw_bool();

    soak_platform* m_platform;
    std::mt19937_64 m_random;
    std::function<void()> m_publish;
};

} // namespace dragonflywell::soak
