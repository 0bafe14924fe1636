#include "coordination/usage_window.hpp"

#include <algorithm>

#include "coordination/order.hpp"
#include "core/json.hpp"

namespace dragonflywell::coordination {

namespace {

constexpr std::string_view report_key_prefix = "usage-";

usage_totals get_difference(const usage_totals& counted, const usage_totals& taken) {
    return {.requests = counted.requests - taken.requests,
            .prompt_tokens = counted.prompt_tokens - taken.prompt_tokens,
            .completion_tokens = counted.completion_tokens - taken.completion_tokens};
}

usage_totals find_or_zero(const usage_table& table, const usage_key& key) {
    const auto found = table.find(key);
    return found == table.end() ? usage_totals{} : found->second;
}

std::vector<writer_id> parse_terminated(const boost::json::object& body) {
    std::vector<writer_id> terminated;
    for (const boost::json::value& item : json::get_array(body, "gone")) {
        const boost::json::object& row = json::as_object(item, "terminated incarnation");
        terminated.push_back(
            {.host = json::get_string(row, "host"), .incarnation = json::get_unsigned(row, "incarnation")});
    }
    return terminated;
}

} // namespace

boost::json::object encode_window_report(const window_report& report) {
    boost::json::array lines;
    for (const usage_line& line : report.lines) {
        boost::json::object row{{"organisation", line.organisation.value()},
                                {"requests", line.totals.requests},
                                {"prompt_tokens", line.totals.prompt_tokens},
                                {"completion_tokens", line.totals.completion_tokens}};
        if (line.late_from) {
            row["late_from"] = *line.late_from;
        }
        lines.push_back(std::move(row));
    }
    return {{"window", report.window}, {"lines", std::move(lines)}};
}

std::string get_report_key(window_number window) {
    return std::string(report_key_prefix) + std::to_string(window);
}

record_draft make_seal_record(window_number window, const std::vector<writer_id>& terminated,
                              const fencing_token& token, std::optional<log_offset> previous_seal) {
    boost::json::array terminated_rows;
    for (const writer_id& owner : terminated) {
        terminated_rows.push_back({{"host", owner.host}, {"incarnation", owner.incarnation}});
    }
    return {.type = std::string(usage_seal_type),
            .body = {{"window", window}, {"gone", std::move(terminated_rows)}},
            .condition = record_condition{.subject = std::string(usage_seal_subject), .supersedes = previous_seal},
            .fence = token};
}

void usage_window_fold::on_record(log_offset offset, const record& value) {
    if (value.type == usage_counters_type) {
        apply_counters(value);
    }
    if (value.type == usage_seal_type && value.fence && value.condition) {
        apply_seal(value);
    }
    if (value.type == order_intent_type) {
        const order intent = decode_order(value.body);
        if (intent.subject == usage_report_subject) {
            m_intents[offset] = json::get_unsigned(intent.body, "window");
        }
    }
    if (value.type == order_outcome_type) {
        apply_outcome(value);
    }
}

const window_report* usage_window_fold::get_unreported() const {
    return m_unreported.empty() ? nullptr : &m_unreported.begin()->second;
}

std::optional<window_number> usage_window_fold::get_next_window() const {
    std::optional<window_number> next;
    for (const auto& [name, owner] : m_owners) {
        for (const auto& [key, totals] : owner.counted) {
            if (totals == find_or_zero(owner.taken, key)) {
                continue;
            }
            const window_number target = m_last_sealed ? std::max(key.window, *m_last_sealed + 1) : key.window;
            next = next ? std::min(*next, target) : target;
        }
    }
    return next;
}

std::vector<writer_id> usage_window_fold::get_open_owners(window_number window) const {
    std::vector<writer_id> open;
    for (const auto& [name, owner] : m_owners) {
        if (!owner.closed_through || *owner.closed_through < window) {
            open.push_back(name);
        }
    }
    return open;
}

std::size_t usage_window_fold::get_size() const noexcept {
    std::size_t size = 0;
    for (const auto& [name, owner] : m_owners) {
        size += owner.counted.size();
    }
    return size;
}

void usage_window_fold::apply_counters(const record& value) {
    const usage_counters_record parsed = parse_usage_record(value.body);
    owner_counters& owner = m_owners[parsed.owner];
    for (const auto& [key, totals] : parsed.counters) {
        // The counters of a closed window may already be sealed and dropped; a late copy of them is not new usage.
        if (owner.closed_through && key.window <= *owner.closed_through) {
            continue;
        }
        usage_totals& counted = owner.counted[key];
        counted = merge_usage_totals(counted, totals);
    }
    if (parsed.closed_through) {
        owner.closed_through = std::max(owner.closed_through.value_or(0), *parsed.closed_through);
    }
    drop_settled_counters(owner);
}

void usage_window_fold::apply_seal(const record& value) {
    const window_number window = json::get_unsigned(value.body, "window");
    const std::vector<writer_id> terminated = parse_terminated(value.body);
    std::map<std::pair<organisation_name, std::optional<window_number>>, usage_totals> sums;
    for (auto& [name, owner] : m_owners) {
        for (const auto& [key, counted] : owner.counted) {
            const usage_totals taken = find_or_zero(owner.taken, key);
            if (key.window > window || counted == taken) {
                continue;
            }
            std::optional<window_number> late_from = key.late_from;
            if (!late_from && key.window < window) {
                late_from = key.window;
            }
            sums[{key.organisation, late_from}] += get_difference(counted, taken);
            owner.taken[key] = counted;
        }
    }
    m_last_sealed = window;
    window_report report{.window = window, .lines = {}};
    for (const auto& [line, totals] : sums) {
        report.lines.push_back({.organisation = line.first, .late_from = line.second, .totals = totals});
    }
    m_unreported[window] = std::move(report);
    for (const writer_id& name : terminated) {
        m_owners[name].closed_through = all_windows_closed;
    }
    for (auto& [name, owner] : m_owners) {
        drop_settled_counters(owner);
    }
}

void usage_window_fold::apply_outcome(const record& value) {
    const order_outcome outcome = decode_outcome(value.body);
    const auto found = m_intents.find(outcome.intent);
    if (found == m_intents.end()) {
        return;
    }
    if (outcome.outcome == send_outcome::applied || outcome.outcome == send_outcome::found_applied) {
        m_unreported.erase(found->second);
    }
    m_intents.erase(found);
}

void usage_window_fold::drop_settled_counters(owner_counters& owner) const {
    if (!owner.closed_through || !m_last_sealed) {
        return;
    }
    const window_number settled = std::min(*owner.closed_through, *m_last_sealed);
    std::erase_if(owner.counted, [&](const auto& entry) {
        const bool is_settled = entry.first.window <= settled && find_or_zero(owner.taken, entry.first) == entry.second;
        if (is_settled) {
            owner.taken.erase(entry.first);
        }
        return is_settled;
    });
}

} // namespace dragonflywell::coordination
