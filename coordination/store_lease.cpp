#include "coordination/store_lease.hpp"

#include <algorithm>

#include "core/json.hpp"

namespace dragonflywell::coordination {

namespace {

/// How often the holder renews, and how often challengers read the topic, within the length of a lease.
constexpr int renewals_per_length = 3;
constexpr int reads_per_length = 2;

/// Bits of a fencing number that hold the offset. Era and offset together stay below 2^53.
constexpr unsigned offset_bits = 32;
constexpr std::uint64_t max_offset = (std::uint64_t{1} << offset_bits) - 2;
constexpr std::uint64_t max_era = (std::uint64_t{1} << (53 - offset_bits)) - 1;

} // namespace

std::string encode_store_lease_record(const store_lease_record& record) {
    boost::json::object object{{"holder", record.holder}, {"incarnation", record.incarnation}, {"era", record.era}};
    if (record.renewed_fencing_number) {
        object["fence"] = *record.renewed_fencing_number;
    }
    if (record.is_release) {
        object["release"] = true;
    }
    return boost::json::serialize(object);
}

store_lease_record decode_store_lease_record(std::string_view text) {
    const boost::json::value document = json::parse(text);
    const boost::json::object& object = json::as_object(document, "lease record");
    store_lease_record record{.holder = json::get_string(object, "holder"),
                              .incarnation = json::get_unsigned(object, "incarnation"),
                              .renewed_fencing_number = {},
                              .is_release = json::get_bool_or(object, "release", false),
                              .era = json::get_unsigned_or(object, "era", 0)};
    if (object.contains("fence")) {
        record.renewed_fencing_number = json::get_unsigned(object, "fence");
    }
    return record;
}

std::optional<std::uint64_t> make_fencing_number(const log_position& acquired_at) {
    if (acquired_at.era > max_era || acquired_at.offset > max_offset) {
        return std::nullopt;
    }
    return (acquired_at.era << offset_bits) + acquired_at.offset + 1;
}

store_lease::store_lease(const clock_source& time, store_lease_options options)
    : m_time(&time), m_options(std::move(options)) {}

store_lease::action store_lease::get_next_action() const {
    if (m_needs_read) {
        return action::read;
    }
    if (is_held()) {
        const steady_time renewed_at = m_held->expires_at - m_options.length;
        const bool is_due = m_time->now_with_suspension() - renewed_at >= m_options.length / renewals_per_length;
        return is_due || m_is_resigning || is_held_from_earlier_era() ? action::append : action::nothing;
    }
    const duration timeout = m_options.holder_timeout + (m_is_reserve ? m_options.reserve_delay : duration::zero());
    const bool has_recent_heartbeat = m_heartbeat_at && m_time->now() - *m_heartbeat_at < timeout;
    if (m_is_resigning || has_recent_heartbeat) {
        return action::nothing;
    }
    const std::optional<steady_time> vacant_since = get_vacant_since();
    // No other candidate has held the lease since this one did, so there is nobody to leave it to.
    const duration delay = is_latest_own() ? duration::zero() : m_options.acquisition_delay;
    const bool may_acquire = vacant_since && m_time->now() - *vacant_since >= delay;
    const bool is_fresh = m_last_read_at && m_time->now() - *m_last_read_at < m_options.length / reads_per_length;
    if (may_acquire && is_fresh) {
        return action::append;
    }
    return is_fresh ? action::nothing : action::read;
}

void store_lease::on_read(std::span<const lease_topic_entry> records, const log_position& end) {
    if (end.era < m_end.era) {
        return;
    }
    on_era_changed(end.era);
    if (!m_first_read_at) {
        m_first_read_at = m_time->now();
        m_latest_at = std::max(m_latest_at, *m_first_read_at);
    }
    for (const lease_topic_entry& placed : records) {
        apply_record(placed);
    }
    const bool has_gap = !records.empty() && records.front().offset > m_end.offset;
    if (has_gap && records.back().record.era != end.era) {
        // A late record of an earlier era hides which records of this era precede it.
        m_latest.reset();
        m_latest_at = m_time->now();
    }
    m_end = end;
    m_needs_read = false;
    m_last_read_at = m_time->now();
    // An append with an unknown result that is not in the topic yet may still arrive. It is then treated like a record
    // of another candidate.
    m_pending.reset();
}

void store_lease::on_era_changed(std::uint64_t era) {
    if (era <= m_end.era) {
        return;
    }
    m_end = {.era = era, .offset = 0};
    m_has_read_earlier_era = m_has_read_earlier_era || m_first_read_at.has_value();
    m_latest.reset();
    m_first_read_at.reset();
    m_last_read_at.reset();
    // Whether it was appended does not matter any more: a record of an earlier era grants nothing.
    m_pending.reset();
    // Other candidates need not read while heartbeats of the holder arrive.
    m_needs_read = is_held();
}

store_lease_record store_lease::start_append() {
    store_lease_record record{.holder = m_options.holder,
                              .incarnation = m_options.incarnation,
                              .renewed_fencing_number = {},
                              .era = m_end.era};
    std::optional<held_lease> continued;
    if (!is_held()) {
        m_held.reset();
    } else if (is_held_from_earlier_era() && !m_is_resigning) {
        continued = m_held;
    } else {
        record.renewed_fencing_number = m_held->fencing_number;
        record.is_release = m_is_resigning;
    }
    m_pending = {.record = record, .sent_at = m_time->now_with_suspension(), .continued = continued};
    m_last_sent_at = m_time->now();
    if (record.is_release) {
        // No call may be made under the lease from now on, even if the release record is lost.
        m_held.reset();
    }
    return record;
}

void store_lease::on_appended() {
    if (!m_pending) {
        m_needs_read = true;
        return;
    }
    apply_record({.offset = m_end.offset, .record = m_pending->record});
    m_pending.reset();
    ++m_end.offset;
    m_last_read_at = m_time->now();
}

void store_lease::on_conflict() {
    m_pending.reset();
    m_needs_read = true;
}

void store_lease::on_result_unknown() {
    m_needs_read = true;
}

void store_lease::record_holder_heartbeat() {
    m_heartbeat_at = m_time->now();
    m_latest_at = m_time->now();
}

void store_lease::on_superseded() {
    m_held.reset();
    m_needs_read = true;
}

std::optional<std::uint64_t> store_lease::get_fencing_number() const {
    if (!m_held || m_is_resigning) {
        return std::nullopt;
    }
    const steady_time now = m_time->now_with_suspension();
    if (now < m_held->may_act_from || now + m_options.min_time_left >= m_held->expires_at) {
        return std::nullopt;
    }
    return m_held->fencing_number;
}

bool store_lease::is_held() const {
    return m_held && m_time->now_with_suspension() < m_held->expires_at;
}

std::optional<std::uint64_t> store_lease::get_term() const {
    return is_held() ? std::optional(m_held->term) : std::nullopt;
}

bool store_lease::is_own(const store_lease_record& record) const {
    return record.holder == m_options.holder && record.incarnation == m_options.incarnation;
}

bool store_lease::is_latest_own() const {
    return m_latest && is_own(m_latest->record);
}

bool store_lease::is_holder_unknown() const {
    // Only before the first return does an empty topic show that nobody has held the lease.
    return !m_latest && (m_has_read_earlier_era || m_end.era > max_first_log_era);
}

bool store_lease::is_held_from_earlier_era() const {
    return m_held && m_held->era != m_end.era;
}

std::optional<steady_time> store_lease::get_vacant_since() const {
    if (!m_latest && !is_holder_unknown()) {
        return m_first_read_at;
    }
    if (m_latest && m_latest->record.is_release) {
        return m_latest_at;
    }
    // This uses the clock without suspension: the holder may have renewed the lease while this host was suspended.
    const steady_time expires_at_latest = m_latest_at + m_options.length + m_options.margin;
    return m_time->now() >= expires_at_latest ? std::optional(expires_at_latest) : std::nullopt;
}

void store_lease::apply_record(const lease_topic_entry& placed) {
    if (placed.record.era != m_end.era) {
        return;
    }
    const bool is_pending = m_pending && m_pending->record == placed.record;
    const bool is_late_renewal = m_held && is_own(placed.record) &&
                                 placed.record.renewed_fencing_number == m_held->fencing_number &&
                                 !placed.record.is_release;
    if (is_pending) {
        apply_own_record(placed.offset, placed.record);
    } else if (!is_late_renewal) {
        m_held.reset();
    }
    m_latest = placed;
    // A record of this candidate that is read only now was sent earlier, and its lease lasts from then on.
    m_latest_at = is_latest_own() ? m_last_sent_at.value_or(m_time->now()) : m_time->now();
}

duration store_lease::get_takeover_delay_left() const {
    if (is_latest_own() || (!m_latest && !is_holder_unknown())) {
        // There is no previous holder to keep a distance from.
        return duration::zero();
    }
    const bool is_released = m_latest && m_latest->record.is_release;
    const duration lease_left = is_released ? duration::zero() : m_options.length;
    const steady_time last_act_of_previous = m_latest_at + lease_left;
    return std::max(duration::zero(), last_act_of_previous + m_options.takeover_delay - m_time->now());
}

void store_lease::apply_own_record(std::uint64_t offset, const store_lease_record& record) {
    if (record.is_release) {
        m_held.reset();
        return;
    }
    const steady_time expires_at = m_pending->sent_at + m_options.length;
    if (record.renewed_fencing_number) {
        if (m_held && m_held->fencing_number == *record.renewed_fencing_number) {
            m_held->expires_at = expires_at;
        }
        return;
    }
    const std::optional<std::uint64_t> fencing_number = make_fencing_number({.era = record.era, .offset = offset});
    if (!fencing_number) {
        m_held.reset();
        return;
    }
    const std::optional<held_lease>& continued = m_pending->continued;
    const steady_time may_act_from = m_time->now_with_suspension() + get_takeover_delay_left();
    m_held = {.fencing_number = *fencing_number,
              .term = continued ? continued->term : *fencing_number,
              .era = record.era,
              .expires_at = expires_at,
              .may_act_from = continued ? continued->may_act_from : may_act_from};
}

} // namespace dragonflywell::coordination
