#pragma once

#include <map>
#include <span>
#include <utility>
#include <vector>

#include "core/clock.hpp"
#include "servers/host_digest.hpp"

namespace dragonflywell::servers {

struct shared_prefixes_options {
    /// Parts shorter than this are read again sooner than they are fetched.
    std::uint32_t min_tokens{1024};
    /// A part that is used on and on is told again after this, so that others know that it is still kept.
    duration repeat_interval{std::chrono::seconds(4)};
    /// Touches told at once at most, so that they fit into a datagram; the newest ones count.
    std::size_t max_prefix_accesses{150};
};

/// Gathers what a group of hosts lets its engines read, for other groups, which can fetch it instead of having it read
/// again. Of a prompt only what other requests may share is told: all parts but the last. Not thread safe.
class shared_prefixes {
public:
    explicit shared_prefixes(shared_prefixes_options options = {}) noexcept : m_options(options) {}

    /// Notes a prompt that was sent to an engine of the group.
    void add(const digest_prefix_access& touch, steady_time now);

    /// Returns what is to be told now, and forgets it.
    [[nodiscard]] std::vector<digest_prefix_access> take(steady_time now);

private:
    using told_part = std::pair<backend_server_name, std::uint64_t>;

    shared_prefixes_options m_options;
    std::vector<digest_prefix_access> m_news;
    std::map<told_part, steady_time> m_told_at;
};

} // namespace dragonflywell::servers
