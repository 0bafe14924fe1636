#pragma once

#include <map>
#include <string>

#include "core/clock.hpp"
#include "core/log_position.hpp"

namespace dragonflywell::gossip {

/// Limits how often the leader of a group sends the same records to a host again: the host repeats what it misses in
/// each digest until it has the records. Not thread safe.
class resend_limiter {
public:
    /// Returns whether records from `from` on are to be sent to a host now.
    [[nodiscard]] bool may_send(const std::string& host, const log_position& from, steady_time now) {
        sent& last = m_last[host];
        if (last.from == from && now - last.at < interval) {
            return false;
        }
        last = {.from = from, .at = now};
        return true;
    }

    void remove(const std::string& host) { m_last.erase(host); }

private:
    /// Longer than a datagram and the next digest of the receiver usually take.
    static constexpr duration interval{std::chrono::milliseconds(150)};

    struct sent {
        log_position from;
        steady_time at{};
    };

    std::map<std::string, sent> m_last;
};

} // namespace dragonflywell::gossip
