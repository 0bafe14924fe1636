#include "policy/group_leadership.hpp"

#include <algorithm>
#include <tuple>

namespace dragonflywell::policy {

bool leads_group(const leader_candidate& own, std::span<const leader_candidate> others) {
    if (own.is_stopping) {
        return false;
    }
    const auto is_before = [](const leader_candidate& left, const leader_candidate& right) {
        return std::tuple(left.is_cut_off, right.capacity, left.host) <
               std::tuple(right.is_cut_off, left.capacity, right.host);
    };
    return std::none_of(others.begin(), others.end(),
                        [&](const leader_candidate& other) { return !other.is_stopping && is_before(other, own); });
}

} // namespace dragonflywell::policy
