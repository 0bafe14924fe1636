#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <span>
#include <vector>

#include "fleet/backend_server.hpp"

namespace dragonflywell::policy {

/// One backend server that could take a request.
struct placement_candidate {
    const fleet::backend_server* server{};
    /// Load of the server in tokens: the last reported value, corrected by what this daemon has sent since.
    std::uint64_t load_tokens{};
    bool is_own_zone{false};
};

/// Chooses the backend server for a request. Thread safe if each thread has its own `random`.
class placement {
public:
    placement() = default;
    placement(const placement&) = delete;
    placement& operator=(const placement&) = delete;
    placement(placement&&) = delete;
    placement& operator=(placement&&) = delete;
    virtual ~placement() = default;

    /// Returns the index of the chosen candidate, or nothing if there are no candidates.
    [[nodiscard]] virtual std::optional<std::size_t> choose(std::span<const placement_candidate> candidates,
                                                            std::mt19937_64& random) const = 0;
};

/// Power of two choices: chooses the less loaded of two random candidates, so that daemons with the same view do not
/// all choose the same server. Candidates of other zones are used only if there is none in the own zone.
class two_choice_placement final : public placement {
public:
    [[nodiscard]] std::optional<std::size_t> choose(std::span<const placement_candidate> candidates,
                                                    std::mt19937_64& random) const override;
};

} // namespace dragonflywell::policy
