#pragma once

#include <cstdint>
#include <map>

#include "core/clock.hpp"
#include "core/identifiers.hpp"

namespace dragonflywell::policy {

struct server_health_options {
    /// How long a server is ejected from load balancing at first; the time doubles with each further failure.
    duration initial_ejection_time{std::chrono::milliseconds(300)};
    duration max_ejection_time{std::chrono::seconds(3)};
    /// Number of consecutive broken exchanges after which a server is ejected. A single one may be due to the request.
    std::uint32_t failures_to_eject{3};
    /// Number of consecutive refusals after which a server is ejected. A single refusal may be due to the request.
    std::uint32_t refusals_to_eject{2};
};

/// Kind of a failed exchange with a server.
enum class server_failure : std::uint8_t {
    /// It accepts no connection.
    unreachable,
    /// The connection broke, timed out, or carried an invalid answer.
    broken,
    /// It answered with an error.
    answered_failure,
    /// It answered that it accepts no work now, because it is full or changes its role.
    refused,
};

/// Passive health checks with outlier ejection: tracks the failures of backend servers that this host observes. They
/// take precedence over the state in the server list and over what the servers report. Not thread safe.
class server_health {
public:
    explicit server_health(server_health_options options = {}) : m_options(options) {}

    void add_success(const backend_server_name& server);
    void add_failure(const backend_server_name& server, server_failure failure, steady_time now);

    /// Returns whether the server may be given work, that is, whether it is not ejected at `now`.
    [[nodiscard]] bool is_usable(const backend_server_name& server, steady_time now) const;

    /// Returns whether an exchange with the server has failed since its last success; answers with an error do not
    /// count. A report of another host against the server then counts as a confirmation.
    [[nodiscard]] bool has_failed_last(const backend_server_name& server) const;
    /// Returns the ejected servers with their remaining ejection times, for other hosts.
    [[nodiscard]] std::map<backend_server_name, duration> get_ejected(steady_time now) const;

    /// Returns the moving average of the share of exchanges that failed, 0 to 1. Refusals do not count.
    [[nodiscard]] double get_failure_share(const backend_server_name& server) const;

    /// Removes the state of a server that is gone or was restarted.
    void forget(const backend_server_name& server);

private:
    struct state {
        std::uint32_t failures_in_row{0};
        steady_time ejected_until{};
        double failure_share{0};
    };

    [[nodiscard]] std::uint32_t get_failures_to_eject(server_failure failure) const noexcept;

    server_health_options m_options;
    std::map<backend_server_name, state> m_states;
};

} // namespace dragonflywell::policy
