#pragma once

#include <cstdint>
#include <map>

#include "core/clock.hpp"
#include "core/identifiers.hpp"

namespace dragonflywell::policy {

struct server_health_options {
    /// How long a server is left alone after it could not be reached; doubled with each further failure.
    duration initial_ejection_time{std::chrono::milliseconds(300)};
    duration max_ejection_time{std::chrono::seconds(3)};
    /// Failures in a row, of those that other requests could cause too, after which a server is left alone.
    std::uint32_t failures_to_eject{3};
    /// Refusals in a row after which a server is left alone; a single one may be due to the request.
    std::uint32_t refusals_to_eject{2};
};

/// What a failed exchange says about a server.
enum class server_failure : std::uint8_t {
    /// It takes no connection.
    unreachable,
    /// A connection broke, stayed silent or brought what is no answer.
    broken,
    /// It answered that it failed.
    answered_failure,
    /// It answered that it runs nothing now: it is full, or is changing what it does.
    refused,
};

/// Judges backend servers by what this host sees of them, which goes before what they or the list say.
/// Not thread safe.
class server_health {
public:
    explicit server_health(server_health_options options = {}) : m_options(options) {}

    void add_success(const backend_server_name& server);
    void add_failure(const backend_server_name& server, server_failure failure, steady_time now);

    /// Returns whether the server may be given work. A server whose pause is over is tried again.
    [[nodiscard]] bool is_usable(const backend_server_name& server, steady_time now) const;

    /// Returns whether the last exchange with the server failed, so that one more word against it counts.
    [[nodiscard]] bool has_failed_last(const backend_server_name& server) const;
    /// Returns the servers that are left alone now, each with the time that is left, for other hosts.
    [[nodiscard]] std::map<backend_server_name, duration> get_ejected(steady_time now) const;

    /// Returns the share of recent answers that failed, 0 to 1.
    [[nodiscard]] double get_failure_share(const backend_server_name& server) const;

    /// Forgets a server that is gone or has started anew.
    void forget(const backend_server_name& server);

private:
    struct state {
        std::uint32_t failures_in_row{0};
        steady_time paused_until{};
        double failure_share{0};
    };

    [[nodiscard]] std::uint32_t get_needed(server_failure failure) const noexcept;

    server_health_options m_options;
    std::map<backend_server_name, state> m_states;
};

} // namespace dragonflywell::policy
