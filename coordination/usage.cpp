#include "coordination/usage.hpp"

#include <algorithm>

#include "core/json.hpp"

namespace dragonflywell::coordination {

usage_figures& usage_figures::operator+=(const usage_figures& other) noexcept {
    requests += other.requests;
    prompt_tokens += other.prompt_tokens;
    completion_tokens += other.completion_tokens;
    return *this;
}

usage_figures get_merged(const usage_figures& left, const usage_figures& right) noexcept {
    return {.requests = std::max(left.requests, right.requests),
            .prompt_tokens = std::max(left.prompt_tokens, right.prompt_tokens),
            .completion_tokens = std::max(left.completion_tokens, right.completion_tokens)};
}

void usage_meter::add(const usage_key& key, const usage_figures& amount) {
    const std::scoped_lock lock(m_mutex);
    m_counters[key] += amount;
}

usage_table usage_meter::get_unflushed() const {
    const std::scoped_lock lock(m_mutex);
    usage_table changed;
    for (const auto& [key, figures] : m_counters) {
        const auto flushed = m_flushed.find(key);
        if (flushed == m_flushed.end() || flushed->second != figures) {
            changed.emplace(key, figures);
        }
    }
    return changed;
}

void usage_meter::mark_flushed(const usage_table& written) {
    const std::scoped_lock lock(m_mutex);
    for (const auto& [key, figures] : written) {
        usage_figures& flushed = m_flushed[key];
        flushed = get_merged(flushed, figures);
    }
}

usage_table usage_meter::get_all() const {
    const std::scoped_lock lock(m_mutex);
    return m_counters;
}

record_draft make_usage_record(const writer_id& owner, const usage_table& counters) {
    boost::json::array rows;
    for (const auto& [key, figures] : counters) {
        rows.push_back({{"organisation", key.organisation.value()},
                        {"window", key.window},
                        {"requests", figures.requests},
                        {"prompt_tokens", figures.prompt_tokens},
                        {"completion_tokens", figures.completion_tokens}});
    }
    return {.type = std::string(usage_counters_type),
            .body = {{"host", owner.host}, {"incarnation", owner.incarnation}, {"rows", std::move(rows)}},
            .condition = {},
            .fence = {}};
}

void usage_fold::on_record(log_offset /*offset*/, const record& value) {
    if (value.type != usage_counters_type) {
        return;
    }
    const writer_id owner{.host = json::get_string(value.body, "host"),
                          .incarnation = json::get_unsigned(value.body, "incarnation")};
    usage_table decoded;
    for (const boost::json::value& item : json::get_array(value.body, "rows")) {
        const boost::json::object& row = json::as_object(item, "usage row");
        decoded[{.organisation = organisation_name(json::get_string(row, "organisation")),
                 .window = json::get_unsigned(row, "window")}] = {
            .requests = json::get_unsigned(row, "requests"),
            .prompt_tokens = json::get_unsigned(row, "prompt_tokens"),
            .completion_tokens = json::get_unsigned(row, "completion_tokens")};
    }
    for (const auto& [key, figures] : decoded) {
        usage_figures& merged = m_counters[owner][key];
        merged = get_merged(merged, figures);
    }
}

usage_table usage_fold::get_totals() const {
    usage_table totals;
    for (const auto& [owner, counters] : m_counters) {
        for (const auto& [key, figures] : counters) {
            totals[key] += figures;
        }
    }
    return totals;
}

} // namespace dragonflywell::coordination
