#pragma once

#include <cstdint>

#include "policy/expected_work_times.hpp"
#include "policy/server_speed_estimator.hpp"

namespace dragonflywell::servers {

class serving_state;

/// What this host has learned of the instances of one plain service. Not thread safe.
struct instance_speeds {
    policy::server_speed_estimator estimator;
    policy::expected_work_times times;
};

/// Observes how long an instance takes for a request, from its construction until `finish`. A request that ends without
/// it counts as abandoned. Does nothing where speeds are not learned. Used by one coroutine.
class instance_observation {
public:
    /// `kind`: identifies requests that usually take equally long. Precondition: the state outlives this object.
    instance_observation(serving_state& state, const service_name& service, const backend_server_name& server,
                         std::uint64_t kind);
    instance_observation(const instance_observation&) = delete;
    instance_observation& operator=(const instance_observation&) = delete;
    instance_observation(instance_observation&&) = delete;
    instance_observation& operator=(instance_observation&&) = delete;
    ~instance_observation();

    /// The instance has run the request.
    void finish();
    /// The instance has not run the request.
    void discard();

private:
    const clock_source* m_time;
    /// Null when nothing is observed any more.
    instance_speeds* m_speeds{};
    backend_server_name m_server;
    std::uint64_t m_kind;
    double m_load{0};
    steady_time m_sent_at;
    /// Number of the request at the estimator; nothing while the usual time of its kind is not known.
    std::uint64_t m_number{0};
};

} // namespace dragonflywell::servers
