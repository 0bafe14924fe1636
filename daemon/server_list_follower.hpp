#pragma once

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>

#include "core/log.hpp"
#include "daemon/server_list.hpp"
#include "daemon/store_dependency.hpp"
#include "platform/store_client.hpp"
#include "servers/serving_state.hpp"

namespace dragonflywell::daemon {

/// Keeps the list of backend servers of this host in sync with the one in the store.
///
/// The leader of a group of hosts reads the list and relays new records to the group. The other hosts read the store
/// themselves when a record is missing, or when nobody has confirmed for some time that their list is current.
/// `server_list` decides when to read and applies what was read; this class makes the calls. Used on one event loop.
class server_list_follower final : public platform::store_era_listener, private server_list_listener {
public:
    /// `drain_bound`: longest time from a server's notice that it drains to the last request sent to it.
    /// Preconditions: store and state outlive the follower; the bound is positive.
    server_list_follower(platform::store_client& store, servers::serving_state& state, duration drain_bound);
    server_list_follower(const server_list_follower&) = delete;
    server_list_follower& operator=(const server_list_follower&) = delete;
    server_list_follower(server_list_follower&&) = delete;
    server_list_follower& operator=(server_list_follower&&) = delete;
    ~server_list_follower() override;

    /// Follows the list for as long as the event loop runs.
    servers::asio::awaitable<void> run();

    /// Returns whether the list was read at least once.
    [[nodiscard]] bool is_loaded() const noexcept { return m_list.is_loaded(); }

    /// Relays a page that this host has read for its group, without the records that change nothing. `from` is the
    /// position of the page's start, `age` the time since the read began.
    using relay_callback =
        std::function<void(const log_position& from, const platform::store_page& page, duration age)>;
    void set_relay(relay_callback relay) { m_relay = std::move(relay); }
    /// Sets whether this host reads the list for its group.
    void set_reader(bool is_reader);
    /// Applies the position up to which the group leader has relayed the list.
    void update_leader_position(const servers::digest_read_position& position);
    /// Applies a page that the group leader has read and relayed. `age`: time since the leader began to read it. What
    /// was on the way for long does not show that the list is current.
    void apply_relayed(const log_position& from, const platform::store_page& page, duration age = duration::zero());
    /// Lists the servers at once, because records that this host has read may be gone.
    void on_era_changed(std::uint64_t era) override;
    /// Returns the read position of this host, which its digests report to others.
    [[nodiscard]] servers::digest_read_position get_read_position() const {
        return m_list.get_read_position(m_state->time.now());
    }

    /// Returns where the records begin that this host misses, for its digests; nothing if it misses none.
    [[nodiscard]] std::optional<log_position> get_missing_from() const { return m_list.get_missing_from(); }
    /// Returns what has changed since a position, for a host that has missed it; nothing if that is not known here.
    [[nodiscard]] std::optional<server_list::relayed_page> get_changes_since(const log_position& from) const {
        return m_list.get_changes_since(from);
    }

private:
    void on_entry(const backend_server_name& server, fleet::directory_change change) override;
    void on_entry_removed(const backend_server_name& server, fleet::directory_change change) override;
    void on_entry_rejected(const platform::keyed_record& record, std::string_view reason) override;
    void on_list_changed() override { m_state->refresh_servers(); }
    void on_list_differs(const log_position& at) override;

    /// Makes a read that has begun, and applies its answer.
    servers::asio::awaitable<void> read(server_list::pending_read pending);
    servers::asio::awaitable<platform::store_page> call_store(server_list::pending_read pending);
    void apply_answer(const server_list::pending_read& pending, const platform::store_page& page);
    /// Suspends until a read is due or may have become due.
    servers::asio::awaitable<void> wait_until(steady_time due_at);
    /// Makes `run` check again whether a read is due, and tells the group if records are missing.
    void wake();
    /// Records when the last store call failed, whichever topic it was for.
    void record_store_failure();
    /// Returns what the end of a run shows of a server.
    [[nodiscard]] policy::down_proof get_down_proof(const backend_server_name& server) const;
    void report(const backend_server_name& server, fleet::directory_change change) const;
    /// Logs where a page of records came from, and what became of it. `age`: time since its read began.
    void report_page(std::string_view source, server_list::page_result result, const log_position& from,
                     const platform::store_page& page, duration age) const;

    platform::store_client* m_store;
    servers::serving_state* m_state;
    std::shared_ptr<spdlog::logger> m_log;
    store_dependency m_dependency;
    server_list m_list;
    boost::asio::steady_timer m_read_timer;
    relay_callback m_relay;
    /// Whether a failed read waits until the circuit breaker of the store permits the next one.
    bool m_waits_for_store{false};
};

} // namespace dragonflywell::daemon
