#pragma once

#include <map>
#include <optional>

#include "core/clock.hpp"
#include "fleet/manifest.hpp"
#include "platform/engine_control.hpp"

namespace dragonflywell::daemon {

/// The last known state of one engine.
struct observed_engine {
    /// As last reported; absent until the first report.
    std::optional<platform::engine_load> load;
    steady_time reported_at{};
    bool is_reachable{false};
};

struct engine_observer_options {
    /// How long an unreachable engine is not asked again, so that a hanging engine does not slow down each round.
    duration retry_unreachable{std::chrono::seconds(5)};
};

/// Reads the load of every engine of the manifest. Not thread safe.
class engine_observer {
public:
    /// Precondition: the references outlive the observer.
    engine_observer(platform::engine_control& engines, const clock_source& time, engine_observer_options options);

    /// Asks each engine once, except those that were unreachable shortly before. Removes those that are no longer in
    /// the manifest.
    void refresh(const fleet::manifest& manifest);

    [[nodiscard]] const std::map<backend_server_name, observed_engine>& get_all() const noexcept { return m_engines; }

private:
    void refresh_one(const fleet::backend_server& server);

    platform::engine_control* m_control;
    const clock_source* m_time;
    engine_observer_options m_options;
    std::map<backend_server_name, observed_engine> m_engines;
    std::map<backend_server_name, steady_time> m_failed_at;
};

} // namespace dragonflywell::daemon
