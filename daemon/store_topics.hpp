#pragma once

#include <string_view>

/// Topics of this project in the platform's store. All are keyed and have one partition.
namespace dragonflywell::daemon::topics {

/// Claims and renewals of the lease under which duties are done.
inline constexpr std::string_view lease = "keyed.dw-lease";
/// What each life of a host's process has counted, under host and incarnation.
inline constexpr std::string_view usage = "keyed.dw-usage";
/// Figures that are fixed for reports.
inline constexpr std::string_view reports = "keyed.dw-reports";
/// Addresses of the hosts, under their name.
inline constexpr std::string_view hosts = "keyed.dw-hosts";

/// The only key of a topic that holds one thing.
inline constexpr std::string_view singleton_key = "newest";

} // namespace dragonflywell::daemon::topics
