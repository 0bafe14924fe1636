#pragma once

#include <cstddef>
#include <span>
#include <vector>

#include "core/identifiers.hpp"

namespace dragonflywell::coordination {

/// Chooses whom a daemon pings: its successor on a ring of hashed names, so that each is watched by someone,
/// and others by rendezvous hashing, so that news spreads in few steps.
///
/// The choice changes little when others come and go, which keeps connections open. `others` need no order; the
/// result holds at most `count` names. Thread safe.
[[nodiscard]] std::vector<host_name> choose_neighbours(const host_name& self, std::span<const host_name> others,
                                                       std::size_t count);

} // namespace dragonflywell::coordination
