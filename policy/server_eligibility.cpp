#include "policy/server_eligibility.hpp"

#include <algorithm>

namespace dragonflywell::policy {

namespace {

/// Number of confirmations beyond that of the listed servers at which those of others are dropped.
constexpr std::size_t max_unlisted_confirmations = 64;

std::uint64_t get_incarnation(const fleet::listed_server& listed) {
    return static_cast<std::uint64_t>(listed.record.started_at_ms);
}

} // namespace

server_belief server_eligibility::get_belief(const backend_server_name& server, steady_time now) const {
    const fleet::listed_server* listed = m_list.find(server);
    if (listed == nullptr || m_list.has_expired(*listed, now)) {
        return {.refusal = ineligibility::unlisted, .age = get_list_age(now)};
    }
    server_belief belief{.refusal = {}, .age = get_age(server, now)};
    if (listed->record.is_draining) {
        belief.refusal = ineligibility::draining;
    } else if (has_announced_leaving(*listed)) {
        belief.refusal = ineligibility::leaving;
    } else if (m_list.is_address_taken(*listed)) {
        belief.refusal = ineligibility::address_taken;
    } else if (m_announcements.is_mismatched(server, get_incarnation(*listed), listed->changed_at, now)) {
        belief.refusal = ineligibility::mismatched;
    } else if (get_pause_end(server, now)) {
        belief.refusal = ineligibility::paused;
    }
    return belief;
}

bool server_eligibility::is_staying(const backend_server_name& server, steady_time now) const {
    const std::optional<ineligibility> refusal = get_belief(server, now).refusal;
    return !refusal || *refusal == ineligibility::paused || *refusal == ineligibility::mismatched;
}

bool server_eligibility::is_leaving(const backend_server_name& server) const {
    const fleet::listed_server* listed = m_list.find(server);
    return listed != nullptr && (listed->record.is_draining || has_announced_leaving(*listed));
}

bool server_eligibility::has_left_as_planned(const backend_server_name& server) const {
    const std::optional<fleet::ended_run> ended = m_list.find_ended_run(server);
    return ended &&
           (ended->is_draining || m_announcements.is_leaving(server, static_cast<std::uint64_t>(ended->started_at_ms)));
}

bool server_eligibility::has_announced_leaving(const fleet::listed_server& listed) const {
    return m_announcements.is_leaving(listed.record.id, get_incarnation(listed));
}

duration server_eligibility::get_age(const backend_server_name& server, steady_time now) const {
    const fleet::listed_server* listed = m_list.find(server);
    const auto confirmed = m_confirmations.find(server);
    const bool is_confirmed = listed != nullptr && confirmed != m_confirmations.end() &&
                              confirmed->second.incarnation == get_incarnation(*listed);
    return now - (is_confirmed ? std::max(m_list_current_at, confirmed->second.at) : m_list_current_at);
}

void server_eligibility::record_response(const backend_server_name& server, std::uint64_t incarnation,
                                         steady_time sent_at) {
    confirmation& newest = m_confirmations[server];
    if (newest.incarnation != incarnation) {
        newest = {.incarnation = incarnation, .at = sent_at};
    }
    newest.at = std::max(newest.at, sent_at);
    if (m_confirmations.size() > m_list.get_servers().size() + max_unlisted_confirmations) {
        forget_unlisted();
    }
}

void server_eligibility::record_mismatch(const backend_server_name& server, steady_time sent_at) {
    if (const fleet::listed_server* listed = m_list.find(server); listed != nullptr) {
        m_announcements.record_mismatch(server, get_incarnation(*listed), sent_at);
    }
}

void server_eligibility::forget_unlisted() {
    std::erase_if(m_confirmations, [&](const auto& item) { return m_list.find(item.first) == nullptr; });
}

} // namespace dragonflywell::policy
