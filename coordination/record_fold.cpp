#include "coordination/record_fold.hpp"

#include "core/json.hpp"

namespace dragonflywell::coordination {

namespace {

constexpr std::string_view lease_subject_prefix = "lease/";

bool is_lease_change(const record& value) {
    return value.fence && (value.type == lease_renewal_type || value.type == lease_release_type);
}

} // namespace

std::string get_lease_subject(std::string_view scope) {
    return std::string(lease_subject_prefix) + std::string(scope);
}

record_status record_fold::apply(log_offset offset, const record& value) {
    if (is_duplicate(offset, value)) {
        return record_status::duplicate;
    }
    if (is_fenced(value)) {
        return record_status::fenced;
    }
    if (is_superseded(value)) {
        return record_status::superseded;
    }
    if (value.condition) {
        m_newest[value.condition->subject] = offset;
    }
    if (value.type == lease_acquisition_type) {
        apply_lease_acquisition(offset, value);
    }
    if (is_lease_change(value)) {
        apply_lease_change(offset, value);
    }
    return record_status::valid;
}

std::optional<log_offset> record_fold::get_newest(const std::string& subject) const {
    const auto found = m_newest.find(subject);
    return found == m_newest.end() ? std::nullopt : std::optional(found->second);
}

const lease_record* record_fold::get_lease(const std::string& scope) const {
    const auto found = m_leases.find(scope);
    return found == m_leases.end() ? nullptr : &found->second;
}

bool record_fold::is_duplicate(log_offset offset, const record& value) {
    const auto found = m_writers.find(value.writer);
    if (found != m_writers.end() && value.sequence <= found->second.sequence) {
        return true;
    }
    update_writer(offset, value);
    return false;
}

void record_fold::update_writer(log_offset offset, const record& value) {
    const auto [position, is_new] = m_writers.try_emplace(value.writer);
    if (!is_new) {
        m_writers_by_offset.erase(position->second.offset);
    }
    position->second = {.sequence = value.sequence, .offset = offset};
    m_writers_by_offset.emplace(offset, value.writer);
    if (m_writers.size() > max_tracked_writers) {
        const auto oldest = m_writers_by_offset.begin();
        m_writers.erase(oldest->second);
        m_writers_by_offset.erase(oldest);
    }
}

bool record_fold::is_fenced(const record& value) const {
    if (!value.fence) {
        return false;
    }
    const lease_record* lease = get_lease(value.fence->scope);
    if (lease == nullptr || lease->is_released || lease->token != *value.fence) {
        return true;
    }
    return is_lease_change(value) && value.writer != lease->holder;
}

bool record_fold::is_superseded(const record& value) const {
    return value.condition && get_newest(value.condition->subject) != value.condition->supersedes;
}

void record_fold::apply_lease_acquisition(log_offset offset, const record& value) {
    if (!value.condition || !value.condition->subject.starts_with(lease_subject_prefix)) {
        return;
    }
    const std::string scope = value.condition->subject.substr(lease_subject_prefix.size());
    m_leases[scope] = {.holder = value.writer,
                       .token = {.scope = scope, .number = offset},
                       .newest = offset,
                       .sequence = value.sequence,
                       .is_released = false};
}

void record_fold::apply_lease_change(log_offset offset, const record& value) {
    lease_record& lease = m_leases.at(value.fence->scope);
    lease.newest = offset;
    lease.sequence = value.sequence;
    lease.is_released = value.type == lease_release_type;
    m_newest[get_lease_subject(lease.token.scope)] = offset;
}

boost::json::object record_fold::save() const {
    boost::json::array writers;
    for (const auto& [writer, position] : m_writers) {
        writers.push_back({{"host", writer.host},
                           {"incarnation", writer.incarnation},
                           {"sequence", position.sequence},
                           {"offset", position.offset}});
    }
    boost::json::object newest;
    for (const auto& [subject, offset] : m_newest) {
        newest[subject] = offset;
    }
    boost::json::array leases;
    for (const auto& [scope, lease] : m_leases) {
        leases.push_back({{"scope", scope},
                          {"host", lease.holder.host},
                          {"incarnation", lease.holder.incarnation},
                          {"number", lease.token.number},
                          {"newest", lease.newest},
                          {"sequence", lease.sequence},
                          {"released", lease.is_released}});
    }
    return {{"writers", std::move(writers)}, {"newest", std::move(newest)}, {"leases", std::move(leases)}};
}

record_fold record_fold::restore(const boost::json::object& state) {
    record_fold fold;
    for (const boost::json::value& entry : json::get_array(state, "writers")) {
        const boost::json::object& object = json::as_object(entry, "writer");
        const writer_id writer{.host = json::get_string(object, "host"),
                               .incarnation = json::get_unsigned(object, "incarnation")};
        const writer_position position{.sequence = json::get_unsigned(object, "sequence"),
                                       .offset = json::get_unsigned(object, "offset")};
        fold.m_writers[writer] = position;
        fold.m_writers_by_offset[position.offset] = writer;
    }
    const boost::json::object& newest = json::get_object(state, "newest");
    for (const auto& [subject, offset] : newest) {
        fold.m_newest[std::string(subject)] = json::get_unsigned(newest, subject);
    }
    for (const boost::json::value& entry : json::get_array(state, "leases")) {
        const boost::json::object& object = json::as_object(entry, "lease");
        const std::string scope = json::get_string(object, "scope");
        fold.m_leases[scope] = {.holder = {.host = json::get_string(object, "host"),
                                           .incarnation = json::get_unsigned(object, "incarnation")},
                                .token = {.scope = scope, .number = json::get_unsigned(object, "number")},
                                .newest = json::get_unsigned(object, "newest"),
                                .sequence = json::get_unsigned(object, "sequence"),
                                .is_released = json::get_bool_or(object, "released", false)};
    }
    return fold;
}

} // namespace dragonflywell::coordination
