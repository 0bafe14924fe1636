#pragma once

#include <array>

#include "core/metrics.hpp"
#include "policy/outcome.hpp"

namespace dragonflywell::servers {

/// Counters and latencies of requests, looked up once in the registry. Thread safe.
class request_counters {
public:
    /// Precondition: `registry` outlives the counters.
    explicit request_counters(metrics_registry& registry);

    void count_refusal(policy::refusal_reason reason) noexcept;
    void count_retry(policy::retry_reason reason) noexcept;
    void count_outcome(policy::request_outcome outcome) noexcept;
    /// Counts a stream that was resumed over a new connection to the same engine.
    void count_resumed_stream() noexcept { m_resumed_streams->add(); }
    /// Counts a request that ran on an engine when the engine crashed.
    void count_suspect() noexcept { m_suspects->add(); }
    /// Counts a server that announced its leaving in a response.
    void count_leaving_server() noexcept { m_leaving_servers->add(); }
    /// Counts a refusal with which a server asked for a pause.
    void count_server_pause() noexcept { m_server_pauses->add(); }
    /// Counts responses to other requests that servers sent where a response was due.
    void count_foreign_responses(std::uint64_t count) noexcept { m_foreign_responses->add(count); }
    void count_caller_disconnect() noexcept { m_callers_gone->add(); }
    /// Counts a stream that was cancelled because its caller disconnected.
    void count_cancelled_stream() noexcept { m_cancelled_streams->add(); }

    [[nodiscard]] latency_histogram& get_first_token_latency() noexcept { return *m_first_token; }
    [[nodiscard]] latency_histogram& get_request_latency() noexcept { return *m_request; }

private:
    static constexpr std::size_t outcome_count = 4;

    std::array<counter*, policy::refusal_reason_count> m_refusals{};
    std::array<counter*, policy::retry_reason_count> m_retries{};
    std::array<counter*, outcome_count> m_outcomes{};
    counter* m_resumed_streams;
    counter* m_cancelled_streams;
    counter* m_callers_gone;
    counter* m_suspects;
    counter* m_leaving_servers;
    counter* m_server_pauses;
    counter* m_foreign_responses;
    latency_histogram* m_first_token;
    latency_histogram* m_request;
};

} // namespace dragonflywell::servers
