#include "policy/owner_order.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

#include "core/hash.hpp"

namespace dragonflywell::policy {

std::vector<std::string> get_owner_order(const std::vector<owner_candidate>& hosts, std::uint64_t key) {
    constexpr std::uint32_t default_weight = 1000;
    constexpr double min_hash = 1e-12;
    std::vector<std::pair<double, std::string>> ranked;
    ranked.reserve(hosts.size());
    for (const owner_candidate& candidate : hosts) {
        const double hash = std::max(min_hash, hash_to_unit_interval(candidate.host, key));
        const double weight = candidate.core_thousandths == 0 ? default_weight : candidate.core_thousandths;
        ranked.emplace_back(-std::log(hash) / weight, candidate.host);
    }
    std::sort(ranked.begin(), ranked.end());
    std::vector<std::string> order;
    order.reserve(ranked.size());
    for (auto& [rank, host] : ranked) {
        order.push_back(std::move(host));
    }
    return order;
}

} // namespace dragonflywell::policy
