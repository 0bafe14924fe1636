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

/// Keeps the directory of backend servers up to what the store lists.
///
/// One host of a group reads the list and passes its news on; the others read when news are missing, or when they have
/// not heard of it for too long. Used on one event loop.
class server_list_follower {
public:
    /// `drain_bound`: from a server's notice that it leaves to the last request sent there.
    /// Preconditions: store and state outlive the follower.
    server_list_follower(platform::store_client& store, servers::serving_state& state, duration drain_bound);

    /// Follows for as long as the event loop runs.
    servers::asio::awaitable<void> run();

    /// Returns whether the list was read at least once.
    [[nodiscard]] bool is_loaded() const noexcept { return m_is_loaded; }

    /// Has `pass_on` called with each page that this host reads for its group, and where it starts.
    void set_relay(std::function<void(std::uint64_t from, const platform::store_page& page)> pass_on) {
        m_on_news = std::move(pass_on);
    }
    /// Sets whether this host reads for its group.
    void set_reader(bool is_reader);
    /// Takes how far a host that reads for the group has come.
    void update_leader_position(const servers::digest_read_position& reading);
    /// Takes a page that a host of the group has read.
    void apply_relayed(std::uint64_t from, const platform::store_page& page);
    /// Returns how far this host has come, for others.
    [[nodiscard]] servers::digest_read_position get_read_position() const;

private:
    servers::asio::awaitable<void> follow_once();
    servers::asio::awaitable<void> wait_for_hint();
    /// Tells the directory when the last call to the store failed, whatever it asked for.
    void record_failure();
    /// Tells the directory that a read of the list, by this host or by another, was answered at that moment.
    void record_success(steady_time at);
    /// Takes the next records of the list.
    void take_records(const platform::store_page& page);
    /// Drops servers whose entries lapsed while the store was away and that had time to come back.
    void drop_expired();
    void finish(std::uint64_t generation_before, std::uint64_t end, std::uint64_t topic_end_offset);
    void take_all(const platform::store_page& page);
    void take(const platform::keyed_record& record);
    void report(const backend_server_name& server, fleet::directory_change change) const;

    platform::store_client* m_store;
    servers::serving_state* m_state;
    /// Time between two reads of a host that reads for its group.
    duration m_interval;
    /// How old the last news may be before this host reads by itself.
    duration m_longest_age;
    std::shared_ptr<spdlog::logger> m_log;
    store_dependency m_dependency;
    policy::topic_progress m_topic;
    boost::asio::steady_timer m_hint_timer;
    std::function<void(std::uint64_t, const platform::store_page&)> m_on_news;
    bool m_is_reader{false};
    bool m_is_loaded{false};
};

} // namespace dragonflywell::daemon
