#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "core/clock.hpp"
#include "fleet/server_directory.hpp"
#include "policy/server_announcements.hpp"

namespace dragonflywell::policy {

struct server_eligibility_options {
    fleet::list_reachability_options list_reachability{};
    /// Longest time from a server's notice that it leaves to the last request sent to it.
    duration drain_bound{std::chrono::seconds(2)};
};

/// Why a server gets no new work.
enum class ineligibility : std::uint8_t {
    /// The list does not contain it, or not any more.
    unlisted,
    /// Its entry says that it shuts down.
    draining,
    /// It said in a response that it leaves.
    leaving,
    /// It asked this host for a pause.
    paused,
    /// The entry of a server that started later stands at its address.
    address_taken,
    /// Whoever answered at its address lately is another server, or the same one in another stage.
    mismatched,
};

/// What this host believes of a server.
struct server_belief {
    /// Why it gets no new work; nothing if it may get some.
    std::optional<ineligibility> refusal;
    /// Time since the belief was last known to be true: from the list, or from a response of the server.
    duration age{};
};

/// Decides which backend servers may get new work, from the list of servers and from what the servers say in their
/// responses, and knows how old each of these beliefs is. It is the only place that does. Without news the last beliefs
/// apply, so that each availability zone still serves. Pure state; not thread safe.
class server_eligibility {
public:
    explicit server_eligibility(server_eligibility_options options = {})
        : m_options(options), m_list(options.list_reachability) {}

    /// Returns what is believed of a server, also of an unknown one.
    [[nodiscard]] server_belief get_belief(const backend_server_name& server, steady_time now) const;

    /// Returns whether new work may be sent to a server.
    [[nodiscard]] bool may_get_work(const backend_server_name& server, steady_time now) const {
        return !get_belief(server, now).refusal;
    }

    /// Returns whether a server is listed and not about to leave, whether or not it takes work at this moment.
    [[nodiscard]] bool is_staying(const backend_server_name& server, steady_time now) const;

    /// Returns whether a server said that it leaves, in its entry or in a response.
    [[nodiscard]] bool is_leaving(const backend_server_name& server) const;

    /// Returns whether the run of a server that ended last had said that it would leave.
    [[nodiscard]] bool has_left_as_planned(const backend_server_name& server) const;

    /// Returns whether the belief in a server is so old that one which was confirmed lately goes before it.
    [[nodiscard]] bool is_uncertain(const backend_server_name& server, steady_time now) const {
        return get_list_age(now) > get_max_certain_age() && get_age(server, now) > get_max_certain_age();
    }

    /// The list of servers. Whoever changes it tells with `set_list_current_at` how current it is.
    [[nodiscard]] fleet::server_directory& get_list() noexcept { return m_list; }
    [[nodiscard]] const fleet::server_directory& get_list() const noexcept { return m_list; }

    /// Sets the time at which the list was known to be current on this host.
    void set_list_current_at(steady_time at) noexcept { m_list_current_at = at; }
    [[nodiscard]] duration get_list_age(steady_time now) const { return now - m_list_current_at; }

    /// Records that an incarnation of a server said in a response that it leaves. Returns whether that is new.
    bool record_leaving(const backend_server_name& server, std::uint64_t incarnation) {
        return m_announcements.record_leaving(server, incarnation);
    }

    /// Records that the listed incarnation of a server responded to a request of that time without saying that it
    /// leaves.
    void record_response(const backend_server_name& server, std::uint64_t incarnation, steady_time sent_at);

    /// Records that a server wants no requests from this host for some time. `spread`: 0 to 1, different on each host.
    /// Returns the pause.
    duration record_pause(const backend_server_name& server, std::optional<duration> pause, double spread,
                          steady_time now) {
        return m_announcements.record_pause(server, pause, spread, now);
    }

    /// Records that whoever answered a request of that time at the address of a server is not what its entry says. The
    /// belief lasts for some heartbeats, or until the entry changes.
    void record_mismatch(const backend_server_name& server, steady_time sent_at);

    [[nodiscard]] bool is_valid_pause(std::optional<duration> pause) const noexcept {
        return m_announcements.is_valid_pause(pause);
    }
    /// Returns when the pause of a server ends; nothing if it has none.
    [[nodiscard]] std::optional<steady_time> get_pause_end(const backend_server_name& server, steady_time now) const {
        return m_announcements.get_pause_end(server, now);
    }

private:
    struct confirmation {
        std::uint64_t incarnation{};
        steady_time at{};
    };

    /// Age beyond which a belief is uncertain: the bound less the time that sending a request may take.
    [[nodiscard]] duration get_max_certain_age() const { return m_options.drain_bound * 4 / 5; }
    [[nodiscard]] duration get_age(const backend_server_name& server, steady_time now) const;
    [[nodiscard]] bool has_announced_leaving(const fleet::listed_server& listed) const;
    void forget_unlisted();

    server_eligibility_options m_options;
    fleet::server_directory m_list;
    server_announcements m_announcements;
    steady_time m_list_current_at{};
    /// The newest response of each server that did not say that it leaves.
    std::map<backend_server_name, confirmation> m_confirmations;
};

} // namespace dragonflywell::policy
