#include "policy/server_limit_table.hpp"

#include <algorithm>
#include <utility>

#include "policy/quota_limit.hpp"

namespace dragonflywell::policy {

namespace {

/// By how much reports may be late beyond what the receiver finds.
constexpr duration max_lateness = std::chrono::seconds(2);
/// Responses that arrive within such a time at different hosts may have been sent in either order. The smaller limit
/// counts.
constexpr duration overlap = std::chrono::milliseconds(500);
/// Number of namings of a server whose times are kept.
constexpr std::size_t max_namings = 16;
/// For how long a changed limit precedes others in reports: two rounds to other groups.
constexpr duration recent_change = std::chrono::seconds(2);

} // namespace

void server_limit_table::retain(std::map<backend_server_name, std::uint64_t> listed) {
    m_listed = std::move(listed);
    std::erase_if(m_beliefs, [this](const auto& item) { return !is_listed(item.first, item.second.incarnation); });
}

bool server_limit_table::is_listed(const backend_server_name& server, std::uint64_t incarnation) const {
    const auto found = m_listed.find(server);
    return found != m_listed.end() && found->second == incarnation;
}

server_limit_table::belief* server_limit_table::find(const backend_server_name& server) {
    const auto found = m_beliefs.find(server);
    return found == m_beliefs.end() ? nullptr : &found->second;
}

steady_time server_limit_table::get_first_time(belief& known, std::uint64_t naming, steady_time named_at) {
    for (naming_time& heard : known.namings) {
        if (heard.naming == naming) {
            heard.at = std::min(heard.at, named_at);
            return heard.at;
        }
    }
    known.namings.push_back({.naming = naming, .at = named_at});
    if (known.namings.size() > max_namings) {
        known.namings.pop_front();
    }
    return named_at;
}

bool server_limit_table::is_in_force(const belief& known, steady_time now) const {
    const steady_time named_at = std::max(known.named_at, known.other_named_at);
    return (!known.ended_at || *known.ended_at <= named_at) && now < known.named_at + m_options.expiry;
}

limit_change server_limit_table::record_response(const backend_server_name& server, std::uint64_t incarnation,
                                                 std::optional<double> limit, steady_time sent_at, steady_time now) {
    if (limit && !is_valid_server_limit(*limit)) {
        return limit_change::invalid;
    }
    if (!is_listed(server, incarnation)) {
        return limit_change::none;
    }
    if (!limit) {
        return end(server, sent_at, now);
    }
    const server_limit_report naming{
        .server = server, .incarnation = incarnation, .limit = *limit, .naming = ++m_last_naming, .named_age = {}};
    return name(naming, true, sent_at, now, now);
}

limit_change server_limit_table::apply(const server_limit_report& report, steady_time now) {
    if (!is_valid_server_limit(report.limit) || report.named_age < duration::zero()) {
        return limit_change::invalid;
    }
    if (!is_listed(report.server, report.incarnation)) {
        return limit_change::none;
    }
    if (report.ended_age) {
        return end(report.server, now - *report.ended_age - max_lateness, now);
    }
    const steady_time named_at = now - report.named_age;
    return name(report, false, named_at - max_lateness, named_at, now);
}

limit_change server_limit_table::end(const backend_server_name& server, steady_time ended_at, steady_time now) {
    belief* const known = find(server);
    if (known == nullptr) {
        return limit_change::none;
    }
    const bool was_in_force = is_in_force(*known, now);
    known->ended_at = known->ended_at ? std::max(*known->ended_at, ended_at) : ended_at;
    if (is_in_force(*known, now) == was_in_force) {
        return limit_change::none;
    }
    known->changed_at = now;
    return limit_change::changed;
}

limit_change server_limit_table::name(const server_limit_report& naming, bool is_own, steady_time sent_at,
                                      steady_time named_at, steady_time now) {
    if (named_at + m_options.expiry <= now) {
        return limit_change::none;
    }
    belief* const known = find(naming.server);
    if (known == nullptr) {
        add(naming, named_at, now);
        return limit_change::changed;
    }
    named_at = get_first_time(*known, naming.naming, named_at);
    if (known->naming == naming.naming) {
        known->named_at = named_at;
        return limit_change::none;
    }
    const bool was_in_force = is_in_force(*known, now);
    const double limit_before = known->limit;
    const steady_time newest = std::max(known->named_at, known->other_named_at);
    const bool is_believed = !was_in_force                 ? is_own || named_at > newest
                             : naming.limit > known->limit ? sent_at > known->named_at
                             : naming.limit < known->limit ? is_own || named_at + overlap > known->named_at
                                                           : named_at > known->named_at;
    if (is_believed) {
        known->other_named_at = newest;
        known->limit = naming.limit;
        known->naming = naming.naming;
        known->named_at = named_at;
    } else {
        known->other_named_at = std::max(newest, named_at);
    }
    if (is_in_force(*known, now) == was_in_force && known->limit == limit_before) {
        return limit_change::none;
    }
    known->changed_at = now;
    return limit_change::changed;
}

void server_limit_table::add(const server_limit_report& naming, steady_time named_at, steady_time now) {
    if (m_beliefs.size() >= m_options.max_servers) {
        m_beliefs.erase(std::min_element(m_beliefs.begin(), m_beliefs.end(), [](const auto& left, const auto& right) {
            return left.second.named_at < right.second.named_at;
        }));
    }
    m_beliefs.emplace(naming.server, belief{.incarnation = naming.incarnation,
                                            .limit = naming.limit,
                                            .naming = naming.naming,
                                            .named_at = named_at,
                                            .other_named_at = {},
                                            .ended_at = std::nullopt,
                                            .changed_at = now,
                                            .reported_at = {},
                                            .namings = {{.naming = naming.naming, .at = named_at}}});
}

std::map<backend_server_name, double> server_limit_table::get_limits(steady_time now) const {
    std::map<backend_server_name, double> limits;
    for (const auto& [server, known] : m_beliefs) {
        if (is_in_force(known, now)) {
            limits.emplace(server, known.limit);
        }
    }
    return limits;
}

std::vector<server_limit_report> server_limit_table::get_reports(steady_time now, std::size_t max_reports) {
    std::erase_if(m_beliefs, [&](const auto& item) { return now >= item.second.named_at + m_options.expiry; });
    std::vector<std::pair<const backend_server_name, belief>*> order;
    order.reserve(m_beliefs.size());
    for (auto& item : m_beliefs) {
        order.push_back(&item);
    }
    const auto is_recent = [&](const belief& known) { return now < known.changed_at + recent_change; };
    std::stable_sort(order.begin(), order.end(), [&](const auto* left, const auto* right) {
        const bool is_left_recent = is_recent(left->second);
        if (is_left_recent != is_recent(right->second)) {
            return is_left_recent;
        }
        return is_left_recent ? left->second.changed_at > right->second.changed_at
                              : left->second.reported_at < right->second.reported_at;
    });
    order.resize(std::min(order.size(), max_reports));
    std::vector<server_limit_report> reports;
    reports.reserve(order.size());
    for (auto* item : order) {
        auto& [server, known] = *item;
        known.reported_at = now;
        reports.push_back({.server = server,
                           .incarnation = known.incarnation,
                           .limit = known.limit,
                           .naming = known.naming,
                           .named_age = now - known.named_at,
                           .ended_age = std::nullopt});
        if (!is_in_force(known, now)) {
            reports.back().ended_age = now - *known.ended_at;
        }
    }
    return reports;
}

} // namespace dragonflywell::policy
