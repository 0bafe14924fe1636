#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <spdlog/logger.h>
#include <vector>

#include "core/clock.hpp"
#include "core/metrics.hpp"
#include "policy/server_limit_table.hpp"
#include "servers/backend_codec.hpp"
#include "servers/send_permit.hpp"
#include "servers/server_limit_metrics.hpp"
#include "servers/shared_quotas.hpp"

namespace dragonflywell::servers {

/// Answer to a request that asks for a permit.
struct permit_result {
    /// Nothing if the limit of the server leaves no room.
    std::optional<send_permit> permit;
    /// When there is no permit: the time after which there may be room.
    duration retry_after{};
};

/// The limits that backend servers name, and the permits to send requests to them. Used on one event loop.
class server_limits final : public shared_quotas {
public:
    /// Preconditions: clock and registry outlive the object.
    server_limits(asio::any_io_executor executor, const clock_source& time, metrics_registry& metrics,
                  policy::quota_node_options options);

    /// Applies what an incarnation of a server said in a response to a request that was sent at that time.
    void apply_notice(const backend_server_name& server, std::uint64_t incarnation, const server_notice& notice,
                      steady_time sent_at);
    /// Applies the reports in a digest of another host, which was on the way for `delay`.
    void merge(const std::vector<policy::server_limit_report>& reports, duration delay);
    /// Sets the listed servers with their incarnations. The limits of others end, and are ignored.
    void retain(std::map<backend_server_name, std::uint64_t> listed);
    /// Ends the limits that nobody has confirmed for a long time. Called regularly.
    void discard_unconfirmed();

    /// Returns what this host knows of limits: what changed lately comes first, then what was taken longest ago.
    [[nodiscard]] std::vector<policy::server_limit_report> take_reports(std::size_t max_servers);
    /// Returns all that this host knows of limits in the same order, and leaves that unchanged.
    [[nodiscard]] std::vector<policy::server_limit_report> get_all_reports() const;
    /// Returns how often a limit has begun, changed or ended.
    [[nodiscard]] std::uint64_t count_changes() const noexcept { return m_changes; }
    /// Returns the limit of a server in requests per second, or nothing if it has none.
    [[nodiscard]] std::optional<double> find_limit(const backend_server_name& server) const;

    /// Returns whether a request to the server may be permitted; false if this host knows that there is no room.
    [[nodiscard]] bool has_room(const backend_server_name& server) const;
    /// Takes a permit to send one request; waits for other hosts if this one has none. A server without a limit costs
    /// one look-up.
    asio::awaitable<permit_result> acquire(backend_server_name server, duration time_left);
    /// Takes a permit without waiting, for what can be left out. Returns nothing if this host holds none.
    [[nodiscard]] std::optional<send_permit> try_acquire(const backend_server_name& server);
    /// Returns after which time there may be room at a server without room.
    [[nodiscard]] duration get_retry_after(const backend_server_name& server) const;
    /// The same, and books the room for a request that is refused.
    duration book_refused(const backend_server_name& server);

    /// Returns whether what was taken at a time may still be used.
    [[nodiscard]] bool is_current(steady_time taken_at) const { return get_time() - taken_at <= policy::grant_time; }
    /// Gives back what was taken for a request of which nothing was sent.
    void give_back(const backend_server_name& server, std::uint64_t session);

    /// Called when a limit has begun, changed or ended; may be empty.
    std::function<void()> on_limit_change;

private:
    /// Returns a time of the clock that stands still in a suspension by the clock of the table, not later than it was.
    [[nodiscard]] steady_time convert(steady_time at);
    /// Logs, counts and applies the changes of the table since the last call.
    void apply_changes();

    const clock_source* m_time;
    std::shared_ptr<spdlog::logger> m_log;
    server_limit_metrics m_metrics;
    policy::server_limit_table m_table;
    /// The limits in force.
    std::map<backend_server_name, double> m_limits;
    /// When a change of the limit of a server was logged last.
    std::map<backend_server_name, steady_time> m_logged_at;
    std::uint64_t m_changes{0};
    /// Difference of the clocks, that before the last suspension, and when the suspension was noticed.
    duration m_clock_offset;
    duration m_earlier_offset;
    steady_time m_suspension_noticed_at{};
};

} // namespace dragonflywell::servers
