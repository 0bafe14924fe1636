#pragma once

#include <map>
#include <set>
#include <span>
#include <string>

#include "coordination/lease.hpp"
#include "coordination/order_dispatcher.hpp"
#include "daemon/engine_observer.hpp"
#include "daemon/role_change_fold.hpp"
#include "policy/role_planner.hpp"

namespace dragonflywell::daemon {

struct role_change_driver_options {
    /// From the announcement until every daemon has read it and gives the engine nothing new.
    duration announcement_delay{std::chrono::seconds(4)};
    /// How long requests may go on before the change is given up.
    duration drain_timeout{std::chrono::minutes(5)};
    /// How long an engine may take from its confirmation until it reports the new role.
    duration change_timeout{std::chrono::minutes(1)};
};

/// Carries role changes of one zone through: announce, drain, order, wait for the engine, end.
///
/// Each step is in the log before the next begins, so a new lease holder goes on where the old one stopped. No request
/// is cut off: an engine gets its order only after it has reported that nothing runs. Not thread safe.
class role_change_driver {
public:
    /// Preconditions: the references outlive the driver; `changes` observes `stream`.
    role_change_driver(coordination::folded_stream& stream, coordination::lease_candidate& lease,
                       coordination::order_dispatcher& ledger, const role_change_fold& changes,
                       const clock_source& time, role_change_driver_options options);

    /// Announces changes; those of engines that are in a change already are dropped.
    /// Throws `log_unavailable_error`. Returns how many were announced.
    std::size_t announce(std::span<const policy::role_order> orders);

    /// Takes each change as far as it can go now. Throws `log_unavailable_error`.
    void advance(const std::map<backend_server_name, observed_engine>& engines, const fleet::manifest& manifest);

    [[nodiscard]] std::uint64_t get_completed() const noexcept { return m_completed; }
    [[nodiscard]] std::uint64_t get_given_up() const noexcept { return m_given_up; }

private:
    void advance_one(const role_change& change, const observed_engine& engine, bool checks_fencing);
    [[nodiscard]] bool is_drained(const role_change& change, const observed_engine& engine);
    void wait_for_role(const role_change& change);
    void send_order(const role_change& change, bool checks_fencing);
    [[nodiscard]] std::optional<coordination::unresolved_order> find_unresolved(const role_change& change) const;
    void forget_ended(std::map<coordination::log_offset, steady_time>& moments) const;
    bool append(const coordination::record_draft& draft);
    void end(const role_change& change, std::string_view reason);

    coordination::folded_stream* m_stream;
    coordination::lease_candidate* m_lease;
    coordination::order_dispatcher* m_ledger;
    const role_change_fold* m_changes;
    const clock_source* m_time;
    role_change_driver_options m_options;
    /// When this process first saw a change, by its announcement.
    std::map<coordination::log_offset, steady_time> m_first_seen;
    /// When this process first knew that an engine has confirmed, by the announcement of the change.
    std::map<coordination::log_offset, steady_time> m_confirmed_at;
    std::uint64_t m_completed{0};
    std::uint64_t m_given_up{0};
};

} // namespace dragonflywell::daemon
