#include "coordination/order_dispatcher.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace dragonflywell::coordination {

namespace {

std::optional<send_outcome> get_send_outcome(order_reply reply) {
    switch (reply) {
    case order_reply::applied:
        return send_outcome::applied;
    case order_reply::rejected:
        return send_outcome::rejected;
    case order_reply::stale_fencing_number:
        return send_outcome::stale_fencing_number;
    case order_reply::unknown:
        break;
    }
    return std::nullopt;
}

order_status get_status(order_reply reply) {
    switch (reply) {
    case order_reply::applied:
        return order_status::applied;
    case order_reply::rejected:
        return order_status::rejected;
    case order_reply::stale_fencing_number:
        return order_status::stale_fencing_number;
    case order_reply::unknown:
        break;
    }
    return order_status::unknown;
}

bool has_send(const unresolved_order* existing, log_offset intent) {
    return existing != nullptr &&
           std::ranges::any_of(existing->sends, [intent](const order_send& send) { return send.intent == intent; });
}

} // namespace

order_dispatcher::order_dispatcher(folded_stream& stream, lease_candidate& lease, order_receiver& receiver,
                                   const host_liveness& hosts)
    : m_stream(&stream), m_lease(&lease), m_receiver(&receiver), m_hosts(&hosts) {
    m_stream->add_observer(m_fold);
}

order_result order_dispatcher::submit(const order& value) {
    if (!flush_outcomes()) {
        return {.status = order_status::log_unavailable, .intent = {}};
    }
    const std::optional<fencing_token> token = m_lease->get_authority();
    if (!token) {
        return {.status = order_status::no_authority, .intent = {}};
    }
    const unresolved_order* found = m_fold.find(value.subject);
    if (!may_send(value, found, *token)) {
        return {.status = order_status::blocked, .intent = {}};
    }
    if (found == nullptr) {
        return append_and_send(value, *token);
    }
    const unresolved_order existing = *found;
    const bool is_same = existing.value.idempotency_key == value.idempotency_key;
    const order_query_result query_result = query_existing(existing, *token);
    if (query_result == order_query_result::applied && is_same) {
        return {.status = order_status::applied, .intent = existing.sends.front().intent};
    }
    if (query_result == order_query_result::unknown && existing.value.duplicates == duplicate_handling::deduplicated) {
        return {.status = order_status::blocked, .intent = {}};
    }
    return append_and_send(is_same ? existing.value : value, *token);
}

std::vector<unresolved_order> order_dispatcher::get_unresolved() const {
    std::vector<unresolved_order> all;
    for (const auto& [subject, existing] : m_fold.get_all()) {
        all.push_back(existing);
    }
    return all;
}

void order_dispatcher::reconcile() {
    if (!flush_outcomes()) {
        return;
    }
    const std::optional<fencing_token> token = m_lease->get_authority();
    if (!token) {
        return;
    }
    for (const unresolved_order& existing : get_unresolved()) {
        resolve(existing, *token);
    }
    flush_outcomes();
}

bool order_dispatcher::may_send(const order& value, const unresolved_order* existing,
                                const fencing_token& token) const {
    if (existing == nullptr) {
        return true;
    }
    const bool is_same = existing->value.idempotency_key == value.idempotency_key;
    if (is_same && existing->value.duplicates == duplicate_handling::never) {
        return false;
    }
    if (are_sends_fenced_off(*existing, token)) {
        return true;
    }
    if (!is_same) {
        return false;
    }
    switch (existing->value.duplicates) {
    case duplicate_handling::never:
        return false;
    case duplicate_handling::idempotent:
        return true;
    case duplicate_handling::deduplicated:
        // The platform must not get orders from two processes, so sends of another process have to be resolved first.
        return std::ranges::all_of(existing->sends,
                                   [&](const order_send& send) { return send.sender == m_stream->get_writer(); });
    }
    return false;
}

bool order_dispatcher::is_accepted(const order& value, const submit_result& intent) const {
    return intent.status == record_status::valid && has_send(m_fold.find(value.subject), intent.offset);
}

bool order_dispatcher::has_authority(const fencing_token& token) const {
    return m_lease->get_authority() == token;
}

bool order_dispatcher::is_resolved_by_query(const unresolved_order& existing) const {
    // A receiver without keys shows the same state whichever send was applied, so only an order with a single send is
    // resolved by a query.
    return existing.value.duplicates == duplicate_handling::deduplicated || existing.total_sends == 1;
}

order_query_result order_dispatcher::query_existing(const unresolved_order& existing, const fencing_token& token) {
    const order_query_result query_result = m_receiver->query(existing.value);
    if (query_result == order_query_result::applied && is_resolved_by_query(existing)) {
        const order_send& seen = existing.sends.front();
        m_unconfirmed_outcomes[seen.intent] = {.content = {.subject = existing.value.subject,
                                                           .intent = seen.intent,
                                                           .outcome = send_outcome::found_applied},
                                               .fence = token};
        flush_outcomes();
    }
    return query_result;
}

order_result order_dispatcher::append_and_send(const order& value, const fencing_token& token) {
    const std::array<record_draft, 1> drafts{
        {{.type = std::string(order_intent_type), .body = encode_order(value), .condition = {}, .fence = token}}};
    submit_result recorded;
    try {
        recorded = m_stream->submit(drafts).front();
    } catch (const log_unavailable_error&) {
        return {.status = order_status::log_unavailable, .intent = {}};
    }
    if (!is_accepted(value, recorded)) {
        // Another process has acquired the lease, or a late intent of this process occupies the subject.
        const bool is_valid = recorded.status == record_status::valid;
        return {.status = is_valid ? order_status::blocked : order_status::no_authority, .intent = {}};
    }
    return send_once(value, recorded.offset, token);
}

order_result order_dispatcher::send_once(const order& value, log_offset intent, const fencing_token& token) {
    if (!has_authority(token)) {
        flush_outcomes();
        return {.status = order_status::no_authority, .intent = {}};
    }
    m_sent.insert(intent);
    const order_reply reply = m_receiver->send(value, token, m_lease->get_order_deadline());
    const std::optional<send_outcome> outcome = get_send_outcome(reply);
    if (outcome) {
        m_unconfirmed_outcomes[intent] = {.content = {.subject = value.subject, .intent = intent, .outcome = *outcome},
                                          .fence = {}};
        flush_outcomes();
    }
    return {.status = get_status(reply), .intent = intent};
}

void order_dispatcher::resolve(const unresolved_order& existing, const fencing_token& token) {
    // This is checked before the query, so that the query shows everything that a sender did before it terminated.
    std::vector<order_send> terminated;
    std::ranges::copy_if(existing.sends, std::back_inserter(terminated),
                         [this](const order_send& send) { return m_hosts->has_terminated(send.sender); });
    const order_query_result query_result = query_existing(existing, token);
    if (query_result == order_query_result::applied && is_resolved_by_query(existing)) {
        return;
    }
    if (query_result == order_query_result::unknown && existing.value.duplicates == duplicate_handling::deduplicated) {
        return;
    }
    for (const order_send& send : terminated) {
        m_unconfirmed_outcomes[send.intent] = {.content = {.subject = existing.value.subject,
                                                           .intent = send.intent,
                                                           .outcome = send_outcome::sender_terminated},
                                               .fence = token};
    }
}

void order_dispatcher::record_unsent_intents() {
    for (const auto& [subject, existing] : m_fold.get_all()) {
        for (const order_send& send : existing.sends) {
            if (send.sender == m_stream->get_writer() && !m_sent.contains(send.intent)) {
                m_unconfirmed_outcomes[send.intent] = {
                    .content = {.subject = subject, .intent = send.intent, .outcome = send_outcome::not_sent},
                    .fence = {}};
            }
        }
    }
}

void order_dispatcher::forget_resolved_sends() {
    std::set<log_offset> unresolved;
    for (const auto& [subject, existing] : m_fold.get_all()) {
        for (const order_send& send : existing.sends) {
            unresolved.insert(send.intent);
        }
    }
    std::erase_if(m_sent, [&](log_offset intent) { return !unresolved.contains(intent); });
    std::erase_if(m_unconfirmed_outcomes, [&](const auto& entry) { return !unresolved.contains(entry.first); });
}

bool order_dispatcher::flush_outcomes() {
    try {
        m_stream->poll();
        forget_resolved_sends();
        record_unsent_intents();
        std::vector<record_draft> drafts;
        for (const auto& [intent, outcome] : m_unconfirmed_outcomes) {
            drafts.push_back({.type = std::string(order_outcome_type),
                              .body = encode_outcome(outcome.content),
                              .condition = {},
                              .fence = outcome.fence});
        }
        if (!drafts.empty()) {
            m_stream->submit(drafts);
            m_unconfirmed_outcomes.clear();
        }
    } catch (const log_unavailable_error&) {
        return false;
    }
    forget_resolved_sends();
    return true;
}

} // namespace dragonflywell::coordination
