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
    /// Time from the announcement until every daemon has read it and sends the engine no new requests.
    duration announcement_delay{std::chrono::seconds(4)};
    /// How long running requests may take to end before the change is abandoned.
    duration drain_timeout{std::chrono::minutes(5)};
    /// How long an engine may take from confirming the order until it reports the new role.
    duration change_timeout{std::chrono::minutes(1)};
};

/// Executes the role changes of one zone. The steps of a change are: announce it, drain the engine, order the new role,
/// wait until the engine reports it, and end the change.
///
/// Each step is written to the log before the next one begins, so a new lease holder continues where the previous one
/// stopped. No request is cut off: an engine gets its order only after it has reported that no request is running.
/// Not thread safe.
class role_change_driver {
public:
    /// Preconditions: the references outlive the driver; `changes` observes `stream`.
    role_change_driver(coordination::folded_stream& stream, coordination::lease_candidate& lease,
                       coordination::order_dispatcher& ledger, const role_change_fold& changes,
                       const clock_source& time, role_change_driver_options options);

    /// Announces changes, and ignores those of engines whose role is already being changed.
    /// Returns how many were announced. Throws `log_unavailable_error`.
    std::size_t announce(std::span<const policy::role_order> orders);

    /// Executes the steps of each change that are possible now. Throws `log_unavailable_error`.
    void advance(const std::map<backend_server_name, observed_engine>& engines, const fleet::manifest& manifest);

    [[nodiscard]] std::uint64_t get_completed() const noexcept { return m_completed; }
    [[nodiscard]] std::uint64_t get_given_up() const noexcept { return m_given_up; }

private:
    void advance_change(const role_change& change, const observed_engine& engine, bool checks_fencing);
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
    /// When this process first saw a change, by the offset of its announcement.
    std::map<coordination::log_offset, steady_time> m_first_seen;
    /// When this process learned that an engine had confirmed the order, by the offset of the change's announcement.
    std::map<coordination::log_offset, steady_time> m_confirmed_at;
    std::uint64_t m_completed{0};
    std::uint64_t m_given_up{0};
};

} // namespace dragonflywell::daemon
