#include "policy/placement.hpp"

#include <algorithm>

namespace dragonflywell::policy {

std::optional<std::size_t> two_choice_placement::choose(std::span<const placement_candidate> candidates,
                                                        std::mt19937_64& random) const {
    std::vector<std::size_t> eligible;
    const bool has_own_zone =
        std::any_of(candidates.begin(), candidates.end(), [](const auto& item) { return item.is_own_zone; });
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        if (!has_own_zone || candidates[index].is_own_zone) {
            eligible.push_back(index);
        }
    }
    if (eligible.empty()) {
        return std::nullopt;
    }
    std::uniform_int_distribution<std::size_t> pick(0, eligible.size() - 1);
    const std::size_t first = eligible[pick(random)];
    const std::size_t second = eligible[pick(random)];
    return candidates[second].load_tokens < candidates[first].load_tokens ? second : first;
}

} // namespace dragonflywell::policy
