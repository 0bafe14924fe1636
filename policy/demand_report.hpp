#pragma once

#include <compare>
#include <cstdint>
#include <vector>

#include "core/clock.hpp"
#include "core/identifiers.hpp"

namespace dragonflywell::policy {

/// Organisation of the requests and their target: a model or a plain service. The other name is empty.
struct demand_key {
    organisation_name organisation;
    model_name model;
    service_name service;

    friend auto operator<=>(const demand_key&, const demand_key&) = default;
};

/// Demand for one key that arrived at one entry host within one report, refused requests included.
struct demand_row {
    demand_key key;
    std::uint64_t arrivals{};
    std::uint64_t prompt_tokens{};
    std::uint64_t output_tokens{};

    friend bool operator==(const demand_row&, const demand_row&) = default;
};

/// Demand that arrived at one entry host between `start` and `start + length`. Hosts align `start` to multiples of
/// `length` on the wall clock, so that their reports can be summed.
struct demand_report {
    host_name host;
    std::uint64_t incarnation{};
    wall_time start{};
    duration length{};
    std::vector<demand_row> rows;

    friend bool operator==(const demand_report&, const demand_report&) = default;
};

} // namespace dragonflywell::policy
