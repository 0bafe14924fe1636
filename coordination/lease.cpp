#include "coordination/lease.hpp"

#include <array>
#include <utility>

namespace dragonflywell::coordination {

namespace {

/// How many attempts with an unknown effect are remembered. If an older one takes effect after all, the lease is
/// renewed at once.
constexpr std::size_t max_pending_attempts = 64;

void require(bool holds, std::vector<input_problem>& problems, const char* place, const char* message) {
    if (!holds) {
        problems.push_back({.location = place, .message = message});
    }
}

} // namespace

void check_lease_options(const lease_options& options) {
    std::vector<input_problem> problems;
    require(!options.scope.empty(), problems, "lease.scope", "must not be empty");
    require(options.order_deadline > duration::zero(), problems, "lease.order_deadline", "must be positive");
    require(options.drift_margin > duration::zero(), problems, "lease.drift_margin", "must be positive");
    require(options.renew_before > options.order_deadline, problems, "lease.renew_before",
            "must be longer than order_deadline, otherwise authority ends before each renewal");
    require(options.length > options.renew_before, problems, "lease.length", "must be longer than renew_before");
    if (!problems.empty()) {
        throw invalid_input_error(std::move(problems));
    }
}

lease_candidate::lease_candidate(folded_stream& stream, const clock_source& time, lease_options options)
    : m_stream(&stream), m_time(&time), m_options(std::move(options)) {
    check_lease_options(m_options);
}

void lease_candidate::tick() {
    m_stream->poll();
    observe_lease();
    if (holds_lease()) {
        const duration left = m_sent_at + m_options.length - m_time->now();
        if (left <= m_options.renew_before) {
            renew_lease();
        }
        return;
    }
    if (is_vacant()) {
        acquire_lease();
    }
}

void lease_candidate::release() {
    m_held.reset();
    const lease_record* lease = m_stream->get_fold().get_lease(m_options.scope);
    if (lease == nullptr || lease->is_released || lease->holder != m_stream->get_writer()) {
        return;
    }
    m_released_number = lease->token.number;
    const std::array<record_draft, 1> drafts{
        {{.type = std::string(lease_release_type), .body = {}, .condition = {}, .fence = lease->token}}};
    m_stream->submit(drafts);
}

std::optional<fencing_token> lease_candidate::get_authority() const {
    if (!holds_lease()) {
        return std::nullopt;
    }
    const steady_time last_moment = m_sent_at + m_options.length - m_options.order_deadline;
    return m_time->now() < last_moment ? m_held : std::nullopt;
}

bool lease_candidate::holds_lease() const {
    const lease_record* lease = m_stream->get_fold().get_lease(m_options.scope);
    return m_held && lease != nullptr && !lease->is_released && lease->token == *m_held;
}

bool lease_candidate::is_vacant() const {
    const lease_record* lease = m_stream->get_fold().get_lease(m_options.scope);
    if (lease == nullptr || lease->is_released) {
        return true;
    }
    return m_time->now() >= m_observed_at + m_options.length + m_options.drift_margin;
}

void lease_candidate::observe_lease() {
    const lease_record* lease = m_stream->get_fold().get_lease(m_options.scope);
    if (lease == nullptr || m_observed == lease->newest) {
        return;
    }
    m_observed = lease->newest;
    m_observed_at = m_time->now();
    const bool is_own_lease = lease->holder == m_stream->get_writer() && !lease->is_released;
    if (!is_own_lease || m_released_number == lease->token.number) {
        m_held.reset();
        return;
    }
    const auto sent = m_pending.find(lease->sequence);
    m_sent_at = sent == m_pending.end() ? steady_time{} : sent->second;
    m_held = lease->token;
    m_pending.erase(m_pending.begin(), m_pending.upper_bound(lease->sequence));
}

void lease_candidate::renew_lease() {
    submit_and_observe({.type = std::string(lease_renewal_type), .body = {}, .condition = {}, .fence = m_held});
}

void lease_candidate::acquire_lease() {
    const std::string subject = get_lease_subject(m_options.scope);
    submit_and_observe(
        {.type = std::string(lease_acquisition_type),
         .body = {},
         .condition = record_condition{.subject = subject, .supersedes = m_stream->get_fold().get_newest(subject)},
         .fence = {}});
}

void lease_candidate::submit_and_observe(const record_draft& draft) {
    if (m_pending.size() == max_pending_attempts) {
        m_pending.erase(m_pending.begin());
    }
    m_pending[m_stream->get_last_sequence() + 1] = m_time->now();
    m_stream->submit(std::span(&draft, 1));
    observe_lease();
}

} // namespace dragonflywell::coordination
