#include "policy/cost_limit.hpp"

namespace dragonflywell::policy {

std::uint64_t get_host_share(std::uint64_t limit, std::uint64_t hosts) noexcept {
    return limit / hosts;
}

bool is_over_cost_limit(const fleet::organisation& organisation, std::uint64_t used_tokens,
                        std::uint64_t hosts) noexcept {
    const bool has_limit = organisation.tokens_per_window != 0;
    return has_limit && used_tokens >= get_host_share(organisation.tokens_per_window, hosts);
}

} // namespace dragonflywell::policy
