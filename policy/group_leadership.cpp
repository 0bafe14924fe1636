#include "policy/group_leadership.hpp"

#include <algorithm>
#include <tuple>

namespace dragonflywell::policy {

bool leads_group(const leader_candidate& own, std::span<const leader_candidate> others) {
    if (own.is_stopping) {
        return false;
    }
    const auto get_rank = [](const leader_candidate& host) { return std::tuple(host.is_cut_off, host.host); };
    return std::none_of(others.begin(), others.end(), [&](const leader_candidate& other) {
        return !other.is_stopping && get_rank(other) < get_rank(own);
    });
}

} // namespace dragonflywell::policy
