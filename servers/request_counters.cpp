#include "servers/request_counters.hpp"

namespace dragonflywell::servers {

request_counters::request_counters(metrics_registry& registry)
    : m_resumed_streams(&registry.get_counter("dragonflywell_resumed_streams_total")),
      m_cancelled_streams(&registry.get_counter("dragonflywell_cancelled_streams_total")),
      m_callers_gone(&registry.get_counter("dragonflywell_callers_gone_total")),
      m_suspects(&registry.get_counter("dragonflywell_suspect_requests_total")),
      m_leaving_servers(&registry.get_counter("dragonflywell_leaving_servers_total")),
      m_server_pauses(&registry.get_counter("dragonflywell_server_pauses_total")),
      m_foreign_responses(&registry.get_counter("dragonflywell_foreign_responses_total")),
      m_first_token(&registry.get_histogram("dragonflywell_first_token_seconds")),
      m_request(&registry.get_histogram("dragonflywell_request_seconds")) {
    for (std::size_t index = 0; index < m_refusals.size(); ++index) {
        const auto form = policy::get_refusal_response(static_cast<policy::refusal_reason>(index));
        m_refusals.at(index) =
            &registry.get_counter("dragonflywell_refusals_total", {{"reason", std::string(form.code)}});
    }
    for (std::size_t index = 0; index < m_retries.size(); ++index) {
        const auto name = policy::get_retry_name(static_cast<policy::retry_reason>(index));
        m_retries.at(index) = &registry.get_counter("dragonflywell_retries_total", {{"reason", std::string(name)}});
    }
    for (std::size_t index = 0; index < m_outcomes.size(); ++index) {
        const auto name = policy::get_outcome_name(static_cast<policy::request_outcome>(index));
        m_outcomes.at(index) = &registry.get_counter("dragonflywell_requests_total", {{"outcome", std::string(name)}});
    }
}

void request_counters::count_refusal(policy::refusal_reason reason) noexcept {
    m_refusals[static_cast<std::size_t>(reason)]->add();
}

void request_counters::count_retry(policy::retry_reason reason) noexcept {
    m_retries[static_cast<std::size_t>(reason)]->add();
}

void request_counters::count_outcome(policy::request_outcome outcome) noexcept {
    m_outcomes[static_cast<std::size_t>(outcome)]->add();
}

} // namespace dragonflywell::servers
