#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <spdlog/logger.h>

#include "core/metrics.hpp"
#include "policy/caller_limiter.hpp"

namespace dragonflywell::servers {

class caller_connection;

/// Why a request was refused or a connection closed by the limits on callers.
enum class caller_limit_reason : std::uint8_t {
    /// An unfinished request or an idle connection made way for others.
    made_room,
    /// There was no room for the request.
    no_room,
    /// A connection made way for a new one because descriptors ran short.
    made_descriptor,
    /// There was no descriptor for the connection.
    no_descriptor,
    slow_header,
    slow_body,
    slow_reader,
    /// The request was refused by its head, and its body was not read.
    refused_by_head,
};

/// The connections of one event loop. Asks the limiter for decisions and carries them out. Not thread safe.
class caller_table {
public:
    /// `metrics` may be null; it outlives the table otherwise.
    caller_table(policy::caller_limiter_options options, metrics_registry* metrics,
                 std::shared_ptr<spdlog::logger> log);

    /// Adds a connection. Returns false when there is no room for it. Precondition: it outlives its entry.
    [[nodiscard]] bool add(caller_connection& connection);
    void remove(caller_connection& connection);

    void begin_request(const caller_connection& connection);
    /// Returns false when there is no room for what the request makes the process hold.
    [[nodiscard]] bool resize(const caller_connection& connection, std::size_t received_bytes, std::size_t held_bytes);
    [[nodiscard]] bool begin_run(const caller_connection& connection, std::size_t held_bytes);
    void begin_idle(const caller_connection& connection);

    /// Returns how many connections have been closed by the limits. What a closed connection held is freed when its
    /// coroutine ends, so that a request for which others were closed continues after them.
    [[nodiscard]] std::uint64_t get_closed() const noexcept { return m_closed; }

    /// Cancels the wait of all idle connections for their next request.
    void cancel_idle();

    /// Counts an event and logs it, at most once a second for each reason.
    void record(caller_limit_reason reason, std::uint64_t count = 1);

private:
    static constexpr std::size_t reason_count = static_cast<std::size_t>(caller_limit_reason::refused_by_head) + 1;

    struct reason_record {
        counter* total{};
        std::uint64_t unlogged{0};
        steady_time next_line_at{};
    };

    [[nodiscard]] bool carry_out(const policy::caller_limiter::decision& decision, caller_limit_reason closed,
                                 caller_limit_reason refused);

    policy::caller_limiter m_limiter;
    std::map<policy::caller_limiter::connection_id, caller_connection*> m_connections;
    std::array<reason_record, reason_count> m_reasons{};
    gauge* m_held{};
    std::uint64_t m_closed{0};
    std::shared_ptr<spdlog::logger> m_log;
    policy::caller_limiter::connection_id m_next_id{1};
};

} // namespace dragonflywell::servers
