#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/append_log.hpp"
#include "coordination/membership_message.hpp"

namespace dragonflywell::servers {

/// Part of the configuration in force, in the order of the paths.
struct configuration_page {
    /// Absent when the daemon has no configuration yet.
    std::optional<coordination::log_offset> version;
    std::map<std::string, std::string> entries;
    bool is_last{true};
};

/// What a daemon answers to others. Thread safety: all functions may be called from any thread.
class peer_handler {
public:
    peer_handler() = default;
    peer_handler(const peer_handler&) = delete;
    peer_handler& operator=(const peer_handler&) = delete;
    peer_handler(peer_handler&&) = delete;
    peer_handler& operator=(peer_handler&&) = delete;
    virtual ~peer_handler() = default;

    /// Takes a message and returns those that go back to its sender.
    [[nodiscard]] virtual std::vector<coordination::gossip_message>
    on_gossip(const coordination::gossip_message& message) = 0;

    /// Returns records from offset `from` on, or nothing when they are not held.
    [[nodiscard]] virtual std::optional<coordination::log_batch>
    on_read_records(std::string_view stream, coordination::log_offset from, std::size_t most) = 0;

    /// Returns the entries of the configuration in force whose paths come after `after`, up to a limit.
    [[nodiscard]] virtual configuration_page on_read_configuration(const std::string& after) = 0;
};

} // namespace dragonflywell::servers
