#include "server_limit_simulation.hpp"

#include <algorithm>
#include <utility>

#include "core/hash.hpp"

namespace dragonflywell::testing {

namespace {

constexpr duration tick_length = std::chrono::milliseconds(1);
constexpr std::int64_t round_ticks = 1000;
constexpr std::int64_t digest_ticks = 25;
constexpr std::size_t max_group_size = 25;
constexpr std::size_t max_reports = 64;
constexpr std::uint64_t server_incarnation = 7;
constexpr std::size_t max_tries = 3;
constexpr duration max_request_wait = std::chrono::milliseconds(100);
/// The rule: in any span of this length at most this multiple of what the limit allows, and so many requests more, from
/// hosts that were told so long before.
constexpr std::int64_t rule_span_ticks = 4000;
constexpr double rule_multiple = 1.5;
constexpr double rule_extra = 5;
constexpr std::int64_t rule_told_ticks = 500;

double get_allowed(double limit) {
    constexpr double span_seconds = 4;
    return rule_multiple * span_seconds * limit + rule_extra;
}

} // namespace

server_limit_simulation::server_limit_simulation(server_limit_simulation_options options)
    : quota_simulation(options.fleet), m_options(std::move(options)), m_servers(m_options.servers),
      m_limited(m_options.fleet.hosts) {
    for (std::size_t server = 0; server < m_servers.size(); ++server) {
        m_servers[server].name = backend_server_name(get_server_name(server));
        m_servers[server].subject = quota_subject(get_server_name(server));
    }
    for (std::size_t host = 0; host < m_limited.size(); ++host) {
        server_limit_simulation::begin_process(host);
    }
}

void server_limit_simulation::begin_process(std::size_t host) {
    limited_host& own = m_limited[host];
    own = {};
    const std::uint64_t origin = get_stable_hash(std::to_string(host) + "/" + std::to_string(get_incarnation(host)));
    own.table = std::make_unique<policy::server_limit_table>(policy::server_limit_table_options{.origin = origin});
    std::map<backend_server_name, std::uint64_t> listed;
    for (const simulated_server& server : m_servers) {
        listed.emplace(server.name, server_incarnation);
    }
    own.table->retain(std::move(listed));
}

void server_limit_simulation::set_limit(std::size_t server, std::optional<double> limit) {
    simulated_server& own = m_servers[server];
    if (own.limit) {
        own.earlier.emplace_back(*own.limit, get_tick());
    }
    own.limit = limit;
    own.of_told_this.clear();
    if (!limit) {
        own.first_named_at.reset();
        own.of_told.clear();
        own.earlier.clear();
    }
    for (limited_host& host : m_limited) {
        std::erase_if(host.told_at[server], [&](const auto& told) { return !limit || told.first <= *limit; });
    }
    if (limit && !own.first_named_at) {
        own.first_named_at = get_tick();
    }
}

void server_limit_simulation::place(std::size_t host, std::vector<std::size_t> tried) {
    std::vector<std::size_t> candidates;
    for (std::size_t server = 0; server < m_servers.size(); ++server) {
        const bool is_reachable = !are_cut(get_zone(host), server % get_options().zones);
        const bool is_tried = std::find(tried.begin(), tried.end(), server) != tried.end();
        if (is_reachable && !is_tried && !get_node(host).has_no_room(m_servers[server].subject, 1, now(host))) {
            candidates.push_back(server);
        }
    }
    if (candidates.empty() || tried.size() >= max_tries) {
        ++m_counts.refused;
        return;
    }
    const std::size_t server = candidates[draw(candidates.size())];
    const policy::quota_decision decision =
        get_node(host).check(m_servers[server].subject, 1, now(host) + max_request_wait, now(host));
    tried.push_back(server);
    if (decision.answer == policy::quota_answer::admitted) {
        open(host, server);
    } else if (decision.answer == policy::quota_answer::waiting) {
        m_limited[host].waiting.emplace(decision.ticket, waiting_request{.server = server, .tried = std::move(tried)});
        set_due(host);
    } else {
        place(host, std::move(tried));
    }
}

void server_limit_simulation::settle(std::size_t host, const policy::quota_decision& decision) {
    const auto found = m_limited[host].waiting.find(decision.ticket);
    if (found == m_limited[host].waiting.end()) {
        return;
    }
    waiting_request request = std::move(found->second);
    m_limited[host].waiting.erase(found);
    if (decision.answer == policy::quota_answer::admitted) {
        open(host, request.server);
    } else {
        place(host, std::move(request.tried));
    }
}

void server_limit_simulation::push(event next, std::size_t min_delay, std::size_t max_delay) {
    next.tick = get_tick() + static_cast<std::int64_t>(min_delay + draw(max_delay - min_delay + 1));
    next.number = ++m_number;
    m_events.push(next);
}

void server_limit_simulation::open(std::size_t host, std::size_t server) {
    push({.kind = event_kind::arrival,
          .host = host,
          .incarnation = get_incarnation(host),
          .server = server,
          .sent_at = get_tick()},
         1, draw_late(m_options.late_requests) ? 1000 : 20);
}

void server_limit_simulation::arrive(const event& request) {
    simulated_server& server = m_servers[request.server];
    if (are_cut(get_zone(request.host), request.server % get_options().zones)) {
        return;
    }
    ++m_counts.served;
    const limited_host& host = m_limited[request.host];
    if (was_told(host, request.server, policy::max_server_limit)) {
        server.of_told.push_back(get_tick());
    }
    if (server.limit && was_told(host, request.server, *server.limit)) {
        server.of_told_this.push_back(get_tick());
    }
    event next = request;
    next.kind = event_kind::answer;
    push(next, 20, 400);
}

void server_limit_simulation::answer(const event& request) {
    event response = request;
    response.kind = event_kind::response;
    response.limit = m_servers[request.server].limit;
    push(response, 1, draw_late(m_options.late_responses) ? 1500 : 20);
}

void server_limit_simulation::respond(const event& response) {
    if (!is_running(response.host) || get_incarnation(response.host) != response.incarnation) {
        return;
    }
    if (get_frozen_until(response.host) > get_tick()) {
        event later = response;
        later.tick = get_frozen_until(response.host);
        m_events.push(later);
        return;
    }
    limited_host& own = m_limited[response.host];
    const steady_time sent_at = now(response.host) - (get_tick() - response.sent_at) * tick_length;
    if (response.limit && m_servers[response.server].limit) {
        own.told_at[response.server].try_emplace(*response.limit, get_tick());
    }
    const policy::limit_change change = own.table->record_response(m_servers[response.server].name, server_incarnation,
                                                                   response.limit, sent_at, now(response.host));
    if (change == policy::limit_change::changed) {
        own.has_news = true;
        update_limits(response.host);
    }
}

void server_limit_simulation::update_limits(std::size_t host) {
    limited_host& own = m_limited[host];
    const std::map<backend_server_name, double> known = own.table->get_limits(now(host));
    policy::quota_limits limits;
    for (std::size_t server = 0; server < m_servers.size(); ++server) {
        const auto found = known.find(m_servers[server].name);
        if (found == known.end()) {
            continue;
        }
        limits.emplace(m_servers[server].subject, policy::make_server_limit(found->second));
        if (m_servers[server].limit) {
            own.told_at[server].try_emplace(found->second, get_tick());
        }
    }
    get_node(host).set_limits(limits, now(host));
    set_due(host);
}

void server_limit_simulation::apply_reports(std::size_t host, const limit_reports& reports, duration held_for) {
    limited_host& own = m_limited[host];
    bool has_changed = false;
    for (policy::server_limit_report report : reports) {
        report.named_age += held_for;
        if (report.ended_age) {
            *report.ended_age += held_for;
        }
        has_changed |= own.table->apply(report, now(host)) == policy::limit_change::changed;
    }
    if (has_changed) {
        own.has_news = true;
        update_limits(host);
    }
}

std::pair<std::size_t, std::size_t> server_limit_simulation::get_group(std::size_t host) const {
    return {get_zone(host), host / get_options().zones / max_group_size};
}

bool server_limit_simulation::leads_group(std::size_t host) const {
    for (std::size_t other = 0; other < host; ++other) {
        if (is_running(other) && get_frozen_until(other) <= get_tick() && get_group(other) == get_group(host)) {
            return false;
        }
    }
    return true;
}

void server_limit_simulation::send_reports(std::size_t host) {
    limited_host& own = m_limited[host];
    const std::int64_t phase = get_tick() + static_cast<std::int64_t>(host) * 7;
    const bool is_round = phase % round_ticks == 0;
    if (!m_options.sends_reports || !(is_round || (own.has_news && phase % digest_ticks == 0))) {
        return;
    }
    own.has_news = false;
    update_limits(host);
    const limit_reports reports = own.table->get_reports(now(host), max_reports);
    if (reports.empty()) {
        return;
    }
    const bool leads = is_round && leads_group(host);
    for (std::size_t other = 0; other < m_limited.size(); ++other) {
        if (other != host && (leads || get_group(other) == get_group(host))) {
            send(host, other, reports);
        }
    }
}

bool server_limit_simulation::was_told(const limited_host& host, std::size_t server, double limit) const {
    const auto found = host.told_at.find(server);
    return found != host.told_at.end() &&
           std::any_of(found->second.begin(), found->second.end(), [&](const auto& told) {
               return told.first <= limit && told.second + rule_told_ticks <= get_tick();
           });
}

void server_limit_simulation::judge(simulated_server& server) {
    for (std::deque<std::int64_t>* counted : {&server.of_told, &server.of_told_this}) {
        while (!counted->empty() && counted->front() <= get_tick() - rule_span_ticks) {
            counted->pop_front();
        }
    }
    // No host was told of the present limit half a second before, in a span that began sooner after the change.
    while (!server.earlier.empty() && server.earlier.front().second <= get_tick() - rule_span_ticks - rule_told_ticks) {
        server.earlier.pop_front();
    }
    if (!server.limit || get_tick() < *server.first_named_at + m_options.contact / tick_length) {
        return;
    }
    double largest = *server.limit;
    for (const auto& [earlier, until] : server.earlier) {
        largest = std::max(largest, earlier);
    }
    const double excess = static_cast<double>(server.of_told_this.size()) - get_allowed(*server.limit);
    const double excess_of_all = static_cast<double>(server.of_told.size()) - get_allowed(largest);
    m_worst_excess = std::max({m_worst_excess, excess, excess_of_all});
}

void server_limit_simulation::act() {
    while (!m_events.empty() && m_events.top().tick <= get_tick()) {
        event next = m_events.top();
        m_events.pop();
        if (next.kind == event_kind::arrival) {
            arrive(next);
        } else if (next.kind == event_kind::answer) {
            answer(next);
        } else {
            respond(next);
        }
    }
    for (std::size_t arrivals = draw_arrivals(m_demand / round_ticks); arrivals > 0; --arrivals) {
        const std::size_t host = draw(m_limited.size());
        if (is_running(host) && get_frozen_until(host) <= get_tick() && !m_options.idle.contains(host)) {
            place(host, {});
        }
    }
    for (std::size_t host = 0; host < m_limited.size(); ++host) {
        if (is_running(host) && get_frozen_until(host) <= get_tick()) {
            send_reports(host);
        }
    }
    for (simulated_server& server : m_servers) {
        judge(server);
    }
}

double server_limit_simulation::take_worst_excess() {
    return std::exchange(m_worst_excess, -1e9);
}

server_limit_simulation::request_counts server_limit_simulation::take_request_counts() {
    return std::exchange(m_counts, {});
}

std::size_t server_limit_simulation::count_limiting_hosts(std::size_t server) const {
    std::size_t count = 0;
    for (std::size_t host = 0; host < m_limited.size(); ++host) {
        count += is_running(host) && m_limited[host].table->get_limits(now(host)).contains(m_servers[server].name);
    }
    return count;
}

} // namespace dragonflywell::testing
