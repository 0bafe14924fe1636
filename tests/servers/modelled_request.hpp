#pragma once

#include <vector>

#include "modelled_fleet.hpp"

namespace dragonflywell::testing {

/// A request on its way through the model.
struct modelled_fleet::request {
    std::size_t kind{};
    std::size_t host{};
    std::uint64_t number{};
    steady_time asked_at{};
    std::size_t tries{0};
    policy::engine_choice choice;
    backend_server_name decode_engine;
    steady_time sent_at{};
    steady_time first_event_at{};
    std::unique_ptr<servers::engine_observation> observation;
    /// Urgency at the engine to which it was sent last.
    std::uint32_t urgency{};
    bool is_prefilled{false};
    bool has_first_event{false};
    bool has_ended{false};
    std::uint64_t prefix{};
    std::vector<policy::prefix_block> parts;
    /// On the engine: what is left to read and to generate.
    std::uint64_t unread_tokens{0};
    std::uint64_t left_tokens{0};
};

} // namespace dragonflywell::testing
