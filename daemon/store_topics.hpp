#pragma once

#include <string_view>

/// Topics that the daemons own in the platform's store. All are keyed and have one partition.
namespace dragonflywell::daemon::topics {

/// Acquisitions and renewals of the lease whose holder controls the fleet and reports usage.
inline constexpr std::string_view lease = "keyed.dw-lease";
/// Usage counts of each host process, keyed by host and incarnation.
inline constexpr std::string_view usage = "keyed.dw-usage";
/// Final usage figures and the reports that are still to be sent.
inline constexpr std::string_view reports = "keyed.dw-reports";
/// Addresses of the hosts, keyed by name.
inline constexpr std::string_view hosts = "keyed.dw-hosts";

/// The only key of a topic that holds a single value.
inline constexpr std::string_view singleton_key = "newest";

} // namespace dragonflywell::daemon::topics
