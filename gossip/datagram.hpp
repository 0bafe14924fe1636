#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace dragonflywell::gossip {

/// What a datagram to other hosts contains.
enum class datagram_kind : std::uint8_t {
    group_digest,
    intergroup_digest,
    records,
    configuration,
    quota_request,
    quota_grant,
    limit_request,
    limit_grant
};

constexpr std::size_t datagram_kinds = 8;
constexpr std::array<std::string_view, datagram_kinds> datagram_kind_names{
    "group_digest",  "intergroup_digest", "records",       "configuration",
    "quota_request", "quota_grant",       "limit_request", "limit_grant"};

/// Largest datagram that is sent.
constexpr std::size_t max_datagram_bytes = 60'000;

} // namespace dragonflywell::gossip
