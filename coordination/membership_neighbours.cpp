#include "coordination/membership_neighbours.hpp"

#include <algorithm>
#include <cstdint>
#include <utility>

#include "core/hash.hpp"

namespace dragonflywell::coordination {

namespace {

using ranked_host = std::pair<std::uint64_t, host_name>;

std::uint64_t get_position(const host_name& host) {
    return get_stable_hash("ring/" + host.value());
}

std::size_t find_successor(const host_name& self, std::span<const host_name> others) {
    const std::uint64_t own_position = get_position(self);
    std::size_t best = 0;
    std::uint64_t best_distance = UINT64_MAX;
    for (std::size_t index = 0; index < others.size(); ++index) {
        // The difference of unsigned numbers wraps round, as the ring does.
        const std::uint64_t distance = get_position(others[index]) - own_position;
        if (distance < best_distance) {
            best = index;
            best_distance = distance;
        }
    }
    return best;
}

} // namespace

std::vector<host_name> choose_neighbours(const host_name& self, std::span<const host_name> others, std::size_t count) {
    if (others.empty() || count == 0) {
        return {};
    }
    const std::size_t successor = find_successor(self, others);
    std::vector<ranked_host> ranked;
    for (std::size_t index = 0; index < others.size(); ++index) {
        const std::uint64_t rank = index == successor ? 0 : get_stable_hash(self.value() + "/" + others[index].value());
        ranked.emplace_back(rank, others[index]);
    }
    const std::size_t kept = std::min(count, ranked.size());
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(kept), ranked.end());
    std::vector<host_name> chosen;
    for (std::size_t index = 0; index < kept; ++index) {
        chosen.push_back(std::move(ranked[index].second));
    }
    return chosen;
}

} // namespace dragonflywell::coordination
