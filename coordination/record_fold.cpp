#include "coordination/record_fold.hpp"

namespace dragonflywell::coordination {

std::string get_lease_subject(std::string_view scope) {
    return "lease/" + std::string(scope);
}

record_verdict record_fold::apply(log_offset offset, const record& value) {
    if (is_duplicate(value)) {
        return record_verdict::duplicate;
    }
    if (is_fenced(value)) {
        return record_verdict::fenced;
    }
    if (is_superseded(value)) {
        return record_verdict::superseded;
    }
    if (value.condition) {
        m_newest[value.condition->subject] = offset;
    }
    apply_lease_record(offset, value);
    return record_verdict::valid;
}

std::optional<log_offset> record_fold::get_newest(const std::string& subject) const {
    const auto found = m_newest.find(subject);
    return found == m_newest.end() ? std::nullopt : std::optional(found->second);
}

const lease_record* record_fold::get_lease(const std::string& scope) const {
    const auto found = m_leases.find(scope);
    return found == m_leases.end() ? nullptr : &found->second;
}

bool record_fold::is_duplicate(const record& value) {
    const auto [position, is_new] = m_sequences.try_emplace(value.writer, value.sequence);
    if (is_new) {
        return false;
    }
    if (value.sequence <= position->second) {
        return true;
    }
    position->second = value.sequence;
    return false;
}

bool record_fold::is_fenced(const record& value) const {
    if (!value.fence) {
        return false;
    }
    const lease_record* lease = get_lease(value.fence->scope);
    return lease == nullptr || lease->is_released || lease->token != *value.fence;
}

bool record_fold::is_superseded(const record& value) const {
    return value.condition && get_newest(value.condition->subject) != value.condition->supersedes;
}

void record_fold::apply_lease_record(log_offset offset, const record& value) {
    if (value.type == lease_claim_type && value.condition) {
        const std::string scope = value.condition->subject.substr(get_lease_subject("").size());
        m_leases[scope] = {.holder = value.writer,
                           .token = {.scope = scope, .number = offset},
                           .newest = offset,
                           .is_released = false};
        return;
    }
    if (!value.fence) {
        return;
    }
    lease_record& lease = m_leases.at(value.fence->scope);
    if (value.type == lease_renewal_type) {
        lease.newest = offset;
        m_newest[get_lease_subject(lease.token.scope)] = offset;
    }
    if (value.type == lease_release_type) {
        lease.newest = offset;
        lease.is_released = true;
        m_newest[get_lease_subject(lease.token.scope)] = offset;
    }
}

} // namespace dragonflywell::coordination
