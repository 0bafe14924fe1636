#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "fleet/list_checksum.hpp"
#include "platform/store_client.hpp"
#include "policy/read_schedule.hpp"
#include "policy/server_eligibility.hpp"
#include "policy/topic_progress.hpp"
#include "servers/host_digest.hpp"

namespace dragonflywell::daemon {

/// Is told how the list of servers changes.
class server_list_listener {
public:
    server_list_listener() = default;
    server_list_listener(const server_list_listener&) = delete;
    server_list_listener& operator=(const server_list_listener&) = delete;
    server_list_listener(server_list_listener&&) = delete;
    server_list_listener& operator=(server_list_listener&&) = delete;
    virtual ~server_list_listener() = default;

    /// An entry was applied, or dropped since it is not expected back. `change` may be none.
    virtual void on_entry(const backend_server_name& server, fleet::directory_change change) = 0;
    /// An entry was removed from the list.
    virtual void on_entry_removed(const backend_server_name& server, fleet::directory_change change) = 0;
    /// An entry cannot be decoded. It names no server, and changes none.
    virtual void on_entry_rejected(const platform::keyed_record& record, std::string_view reason) = 0;
    /// Called after changes that affect where requests may go.
    virtual void on_list_changed() = 0;
    /// This host holds another list than the leader of its group at the same position, and lists it anew.
    virtual void on_list_differs(const log_position& at) = 0;
};

/// What a host knows of the list of servers in the store, and when it has to read more of it.
///
/// Records come from reads of the store by this host and from pages that the leader of the group relays, in any order
/// and more than once. Each record is applied once, in the order of its position; a page behind a missing record is not
/// applied. Performs no I/O. Not thread safe.
class server_list {
public:
    /// `bound`: longest time from a server's notice that it drains to the last request sent to it. Preconditions:
    /// eligibility and listener outlive the list; the bound is positive.
    server_list(policy::server_eligibility& eligibility, server_list_listener& listener, duration bound);

    /// Returns whether the list was read at least once.
    [[nodiscard]] bool is_loaded() const noexcept { return m_is_loaded; }
    [[nodiscard]] const policy::read_times& get_times() const noexcept { return m_schedule.get_times(); }

    /// Sets whether this host reads the list for its group.
    void set_reader(bool is_reader) noexcept { m_schedule.set_reader(is_reader); }
    [[nodiscard]] bool is_reader() const noexcept { return m_schedule.is_reader(); }

    /// Returns when the store has to be read next; the largest time if only an event can make a read due.
    [[nodiscard]] steady_time get_next_read_at() const { return m_schedule.get_next_read_at(m_topic); }

    /// A read of the store that is under way.
    struct pending_read {
        /// Where it begins; nothing if it lists all entries.
        std::optional<log_position> from;
        steady_time sent_at{};
        /// Whether another read has no answer yet, so that this one should use another connection.
        bool is_repeated{false};
    };
    pending_read begin_read(steady_time now);

    /// What became of a page.
    enum class page_result : std::uint8_t {
        applied,
        /// Records before it are missing.
        gap,
        /// It is older than what is known.
        outdated,
    };
    /// Applies the answer to a read. What is to be relayed to the group is in `get_relayed_page`.
    page_result end_read(const pending_read& read, const platform::store_page& page, steady_time now);
    /// Ends a read that got no usable answer. The caller waits until the store may be called again.
    void fail_read() noexcept { m_schedule.end_read(); }
    /// Ends a read of records that the store does not keep any more, so that the list has to be read as a whole.
    void drop_position(steady_time now);

    /// The records of the last applied answer that the group does not know, and where they begin.
    struct relayed_page {
        log_position from;
        platform::store_page page;
    };
    /// Returns what the last call of `end_read` brought for the group; nothing if it was a listing or brought nothing.
    [[nodiscard]] const std::optional<relayed_page>& get_relayed_page() const noexcept { return m_relayed_page; }

    /// Returns where the records begin that this host misses although they were sent to it; nothing if it misses none,
    /// or before the first listing.
    [[nodiscard]] std::optional<log_position> get_missing_from() const {
        return m_schedule.has_gap() ? m_topic.get_next_position() : std::nullopt;
    }

    /// Returns the newest record of each entry that has changed since a position, so that a host that has read the list
    /// up to there comes up to date. Returns nothing if this host does not know them all, or has no newer ones.
    [[nodiscard]] std::optional<relayed_page> get_changes_since(const log_position& from) const;

    /// Applies a page that the group leader has read at that time and relayed.
    page_result apply_relayed(const log_position& from, const platform::store_page& page, steady_time read_at,
                              steady_time now);
    /// Applies the position up to which the group leader has relayed the list.
    void update_leader_position(const servers::digest_read_position& position, steady_time now);
    /// Records that the store is in this era at least. Returns whether that is news, so that the list is read anew.
    bool note_era(std::uint64_t era, steady_time now);
    /// Records when the last failed call of the store was sent, for whichever topic.
    void record_store_failure(steady_time sent_at) { get_contact().record_failure(sent_at); }

    /// Returns the position of this host, which its digests report to others.
    [[nodiscard]] servers::digest_read_position get_read_position(steady_time now) const;

private:
    [[nodiscard]] fleet::list_reachability& get_contact() { return m_eligibility->get_list().get_contact(); }
    /// Applies those records of a page that this host does not know. Returns those that have changed the list.
    std::vector<platform::keyed_record> apply_new_records(const platform::store_page& page, steady_time now);
    void apply_listing(const platform::store_page& page, steady_time now);
    /// Applies a record of the topic. Returns what other hosts need of it; nothing if it has changed no entry.
    std::optional<platform::keyed_record> apply(const platform::keyed_record& record, std::uint64_t era,
                                                steady_time now);
    /// Returns whether the state of the entry has changed. Throws `malformed_message_error`.
    bool apply_entry(const platform::keyed_record& record, std::uint64_t era, steady_time now);
    void keep_change(const platform::keyed_record& record);
    /// Ends the application of a page that ends at `next`.
    void finish(std::uint64_t generation_before, const log_position& next, steady_time now);
    /// Drops servers whose entries expired during a store outage and that have since had time to register again.
    void drop_expired(steady_time now);

    policy::server_eligibility* m_eligibility;
    server_list_listener* m_listener;
    policy::topic_progress m_topic;
    policy::read_schedule m_schedule;
    fleet::list_checksum m_checksum;
    /// The newest record of each entry that has changed it, by offset, and the offset by key. Removals are kept, too.
    std::map<std::uint64_t, platform::keyed_record> m_changes;
    std::map<std::string, std::uint64_t, std::less<>> m_change_offsets;
    /// Position since which all changes are in `m_changes`.
    log_position m_changes_from;
    std::optional<relayed_page> m_relayed_page;
    /// End of the first listing of the newest listed era. Records before it may be those of an older copy.
    log_position m_copied_until;
    /// When the list may be read anew again because it differs from the leader's.
    steady_time m_next_comparison_at{};
    bool m_is_loaded{false};
};

} // namespace dragonflywell::daemon
