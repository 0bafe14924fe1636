#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace dragonflywell::policy {

/// A host that may own quotas.
struct owner_candidate {
    std::string host;
    /// Share of a core, in thousandths; zero if it is not known, which counts as a whole core.
    std::uint32_t core_thousandths{0};
};

/// Returns the names of the hosts in weighted rendezvous order: a host that joins or leaves moves only the keys that it
/// owns, and each host owns keys in proportion to its weight. The same on every host that has the same list. Thread
/// safe.
[[nodiscard]] std::vector<std::string> get_owner_order(const std::vector<owner_candidate>& hosts, std::uint64_t key);

} // namespace dragonflywell::policy
