#include "coordination/usage.hpp"

#include <algorithm>

#include "core/json.hpp"

namespace dragonflywell::coordination {

usage_totals& usage_totals::operator+=(const usage_totals& other) noexcept {
    requests += other.requests;
    prompt_tokens += other.prompt_tokens;
    completion_tokens += other.completion_tokens;
    return *this;
}

usage_totals merge_usage_totals(const usage_totals& left, const usage_totals& right) noexcept {
    return {.requests = std::max(left.requests, right.requests),
            .prompt_tokens = std::max(left.prompt_tokens, right.prompt_tokens),
            .completion_tokens = std::max(left.completion_tokens, right.completion_tokens)};
}

void usage_meter::add(const usage_key& key, const usage_totals& amount) {
    const std::scoped_lock lock(m_mutex);
    if (m_closed_through && key.window <= *m_closed_through) {
        m_counters[{.organisation = key.organisation, .window = *m_closed_through + 1, .late_from = key.window}] +=
            amount;
        return;
    }
    m_counters[key] += amount;
}

usage_table usage_meter::get_unflushed() const {
    const std::scoped_lock lock(m_mutex);
    usage_table changed;
    for (const auto& [key, counts] : m_counters) {
        const auto flushed = m_flushed.find(key);
        if (flushed == m_flushed.end() || flushed->second != counts) {
            changed.emplace(key, counts);
        }
    }
    return changed;
}

void usage_meter::mark_flushed(const usage_table& written) {
    const std::scoped_lock lock(m_mutex);
    for (const auto& [key, counts] : written) {
        usage_totals& flushed = m_flushed[key];
        flushed = merge_usage_totals(flushed, counts);
    }
}

usage_totals usage_meter::get(const usage_key& key) const {
    const std::scoped_lock lock(m_mutex);
    const auto found = m_counters.find(key);
    return found == m_counters.end() ? usage_totals{} : found->second;
}

usage_table usage_meter::get_all() const {
    const std::scoped_lock lock(m_mutex);
    return m_counters;
}

void usage_meter::close(window_number through) {
    const std::scoped_lock lock(m_mutex);
    m_closed_through = std::max(m_closed_through.value_or(0), through);
}

void usage_meter::forget(window_number through) {
    const std::scoped_lock lock(m_mutex);
    const auto is_closed = [through](const auto& entry) { return entry.first.window <= through; };
    std::erase_if(m_counters, is_closed);
    std::erase_if(m_flushed, is_closed);
}

record_draft make_usage_record(const writer_id& owner, const usage_table& counters,
                               std::optional<window_number> closed_through) {
    boost::json::array rows;
    for (const auto& [key, counts] : counters) {
        boost::json::object row{{"organisation", key.organisation.value()},
                                {"window", key.window},
                                {"requests", counts.requests},
                                {"prompt_tokens", counts.prompt_tokens},
                                {"completion_tokens", counts.completion_tokens}};
        if (key.late_from) {
            row["late_from"] = *key.late_from;
        }
        rows.push_back(std::move(row));
    }
    boost::json::object body{{"host", owner.host}, {"incarnation", owner.incarnation}, {"rows", std::move(rows)}};
    if (closed_through) {
        body["closed_through"] = *closed_through;
    }
    return {.type = std::string(usage_counters_type), .body = std::move(body), .condition = {}, .fence = {}};
}

usage_counters_record parse_usage_record(const boost::json::object& body) {
    usage_counters_record parsed{
        .owner = {.host = json::get_string(body, "host"), .incarnation = json::get_unsigned(body, "incarnation")},
        .counters = {},
        .closed_through = {}};
    for (const boost::json::value& item : json::get_array(body, "rows")) {
        const boost::json::object& row = json::as_object(item, "usage row");
        usage_key key{.organisation = organisation_name(json::get_string(row, "organisation")),
                      .window = json::get_unsigned(row, "window")};
        if (row.contains("late_from")) {
            key.late_from = json::get_unsigned(row, "late_from");
        }
        parsed.counters[key] = {.requests = json::get_unsigned(row, "requests"),
                                .prompt_tokens = json::get_unsigned(row, "prompt_tokens"),
                                .completion_tokens = json::get_unsigned(row, "completion_tokens")};
    }
    if (body.contains("closed_through")) {
        parsed.closed_through = json::get_unsigned(body, "closed_through");
    }
    return parsed;
}

void usage_fold::on_record(log_offset /*offset*/, const record& value) {
    if (value.type != usage_counters_type) {
        return;
    }
    const usage_counters_record parsed = parse_usage_record(value.body);
    for (const auto& [key, counts] : parsed.counters) {
        usage_totals& merged = m_counters[parsed.owner][key];
        merged = merge_usage_totals(merged, counts);
    }
}

usage_table usage_fold::get_totals() const {
    usage_table totals;
    for (const auto& [owner, counters] : m_counters) {
        for (const auto& [key, counts] : counters) {
            totals[key] += counts;
        }
    }
    return totals;
}

} // namespace dragonflywell::coordination
