#pragma once

#include <map>
#include <optional>
#include <random>
#include <set>
#include <span>
#include <string_view>
#include <vector>

#include "coordination/gossip_item_table.hpp"
#include "coordination/gossip_rumours.hpp"
#include "coordination/membership_message.hpp"
#include "core/clock.hpp"

namespace dragonflywell::coordination {

struct membership_options {
    /// The own daemon. Precondition: host, zone and address are set; incarnation grows with each start.
    member self;
    duration interval{std::chrono::seconds(1)};
    /// How many daemons of the own zone are pinged in each interval.
    std::size_t neighbours{2};
    /// How many daemons of other zones are held and pinged in turn, one in each interval.
    std::size_t links{3};
    /// How many others are asked to ping a daemon that did not answer.
    std::size_t helpers{2};
    /// A ping without answer leads to indirect pings after this time, and to a suspicion after twice this time.
    duration ping_timeout{std::chrono::seconds(1)};
    /// How long a suspected daemon has to refute.
    duration suspicion{std::chrono::seconds(5)};
    /// How long a removed daemon is remembered, so that late messages do not bring it back.
    duration tombstone{std::chrono::seconds(120)};
    std::size_t most_members{4096};
    std::size_t most_message_bytes{1100};
    std::size_t digest_entries{4};
    gossip_item_table_options items{};
};

/// One entry of the platform's host list, which lags and is only a hint.
struct listed_host {
    endpoint address;
    /// Empty when the list does not tell.
    zone_name zone{};
};

/// Who else is there, learned by gossip, as a pure state machine: clock and messages in, messages out.
///
/// Within a zone it holds all members and pings a constant number of them; between zones it holds a constant number
/// of links. It decides nothing that must be agreed. Not thread safe.
class membership {
public:
    /// Preconditions: `time` outlives the membership. `seed` makes its random choices repeatable.
    membership(const clock_source& time, std::uint64_t seed, membership_options options);

    /// Replaces the hint from the host list. A listed daemon is only asked for a sign of life; none is removed.
    void set_host_list(std::vector<listed_host> listed);

    /// Publishes the own value of an item, or a newer one. Precondition: the value fits the limit of the options.
    void publish(item_kind kind, std::string subject, item_scope scope, std::string value);

    /// Publishes a value that all daemons share: the newest version wins, whoever published it.
    void publish_shared(item_kind kind, std::string subject, std::uint64_t version, std::string value);

    /// Does what is due; call once in each interval. Returns the messages to send.
    [[nodiscard]] std::vector<addressed_message> tick();

    /// Takes a message and returns the messages to send in answer, the one to its sender first.
    [[nodiscard]] std::vector<addressed_message> receive(const gossip_message& message);

    /// Says farewell, so that nobody has to suspect this daemon. Nothing is refuted afterwards.
    [[nodiscard]] std::vector<addressed_message> leave();

    [[nodiscard]] const member& get_self() const noexcept { return m_self; }
    /// Returns the living daemons of the own zone without this one; suspects are among them until removed.
    [[nodiscard]] std::vector<member> get_zone_members() const;
    /// Returns the linked daemons of other zones that answer.
    [[nodiscard]] std::vector<member> get_links() const;
    /// Returns what is held about a daemon of the own zone, also when it is removed.
    [[nodiscard]] const member* find(const host_name& host) const;
    [[nodiscard]] const gossip_item_table& get_items() const noexcept { return m_items; }
    [[nodiscard]] std::size_t get_rumours() const noexcept { return m_rumours.size(); }

private:
    struct known_member {
        member value;
        /// When the state last changed.
        steady_time changed;
    };
    struct probe {
        steady_time sent;
        bool is_indirect{false};
    };

    void observe_pause(steady_time now);
    void check_probes(steady_time now, std::vector<addressed_message>& out);
    void expire_members(steady_time now);
    void ping_neighbours(steady_time now, std::vector<addressed_message>& out);
    void ping_links(steady_time now, std::vector<addressed_message>& out);
    void ping_listed(std::vector<addressed_message>& out);
    void ping_member(const member& target, steady_time now, std::vector<addressed_message>& out);
    void ask_helpers(const member& target, std::vector<addressed_message>& out);
    void answer_ping_request(const gossip_message& message, std::vector<addressed_message>& out);
    void answer_digest(const gossip_message& message, gossip_message& answer);

    void observe_sender(const gossip_message& message);
    void observe_life(const member& witness);
    void replace_at_address(const member& sender);
    void merge_member(const member& news);
    void merge_self(const member& news);
    void merge_link(const member& news);
    void merge_item(const gossip_item& item);
    void set_state(known_member& held, member_state state);
    void remove_link(const host_name& host);

    [[nodiscard]] gossip_message make_message(gossip_kind kind, const zone_name& to_zone, const member* receiver);
    [[nodiscard]] gossip_message make_indirect_message(gossip_kind kind, const member& receiver, const member& subject,
                                                       std::optional<endpoint> origin);
    void add_members(gossip_message& message);
    void add_digest(gossip_message& message);
    void add_contacts(gossip_message& message, std::size_t count);
    void add_introductions(gossip_message& message, const zone_name& to_zone) const;
    [[nodiscard]] bool is_present(const host_name& host) const;
    [[nodiscard]] bool is_known_address(const endpoint& address) const;
    [[nodiscard]] std::vector<host_name> get_present() const;
    [[nodiscard]] unsigned get_rumour_times() const;
    [[nodiscard]] member_digest get_digest(const member& value) const;

    const clock_source* m_time;
    std::mt19937_64 m_random;
    membership_options m_options;
    member m_self;
    std::map<host_name, known_member> m_members;
    std::map<host_name, known_member> m_links;
    std::map<host_name, probe> m_probes;
    std::vector<listed_host> m_listed;
    gossip_rumours<host_name> m_rumours;
    gossip_item_table m_items;
    std::uint64_t m_last_version{0};
    std::optional<steady_time> m_last_tick;
    /// When the members last changed.
    steady_time m_changed;
    /// Neighbours as of the last change of the members; null after a change.
    std::optional<std::vector<host_name>> m_neighbours;
    host_name m_next_link;
    std::uint64_t m_round{0};
    bool m_is_leaving{false};
};

} // namespace dragonflywell::coordination
