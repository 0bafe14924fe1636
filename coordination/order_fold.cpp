#include "coordination/order_fold.hpp"

#include <algorithm>
#include <utility>

#include "core/json.hpp"

namespace dragonflywell::coordination {

namespace {

/// Returns whether the writer of `value` may record the outcome of `send`. The sender itself may do so at any time,
/// because it states a fact and makes no decision. Any other process needs the lease of the scope; the stream has
/// already checked that the fencing token is current.
bool may_resolve(const record& value, const order_send& send) {
    if (value.writer == send.sender) {
        return true;
    }
    return value.fence && value.fence->scope == send.token.scope;
}

void erase_resolved_sends(unresolved_order& existing, const order_send& resolved, send_outcome outcome) {
    const bool has_effect = outcome == send_outcome::applied || outcome == send_outcome::found_applied;
    if (has_effect && existing.value.duplicates == duplicate_handling::deduplicated) {
        existing.sends.clear();
        return;
    }
    if (has_effect && existing.value.receiver == receiver_kind::checks_fencing) {
        std::erase_if(existing.sends,
                      [&](const order_send& send) { return send.token.number < resolved.token.number; });
    }
    std::erase(existing.sends, resolved);
}

boost::json::object encode_send(const order_send& send) {
    return {{"intent", send.intent},
            {"host", send.sender.host},
            {"incarnation", send.sender.incarnation},
            {"scope", send.token.scope},
            {"number", send.token.number}};
}

order_send decode_send(const boost::json::value& value) {
    const boost::json::object& object = json::as_object(value, "send");
    return {
        .intent = json::get_unsigned(object, "intent"),
        .sender = {.host = json::get_string(object, "host"), .incarnation = json::get_unsigned(object, "incarnation")},
        .token = {.scope = json::get_string(object, "scope"), .number = json::get_unsigned(object, "number")}};
}

boost::json::object encode_unresolved(const unresolved_order& existing) {
    boost::json::array sends;
    for (const order_send& send : existing.sends) {
        sends.push_back(encode_send(send));
    }
    return {{"order", encode_order(existing.value)}, {"sends", std::move(sends)}, {"total", existing.total_sends}};
}

unresolved_order decode_unresolved(const boost::json::value& value) {
    const boost::json::object& object = json::as_object(value, "unresolved order");
    unresolved_order existing{.value = decode_order(json::get_object(object, "order")),
                              .sends = {},
                              .total_sends = json::get_unsigned(object, "total")};
    for (const boost::json::value& send : json::get_array(object, "sends")) {
        existing.sends.push_back(decode_send(send));
    }
    if (existing.sends.empty() || existing.total_sends < existing.sends.size()) {
        throw malformed_message_error("unresolved order does not list all its sends");
    }
    return existing;
}

} // namespace

bool are_sends_fenced_off(const unresolved_order& existing, const fencing_token& token) {
    return existing.value.receiver == receiver_kind::checks_fencing &&
           std::ranges::all_of(existing.sends, [&](const order_send& send) {
               return send.token.scope == token.scope && send.token.number < token.number;
           });
}

const unresolved_order* order_fold::find(const std::string& subject) const {
    const auto found = m_unresolved.find(subject);
    return found == m_unresolved.end() ? nullptr : &found->second;
}

void order_fold::on_record(log_offset offset, const record& value) {
    if (value.type == order_intent_type) {
        apply_intent(offset, value);
    }
    if (value.type == order_outcome_type) {
        apply_outcome(value);
    }
}

boost::json::value order_fold::save_state() const {
    boost::json::array all;
    for (const auto& [subject, existing] : m_unresolved) {
        all.push_back(encode_unresolved(existing));
    }
    return all;
}

void order_fold::restore_state(const boost::json::value& state) {
    if (!state.is_array()) {
        throw malformed_message_error("snapshot of orders must be an array");
    }
    std::map<std::string, unresolved_order> restored;
    for (const boost::json::value& entry : state.get_array()) {
        unresolved_order existing = decode_unresolved(entry);
        const std::string subject = existing.value.subject;
        restored[subject] = std::move(existing);
    }
    m_unresolved = std::move(restored);
}

void order_fold::apply_intent(log_offset offset, const record& value) {
    if (!value.fence) {
        return;
    }
    order intended = decode_order(value.body);
    const order_send send{.intent = offset, .sender = value.writer, .token = *value.fence};
    const auto found = m_unresolved.find(intended.subject);
    if (found == m_unresolved.end() || are_sends_fenced_off(found->second, send.token)) {
        const std::string subject = intended.subject;
        m_unresolved[subject] = {.value = std::move(intended), .sends = {send}, .total_sends = 1};
        return;
    }
    if (found->second.value.idempotency_key != intended.idempotency_key) {
        return;
    }
    found->second.sends.push_back(send);
    ++found->second.total_sends;
}

void order_fold::apply_outcome(const record& value) {
    const order_outcome content = decode_outcome(value.body);
    const auto found = m_unresolved.find(content.subject);
    if (found == m_unresolved.end()) {
        return;
    }
    unresolved_order& existing = found->second;
    const auto send =
        std::ranges::find_if(existing.sends, [&](const order_send& one) { return one.intent == content.intent; });
    if (send == existing.sends.end() || !may_resolve(value, *send)) {
        return;
    }
    if (content.outcome == send_outcome::not_sent) {
        --existing.total_sends;
    }
    const order_send resolved = *send;
    erase_resolved_sends(existing, resolved, content.outcome);
    if (existing.sends.empty()) {
        m_unresolved.erase(found);
    }
}

} // namespace dragonflywell::coordination
