#pragma once

#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/append_log.hpp"
#include "coordination/membership_message.hpp"
#include "core/clock.hpp"
#include "core/endpoint.hpp"
#include "servers/peer_handler.hpp"

namespace dragonflywell::servers {

struct peer_client_options {
    duration deadline{std::chrono::milliseconds(400)};
    /// Connections that were not used for longest are closed beyond this number.
    std::size_t most_connections{16};
};

/// Calls other daemons. A call without answer within the deadline counts as lost; nothing is sent again.
///
/// Not thread safe: each thread that calls has its own client.
class peer_client {
public:
    explicit peer_client(peer_client_options options);
    peer_client(const peer_client&) = delete;
    peer_client& operator=(const peer_client&) = delete;
    peer_client(peer_client&&) = delete;
    peer_client& operator=(peer_client&&) = delete;
    ~peer_client();

    /// Sends all messages at once and returns the answers that came within the deadline.
    [[nodiscard]] std::vector<coordination::gossip_message>
    exchange(std::span<const coordination::addressed_message> messages);

    /// Asks one daemon for records of a stream. Returns nothing when it does not answer or does not hold them.
    [[nodiscard]] std::optional<coordination::log_batch> read_records(const endpoint& peer, std::string_view stream,
                                                                      coordination::log_offset from, std::size_t most);

    /// Asks one daemon for a page of the configuration. Returns nothing when it does not answer.
    [[nodiscard]] std::optional<configuration_page> read_configuration(const endpoint& peer, const std::string& after);

private:
    // Keeps the headers of gRPC out of those who include this one.
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace dragonflywell::servers
