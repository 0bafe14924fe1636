#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "soak/invariant_checker.hpp"

namespace dragonflywell::soak {

/// Checks that no host goes back to an older version of the configuration, and that each has the newest one in time.
/// Not thread safe: it is used on one event loop.
class configuration_checker {
public:
    /// Precondition: the references outlive the checker. `is_planned_only` returns whether the bound holds at present.
    configuration_checker(const clock_source& time, invariant_checker& checker, std::function<bool()> is_planned_only)
        : m_time(&time), m_checker(&checker), m_is_planned_only(std::move(is_planned_only)) {}

    /// Records that the store has acknowledged a version.
    void add_publication(std::uint64_t version);
    /// Checks the metrics that a process of a host returned to a request of that time.
    void check(const std::string& host, int start_count, std::string_view metrics, steady_time asked_at);

private:
    struct publication {
        std::uint64_t version{};
        steady_time at;
    };
    using process = std::pair<std::string, int>;

    [[nodiscard]] std::uint64_t get_required_version(steady_time asked_at) const;

    const clock_source* m_time;
    invariant_checker* m_checker;
    std::function<bool()> m_is_planned_only;
    std::vector<publication> m_publications;
    /// Newest version that each process has had.
    std::map<process, std::uint64_t> m_newest;
    /// Newest required version that a process was found to lack.
    std::map<process, std::uint64_t> m_missing;
};

} // namespace dragonflywell::soak
