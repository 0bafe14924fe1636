#pragma once

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>

#include "core/log.hpp"
#include "daemon/store_dependency.hpp"
#include "platform/store_client.hpp"
#include "policy/topic_progress.hpp"
#include "servers/serving_state.hpp"

namespace dragonflywell::daemon {

/// Keeps the directory of backend servers in sync with the server list in the store.
///
/// The leader of a group of hosts reads the list and relays new records to the group. The other hosts read the store
/// themselves when a relayed page is missing, or when their list was not confirmed as current for too long. Used on one
/// event loop.
class server_list_follower final : public platform::store_era_listener {
public:
    /// `drain_bound`: longest time from a server's notice that it drains to the last request sent to it.
    /// Preconditions: store and state outlive the follower.
    server_list_follower(platform::store_client& store, servers::serving_state& state, duration drain_bound);
    server_list_follower(const server_list_follower&) = delete;
    server_list_follower& operator=(const server_list_follower&) = delete;
    server_list_follower(server_list_follower&&) = delete;
    server_list_follower& operator=(server_list_follower&&) = delete;
    ~server_list_follower() override;

    /// Follows the list for as long as the event loop runs.
    servers::asio::awaitable<void> run();

    /// Returns whether the list was read at least once.
    [[nodiscard]] bool is_loaded() const noexcept { return m_is_loaded; }

    /// Relays a page that this host has read for its group, without the records that change nothing. `from` is the
    /// position of the page's start, `age` the time since the read began.
    using relay_callback =
        std::function<void(const log_position& from, const platform::store_page& page, duration age)>;
    void set_relay(relay_callback relay) { m_relay = std::move(relay); }
    /// Sets whether this host reads the list for its group.
    void set_reader(bool is_reader);
    /// Applies the read position that the group leader reports.
    void update_leader_position(const servers::digest_read_position& position);
    /// Applies a page that the group leader has read and relayed. `age`: time since the leader began to read it. What
    /// was on the way for long does not show that the list is current.
    void apply_relayed(const log_position& from, const platform::store_page& page, duration age = duration::zero());
    /// Lists the servers at once, because records that this host has read may be gone.
    void on_era_changed(std::uint64_t era) override;
    /// Returns the read position of this host, which its digests report to others.
    [[nodiscard]] servers::digest_read_position get_read_position() const;

private:
    servers::asio::awaitable<void> follow_once();
    servers::asio::awaitable<void> wait_for_leader();
    /// Records in the directory when the last store call failed, whichever topic it was for.
    void record_failure();
    /// Records in the directory that a read of the list, by this host or by the group leader, succeeded at that time.
    void record_success(steady_time at);
    /// Applies records that follow the last applied one. Returns those that changed the list.
    std::vector<platform::keyed_record> apply_records(const platform::store_page& page);
    /// Drops servers whose entries expired during a store outage and that have since had time to register again.
    void drop_expired();
    /// Ends the application of a page. `at`: time at which the topic ended where the page states.
    void finish(std::uint64_t generation_before, const platform::store_page& page, steady_time at);
    void apply_listing(const platform::store_page& page);
    /// Applies a record of the topic in this era of the store. Returns whether it changed the list.
    bool apply(const platform::keyed_record& record, std::uint64_t era);
    bool apply_removal(const backend_server_name& server);
    void report(const backend_server_name& server, fleet::directory_change change) const;
    /// Logs where a page of records came from, and whether it was applied. `age`: time since its read began.
    void report_page(std::string_view source, std::string_view result, const log_position& from,
                     const platform::store_page& page, duration age) const;

    platform::store_client* m_store;
    servers::serving_state* m_state;
    /// Time between two reads of the group leader.
    duration m_interval;
    /// How long the list may go without being confirmed as current before this host reads the store itself.
    duration m_max_age;
    std::shared_ptr<spdlog::logger> m_log;
    store_dependency m_dependency;
    policy::topic_progress m_topic;
    boost::asio::steady_timer m_read_timer;
    relay_callback m_relay;
    /// End of the first listing of the newest listed era. Records before it may be those of an older copy.
    log_position m_copied_until;
    bool m_is_reader{false};
    bool m_is_loaded{false};
};

} // namespace dragonflywell::daemon
