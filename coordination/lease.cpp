#include "coordination/lease.hpp"

#include <array>
#include <utility>

namespace dragonflywell::coordination {

lease_holder::lease_holder(folded_stream& stream, const clock_source& time, lease_options options)
    : m_stream(&stream), m_time(&time), m_options(std::move(options)) {}

void lease_holder::tick() {
    m_stream->poll();
    observe();
    if (is_own()) {
        const duration left = m_sent_at + m_options.length - m_time->now();
        if (left <= m_options.renew_before) {
            renew();
        }
        return;
    }
    m_held.reset();
    if (is_lapsed()) {
        claim();
    }
}

void lease_holder::release() {
    if (!m_held) {
        return;
    }
    const std::array<record_draft, 1> drafts{
        {{.type = std::string(lease_release_type), .body = {}, .condition = {}, .fence = m_held}}};
    m_held.reset();
    m_stream->submit(drafts);
}

std::optional<fencing_token> lease_holder::get_authority() const {
    if (!m_held || !is_own()) {
        return std::nullopt;
    }
    const steady_time last_moment = m_sent_at + m_options.length - m_options.order_deadline;
    return m_time->now() < last_moment ? m_held : std::nullopt;
}

bool lease_holder::is_own() const {
    const lease_record* lease = m_stream->get_fold().get_lease(m_options.scope);
    return m_held && lease != nullptr && !lease->is_released && lease->token == *m_held;
}

bool lease_holder::is_lapsed() const {
    const lease_record* lease = m_stream->get_fold().get_lease(m_options.scope);
    if (lease == nullptr || lease->is_released) {
        return true;
    }
    return m_time->now() >= m_observed_at + m_options.length + m_options.drift_margin;
}

void lease_holder::observe() {
    const lease_record* lease = m_stream->get_fold().get_lease(m_options.scope);
    if (lease == nullptr || m_observed == lease->newest) {
        return;
    }
    m_observed = lease->newest;
    m_observed_at = m_time->now();
}

void lease_holder::renew() {
    const steady_time sent_at = m_time->now();
    const std::array<record_draft, 1> drafts{
        {{.type = std::string(lease_renewal_type), .body = {}, .condition = {}, .fence = m_held}}};
    const submission result = m_stream->submit(drafts).front();
    if (result.verdict != record_verdict::valid) {
        m_held.reset();
        return;
    }
    m_sent_at = sent_at;
    observe();
}

void lease_holder::claim() {
    const steady_time sent_at = m_time->now();
    const std::string subject = get_lease_subject(m_options.scope);
    const std::array<record_draft, 1> drafts{
        {{.type = std::string(lease_claim_type),
          .body = {},
          .condition = record_condition{.subject = subject, .supersedes = m_stream->get_fold().get_newest(subject)},
          .fence = {}}}};
    const submission result = m_stream->submit(drafts).front();
    observe();
    if (result.verdict != record_verdict::valid) {
        return;
    }
    m_held = fencing_token{.scope = m_options.scope, .number = result.offset};
    m_sent_at = sent_at;
}

} // namespace dragonflywell::coordination
