#include "coordination/claim_fold.hpp"

#include <algorithm>
#include <array>
#include <fmt/format.h>

#include "core/json.hpp"

namespace dragonflywell::coordination {

namespace {

constexpr std::array<std::string_view, 3> outcome_names{"done", "released", "unknown"};

claim_outcome parse_outcome(const std::string& name) {
    const auto found = std::find(outcome_names.begin(), outcome_names.end(), name);
    if (found == outcome_names.end()) {
        throw malformed_message_error("unknown outcome in a claim record: " + name);
    }
    return static_cast<claim_outcome>(found - outcome_names.begin());
}

boost::json::object encode_settlement(const claim_settlement& settlement) {
    boost::json::object row{{"id", format_claim_id(settlement.id)},
                            {"end", outcome_names.at(static_cast<std::size_t>(settlement.outcome))}};
    if (settlement.outcome == claim_outcome::done) {
        row["status"] = settlement.response.status;
        if (settlement.response.body) {
            row["content_type"] = settlement.response.content_type;
            row["body"] = *settlement.response.body;
        }
    }
    return row;
}

claim_settlement parse_settlement(const boost::json::object& row) {
    claim_settlement settlement{.id = parse_claim_id(json::get_string(row, "id")),
                                .outcome = parse_outcome(json::get_string(row, "end"))};
    settlement.response.status = static_cast<unsigned>(json::get_unsigned_or(row, "status", 0));
    settlement.response.content_type = json::get_string_or(row, "content_type", "");
    if (row.contains("body")) {
        settlement.response.body = json::get_string(row, "body");
    }
    return settlement;
}

} // namespace

record_draft make_claim_batch_record(const claim_batch& batch) {
    boost::json::array settlements;
    for (const claim_settlement& settlement : batch.settlements) {
        settlements.push_back(encode_settlement(settlement));
    }
    boost::json::array claims;
    for (const claim_request& claim : batch.claims) {
        claims.push_back({{"id", format_claim_id(claim.id)}, {"digest", claim.digest}});
    }
    return {.type = std::string(claim_batch_type),
            .body = {{"at", batch.written_at}, {"settled", std::move(settlements)}, {"claims", std::move(claims)}},
            .condition = {},
            .fence = {}};
}

claim_batch parse_claim_batch(const boost::json::object& body) {
    claim_batch batch{.written_at = json::get_unsigned(body, "at"), .settlements = {}, .claims = {}};
    for (const boost::json::value& row : json::get_array(body, "settled")) {
        batch.settlements.push_back(parse_settlement(json::as_object(row, "settlement")));
    }
    for (const boost::json::value& item : json::get_array(body, "claims")) {
        const boost::json::object& row = json::as_object(item, "claim");
        batch.claims.push_back(
            {.id = parse_claim_id(json::get_string(row, "id")), .digest = json::get_unsigned(row, "digest")});
    }
    return batch;
}

claim_fold::claim_fold(std::chrono::seconds window) : m_window(window) {}

void claim_fold::on_record(log_offset offset, const record& value) {
    if (value.type != claim_batch_type) {
        return;
    }
    const claim_batch batch = parse_claim_batch(value.body);
    const std::uint32_t writer = get_writer_index(value.writer);
    expire_claims(batch.written_at);
    for (const claim_settlement& settlement : batch.settlements) {
        apply_settlement(settlement, writer);
    }
    for (const claim_request& claim : batch.claims) {
        const auto [position, is_new] = m_entries.try_emplace(claim.id);
        if (!is_new) {
            continue;
        }
        position->second.digest = claim.digest;
        position->second.offset = offset;
        position->second.claimed_at = m_latest_time;
        position->second.owner = writer;
        m_expiry_queue.push_back({.claimed_at = m_latest_time, .id = claim.id, .offset = offset});
    }
}

const claim_entry* claim_fold::find(const claim_id& id) const {
    const auto found = m_entries.find(id);
    return found == m_entries.end() ? nullptr : &found->second;
}

bool claim_fold::is_owner_replaced(const claim_entry& entry) const {
    const writer_id& owner = get_owner(entry);
    return m_newest_incarnations.at(owner.host) > owner.incarnation;
}

std::uint32_t claim_fold::get_writer_index(const writer_id& writer) {
    std::uint64_t& newest = m_newest_incarnations[writer.host];
    newest = std::max(newest, writer.incarnation);
    const auto [position, is_new] = m_writer_indices.try_emplace(writer, static_cast<std::uint32_t>(m_writers.size()));
    if (is_new) {
        m_writers.push_back(writer);
    }
    return position->second;
}

void claim_fold::expire_claims(std::uint64_t written_at) {
    m_latest_time = std::max(m_latest_time, written_at);
    const auto window = static_cast<std::uint64_t>(m_window.count());
    while (!m_expiry_queue.empty() && m_latest_time - m_expiry_queue.front().claimed_at >= window) {
        // The identifier may have been released and claimed again since, so only an entry of this very claim is
        // removed.
        const auto found = m_entries.find(m_expiry_queue.front().id);
        if (found != m_entries.end() && found->second.offset == m_expiry_queue.front().offset) {
            m_entries.erase(found);
        }
        m_expiry_queue.pop_front();
    }
}

void claim_fold::apply_settlement(const claim_settlement& settlement, std::uint32_t writer) {
    const auto found = m_entries.find(settlement.id);
    if (found == m_entries.end() || found->second.owner != writer || found->second.outcome == claim_outcome::done) {
        return;
    }
    if (settlement.outcome == claim_outcome::released) {
        m_entries.erase(found);
        return;
    }
    found->second.outcome = settlement.outcome;
    if (settlement.outcome == claim_outcome::done) {
        found->second.response = std::make_unique<const recorded_response>(settlement.response);
    }
}

} // namespace dragonflywell::coordination
