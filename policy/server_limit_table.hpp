#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "core/clock.hpp"
#include "core/identifiers.hpp"
#include "policy/server_limit_report.hpp"

namespace dragonflywell::policy {

enum class limit_change : std::uint8_t {
    none,
    /// The limit that is in force has begun, changed or ended.
    changed,
    /// The value cannot be a limit and was ignored.
    invalid
};

struct server_limit_table_options {
    /// Differs between processes of hosts: distinguishes the responses that they received.
    std::uint64_t origin{};
    /// A limit that nobody has named again for so long has ended.
    duration expiry{std::chrono::seconds(60)};
    /// Most servers with a limit; beyond it, the one that was named longest ago is forgotten.
    std::size_t max_servers{4096};
};

/// What is believed of the limits that servers name in their responses. Only responses to requests that were sent after
/// a limit was named can end or raise it. The time of a naming is never taken as earlier than it was, and that of a
/// response without a limit never as later, also if reports of other hosts are late.
///
/// Times are of a clock that counts suspension. Not thread safe.
class server_limit_table {
public:
    explicit server_limit_table(server_limit_table_options options) noexcept
        : m_options(options), m_last_naming(options.origin) {}

    /// Sets the listed servers with their incarnations. Everything about other servers and incarnations is forgotten,
    /// and ignored from now on.
    void retain(std::map<backend_server_name, std::uint64_t> listed);

    /// Records a response to a request that was sent at that time. `limit`: the one that it names, if any.
    limit_change record_response(const backend_server_name& server, std::uint64_t incarnation,
                                 std::optional<double> limit, steady_time sent_at, steady_time now);
    /// Applies the report of another host. Precondition: its ages include the time for which it was on the way, except
    /// for at most two seconds.
    limit_change apply(const server_limit_report& report, steady_time now);

    /// Returns the limits that are in force, in requests per second.
    [[nodiscard]] std::map<backend_server_name, double> get_limits(steady_time now) const;
    /// Returns reports for other hosts: first of the limits that have changed lately, and then of those that were
    /// reported longest ago.
    [[nodiscard]] std::vector<server_limit_report> get_reports(steady_time now, std::size_t max_reports);

private:
    /// A response that named a limit, and the latest time at which it may have arrived.
    struct naming_time {
        std::uint64_t naming{};
        steady_time at{};
    };

    struct belief {
        std::uint64_t incarnation{};
        double limit{};
        std::uint64_t naming{};
        /// Latest time at which the response that named the limit may have arrived.
        steady_time named_at{};
        /// The same of another response, whose larger limit was not believed yet.
        steady_time other_named_at{};
        /// Earliest time at which the newest request may have been sent whose response named no limit.
        std::optional<steady_time> ended_at;
        steady_time changed_at{};
        steady_time reported_at{};
        /// The newest namings that were heard of. Without them, late reports would make an old one newer at each host
        /// that passes it on.
        std::deque<naming_time> namings;
    };

    [[nodiscard]] bool is_listed(const backend_server_name& server, std::uint64_t incarnation) const;
    [[nodiscard]] belief* find(const backend_server_name& server);
    /// Returns the earliest of the times that were stated for a naming.
    [[nodiscard]] static steady_time get_first_time(belief& known, std::uint64_t naming, steady_time named_at);
    [[nodiscard]] bool is_in_force(const belief& known, steady_time now) const;
    [[nodiscard]] limit_change name(const server_limit_report& naming, bool is_own, steady_time sent_at,
                                    steady_time named_at, steady_time now);
    [[nodiscard]] limit_change end(const backend_server_name& server, steady_time ended_at, steady_time now);
    void add(const server_limit_report& naming, steady_time named_at, steady_time now);

    server_limit_table_options m_options;
    std::map<backend_server_name, std::uint64_t> m_listed;
    std::map<backend_server_name, belief> m_beliefs;
    std::uint64_t m_last_naming;
};

} // namespace dragonflywell::policy
