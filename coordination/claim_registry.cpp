#include "coordination/claim_registry.hpp"

#include <algorithm>
#include <array>
#include <set>

namespace dragonflywell::coordination {

namespace {

std::uint64_t get_seconds(const clock_source& time) {
    const auto since_epoch = time.wall_now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::seconds>(since_epoch).count());
}

} // namespace

claim_registry::claim_registry(folded_stream& stream, const clock_source& time, claim_options options)
    : m_stream(&stream), m_time(&time), m_options(options), m_fold(options.window) {
    m_stream->add_observer(m_fold);
    // Records that retention has deleted are older than the window, so a gap loses no claim that still counts.
    m_stream->allow_gaps();
}

void claim_registry::poll() {
    m_stream->poll();
}

std::vector<claim_result> claim_registry::process(std::span<const claim_request> requests,
                                                  std::span<const claim_settlement> settlements) {
    m_unwritten.insert(m_unwritten.end(), settlements.begin(), settlements.end());
    const std::vector<claim_request> unclaimed = get_unclaimed(requests);
    const steady_time sent_at = m_time->now();
    std::optional<log_offset> written;
    if (!unclaimed.empty() || !m_unwritten.empty()) {
        written = write(unclaimed);
    }
    std::set<claim_id> acquired;
    std::vector<claim_result> answers;
    for (const claim_request& request : requests) {
        const claim_entry* entry = m_fold.find(request.id);
        const bool is_own = entry != nullptr && written && entry->offset == *written &&
                            m_fold.get_owner(*entry) == m_stream->get_writer();
        // If one batch has several requests with the same identifier, the first one gets the claim.
        if (is_own && acquired.insert(request.id).second) {
            answers.push_back({.status = claim_status::acquired, .start_deadline = sent_at + m_options.max_run_time});
            continue;
        }
        answers.push_back(get_state(request));
    }
    return answers;
}

std::vector<claim_request> claim_registry::get_unclaimed(std::span<const claim_request> requests) const {
    std::vector<claim_request> unclaimed;
    std::set<claim_id> seen;
    for (const claim_request& request : requests) {
        const claim_entry* entry = m_fold.find(request.id);
        const bool has_room = entry != nullptr || m_fold.get_size() + unclaimed.size() < m_options.max_entries;
        // If another host owns the claim and has not settled it, the identifier is claimed again: the release by that
        // host may not have been read here yet.
        const bool is_decided =
            (entry != nullptr && entry->outcome == claim_outcome::done) || is_own_running(request.id);
        if (!is_decided && has_room && seen.insert(request.id).second) {
            unclaimed.push_back(request);
        }
    }
    return unclaimed;
}

std::optional<log_offset> claim_registry::write(const std::vector<claim_request>& claims) {
    const std::array drafts{
        make_claim_batch_record({.written_at = get_seconds(*m_time), .settlements = m_unwritten, .claims = claims})};
    try {
        const submit_result result = m_stream->submit(drafts).front();
        m_unwritten.clear();
        return result.status == record_status::valid ? std::optional(result.offset) : std::nullopt;
    } catch (const log_unavailable_error&) {
        // The append may still take effect. The next batch therefore releases each claim: a claim that stands before
        // that batch is freed by it, and every reader drops one that arrives after it because of its old sequence
        // number.
        for (const claim_request& claim : claims) {
            m_unwritten.push_back({.id = claim.id, .outcome = claim_outcome::released});
        }
        return std::nullopt;
    }
}

bool claim_registry::is_own_running(const claim_id& id) const {
    const claim_entry* entry = m_fold.find(id);
    return entry != nullptr && m_fold.get_owner(*entry) == m_stream->get_writer() && !is_release_unwritten(id);
}

bool claim_registry::is_release_unwritten(const claim_id& id) const {
    return std::any_of(m_unwritten.begin(), m_unwritten.end(), [&id](const claim_settlement& settlement) {
        return settlement.id == id && settlement.outcome == claim_outcome::released;
    });
}

claim_result claim_registry::get_state(const claim_request& request) const {
    const claim_entry* entry = m_fold.find(request.id);
    if (entry == nullptr || (m_fold.get_owner(*entry) == m_stream->get_writer() && is_release_unwritten(request.id))) {
        const bool is_full = m_fold.get_size() >= m_options.max_entries;
        return {.status = is_full ? claim_status::full : claim_status::log_unavailable};
    }
    if (entry->digest != request.digest) {
        return {.status = claim_status::different_request};
    }
    if (entry->outcome == claim_outcome::done) {
        return {.status = claim_status::done, .response = *entry->response};
    }
    const auto max_run_time = static_cast<std::uint64_t>(m_options.max_run_time.count());
    const bool is_overdue = get_seconds(*m_time) >= entry->claimed_at + max_run_time;
    if (entry->outcome == claim_outcome::unknown || is_overdue || m_fold.is_owner_replaced(*entry)) {
        return {.status = claim_status::unknown};
    }
    return {.status = claim_status::running};
}

} // namespace dragonflywell::coordination
