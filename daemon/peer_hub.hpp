#pragma once

#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/configuration.hpp"
#include "coordination/fan_out_log.hpp"
#include "coordination/log_freshness.hpp"
#include "coordination/membership.hpp"
#include "core/log.hpp"
#include "daemon/daemon_parts.hpp"
#include "servers/peer_client.hpp"
#include "servers/peer_handler.hpp"
#include "servers/peer_server.hpp"

namespace dragonflywell::daemon {

/// What this daemon knows of the others and answers to them.
///
/// Thread safe, except that `read` and `fetch_configuration` belong to the thread that follows the configuration.
class peer_hub final : public servers::peer_handler, public coordination::record_relay {
public:
    /// Starts to listen. Throws `servers::peer_listen_error`. Precondition: the settings have peers.
    explicit peer_hub(const daemon_parts& parts);

    /// Does what is due and returns the messages to send.
    [[nodiscard]] std::vector<coordination::addressed_message> take_messages();

    /// Takes answers and returns the messages that they lead to.
    [[nodiscard]] std::vector<coordination::addressed_message>
    take_answers(const std::vector<coordination::gossip_message>& answers);

    /// Says farewell. Returns the messages to send.
    [[nodiscard]] std::vector<coordination::addressed_message> leave();

    /// Refuses further calls of other daemons.
    void stop_listening();

    /// Offers the configuration in force to hosts that cannot read the log.
    void set_configuration(std::shared_ptr<const coordination::configuration> current);

    /// Fetches the configuration of another daemon. Returns nothing when none gives a whole one.
    [[nodiscard]] std::shared_ptr<const coordination::configuration> fetch_configuration();

    /// Judges how this zone stands to the log.
    [[nodiscard]] coordination::log_reach get_log_reach() const;

    /// Returns living daemons of the own zone, and the linked ones of others.
    [[nodiscard]] std::vector<coordination::member> get_zone_members() const;
    [[nodiscard]] std::vector<coordination::member> get_links() const;
    [[nodiscard]] std::uint16_t get_port() const noexcept { return m_server.get_port(); }

    [[nodiscard]] std::vector<coordination::gossip_message>
    on_gossip(const coordination::gossip_message& message) override;
    [[nodiscard]] std::optional<coordination::log_batch>
    on_read_records(std::string_view stream, coordination::log_offset from, std::size_t most) override;
    [[nodiscard]] servers::configuration_page on_read_configuration(const std::string& after) override;

    [[nodiscard]] bool is_reader(std::string_view stream) const override;
    [[nodiscard]] std::optional<coordination::log_offset> get_fresh_end(std::string_view stream) const override;
    [[nodiscard]] std::optional<coordination::log_batch> read(std::string_view stream, coordination::log_offset from,
                                                              std::size_t most) override;
    void on_read(std::string_view stream, const coordination::log_batch& batch, bool is_from_log) override;

private:
    /// The newest records of one stream, without a gap.
    struct held_records {
        std::deque<coordination::log_entry> entries;
        std::size_t bytes{0};
        coordination::log_offset end{};
    };

    void hold(held_records& held, const coordination::log_batch& batch);
    void publish_freshness(std::string_view stream, coordination::log_offset end);
    [[nodiscard]] std::vector<coordination::log_freshness> get_zone_freshness(std::string_view stream) const;
    [[nodiscard]] std::vector<endpoint> get_peers_with(std::string_view stream, coordination::log_offset from) const;
    [[nodiscard]] std::shared_ptr<const coordination::configuration> fetch_configuration(const endpoint& peer);

    const daemon_settings& m_settings;
    const clock_source* m_time;
    std::shared_ptr<spdlog::logger> m_log;
    mutable std::mutex m_mutex;
    std::unique_ptr<coordination::membership> m_membership;
    std::vector<coordination::addressed_message> m_outbox;
    std::map<std::string, held_records, std::less<>> m_records;
    std::shared_ptr<const coordination::configuration> m_configuration;
    steady_time m_next_tick{};
    /// Whether a daemon of another zone ever answered; a deployment may have one zone only.
    bool m_has_been_linked{false};
    servers::peer_client m_client;
    // Last, because it calls the handler from its first moment to its last.
    servers::peer_server m_server;
};

} // namespace dragonflywell::daemon
