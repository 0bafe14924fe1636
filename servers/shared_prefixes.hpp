#pragma once

#include <map>
#include <span>
#include <utility>
#include <vector>

#include "core/clock.hpp"
#include "servers/host_digest.hpp"

namespace dragonflywell::servers {

struct shared_prefixes_options {
    /// Shorter prefixes are not announced, because an engine prefills them faster than it fetches them.
    std::uint32_t min_tokens{1024};
    /// A prefix that stays in use is announced again after this interval, so that other groups know that it is still
    /// cached.
    duration repeat_interval{std::chrono::seconds(4)};
    /// Maximum number of prefixes that wait to be announced; the newest ones are kept.
    std::size_t max_prefix_accesses{150};
};

/// Collects the prompt prefixes that the engines of a group have cached, to announce them to other groups. Engines of
/// other groups can then fetch a prefix instead of prefilling it. Only the part of a prompt that other requests may
/// share is announced: all parts but the last. Not thread safe.
class shared_prefixes {
public:
    explicit shared_prefixes(shared_prefixes_options options = {}) noexcept : m_options(options) {}

    /// Records a prompt that was sent to an engine of the group.
    void add(const digest_prefix_access& access, steady_time now);

    /// Returns the prefixes to announce now: the newest ones, as many as fit into `max_bytes` of a digest. The others
    /// keep waiting.
    [[nodiscard]] std::vector<digest_prefix_access> take(steady_time now, std::size_t max_bytes);

private:
    using announced_prefix = std::pair<backend_server_name, std::uint64_t>;

    shared_prefixes_options m_options;
    std::vector<digest_prefix_access> m_pending;
    std::map<announced_prefix, steady_time> m_announced_at;
};

} // namespace dragonflywell::servers
