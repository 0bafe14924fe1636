#include "servers/tracked_exchange.hpp"

#include <string>
#include <utility>

#include "core/hash.hpp"
#include "servers/serving_request.hpp"
#include "servers/serving_state.hpp"

namespace dragonflywell::servers {

tracked_exchange::tracked_exchange(serving_state& state, backend_server_name server, const backend_exchange& exchange,
                                   subject content)
    : m_state(&state), m_server(std::move(server)), m_exchange(&exchange), m_subject(std::move(content)),
      m_sent_at(state.time.now()), m_is_waiting(m_subject.is_generation) {
    if (const fleet::listed_server* listed = m_state->eligibility.get_list().find(m_server); listed != nullptr) {
        m_incarnation =
            get_stable_hash(m_server.value()) ^ get_stable_hash(std::to_string(listed->record.started_at_ms));
    }
    m_state->tracked_exchanges[m_server].insert(this);
}

tracked_exchange::~tracked_exchange() {
    const auto found = m_state->tracked_exchanges.find(m_server);
    found->second.erase(this);
    if (found->second.empty()) {
        m_state->tracked_exchanges.erase(found);
    }
    // Nothing tells of the end of a server that is not listed any more.
    const bool is_listed = m_state->eligibility.get_list().find(m_server) != nullptr;
    if (std::optional<policy::crash_suspect> suspect = take_suspect(); suspect && is_listed) {
        m_state->crashes.record_unanswered(std::move(*suspect), m_server);
    }
}

void tracked_exchange::set_answered() {
    m_is_settled = true;
    m_state->crashes.record_answer(m_server, m_sent_at, m_state->time.now());
}

std::optional<policy::crash_suspect> tracked_exchange::take_suspect() {
    if (m_is_settled || !m_exchange->is_sent()) {
        return std::nullopt;
    }
    m_is_settled = true;
    policy::crash_suspect suspect{.request = get_fingerprint(*m_subject.request, m_subject.organisation),
                                  .waiting_parts = {},
                                  .server_incarnation = m_incarnation,
                                  .sent_at = m_sent_at,
                                  .ended_at = m_state->time.now(),
                                  .is_broken = m_is_broken};
    // The end of a server that leaves as planned says nothing of its prompts.
    if (m_is_waiting && !m_state->eligibility.is_leaving(m_server)) {
        suspect.waiting_parts = get_shared_parts(*m_subject.request);
    }
    return suspect;
}

} // namespace dragonflywell::servers
