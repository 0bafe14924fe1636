#include "quota_simulation.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace dragonflywell::testing {

namespace {

constexpr duration tick_length = std::chrono::milliseconds(1);
constexpr std::int64_t ticks_per_second = 1000;
/// Interval at which a host without events looks at its timers.
constexpr std::int64_t poll_ticks = 10;
constexpr duration max_request_wait = std::chrono::milliseconds(100);

std::string get_name(std::size_t host) {
    return "host" + std::to_string(host);
}

std::size_t get_index(const std::string& name) {
    return std::stoul(name.substr(4));
}

} // namespace

quota_simulation::quota_simulation(quota_simulation_options options)
    : m_options(options), m_random(options.seed), m_hosts(options.hosts) {
    for (std::size_t host = 0; host < options.hosts; ++host) {
        m_list.push_back({.host = get_name(host)});
        m_hosts[host].clock_offset = std::chrono::milliseconds(1'000'000 + draw(1'000'000'000));
    }
    for (std::size_t host = 0; host < options.hosts; ++host) {
        start(host, true);
    }
}

steady_time quota_simulation::now(const simulated_host& host) const {
    return steady_time(host.clock_offset + m_tick * tick_length);
}

void quota_simulation::start(std::size_t host, bool is_first) {
    simulated_host& own = m_hosts[host];
    own.node = std::make_unique<policy::quota_node>(policy::quota_node_options{.host = get_name(host),
                                                                               .incarnation = own.incarnation,
                                                                               .tolerance = m_options.tolerance,
                                                                               .is_first_start = is_first,
                                                                               .started_at = now(own)});
    own.node->set_quotas(m_quotas, now(own));
    own.node->set_hosts(m_list, now(own));
}

void quota_simulation::set_quotas(const policy::fleet_quotas& quotas) {
    m_quotas = quotas;
    for (simulated_host& own : m_hosts) {
        if (own.node) {
            own.node->set_quotas(quotas, now(own));
        }
    }
}

void quota_simulation::kill(std::size_t host) {
    m_hosts[host].node.reset();
    m_hosts[host].held.clear();
    std::erase_if(m_waiting, [&](const auto& item) { return item.first.first == host; });
}

void quota_simulation::restart(std::size_t host) {
    kill(host);
    ++m_hosts[host].incarnation;
    start(host, false);
    begin_process(host);
}

void quota_simulation::freeze(std::size_t host, duration length) {
    m_hosts[host].frozen_until = m_tick + length / tick_length;
}

void quota_simulation::set_cut(std::size_t zone, bool is_cut) {
    if (is_cut) {
        m_cut_zones.insert(zone);
    } else {
        m_cut_zones.erase(zone);
    }
}

std::size_t quota_simulation::get_owner(const std::string& subject) const {
    return get_index(policy::get_owner_order(m_list, policy::quota_node::find_part(quota_subject(subject))).front());
}

void quota_simulation::send(std::size_t sender, std::size_t receiver, message content) {
    if (!std::holds_alternative<limit_reports>(content)) {
        ++m_hosts[sender].second.sent;
        ++m_total_sent;
    }
    if (are_cut(get_zone(sender), get_zone(receiver)) || draw_unit() < m_options.loss) {
        return;
    }
    const auto shared = std::make_shared<const message>(std::move(content));
    const std::size_t copies = draw_unit() < m_options.duplicated ? 2 : 1;
    for (std::size_t copy = 0; copy < copies; ++copy) {
        const bool is_late = draw_unit() < m_options.late || copy > 0;
        const std::int64_t delay = 1 + static_cast<std::int64_t>(is_late ? draw(1500) : 0);
        m_datagrams.push({.tick = m_tick + delay, .number = ++m_number, .receiver = receiver, .content = shared});
    }
}

void quota_simulation::deliver(std::size_t receiver, const held_message& arrived) {
    const message& content = *arrived.content;
    simulated_host& own = m_hosts[receiver];
    if (!own.node) {
        return;
    }
    own.second.received += std::holds_alternative<limit_reports>(content) ? 0 : 1;
    if (const auto* request = std::get_if<policy::quota_request>(&content)) {
        if (const std::optional<policy::quota_grant> answer = own.node->apply(*request, now(own))) {
            send(receiver, get_index(request->host), *answer);
        }
    } else if (const auto* grant = std::get_if<policy::quota_grant>(&content)) {
        own.node->apply(*grant, now(own));
        own.is_due = true;
    } else {
        apply_reports(receiver, std::get<limit_reports>(content), (m_tick - arrived.tick) * tick_length);
    }
}

void quota_simulation::pump(std::size_t host) {
    simulated_host& own = m_hosts[host];
    own.is_due = false;
    for (policy::outgoing_quota_request& outgoing : own.node->poll(now(own))) {
        send(host, get_index(outgoing.owner), std::move(outgoing.request));
    }
    for (const policy::quota_decision& decision : own.node->take_decisions()) {
        const auto found = m_waiting.find({host, decision.ticket});
        if (found == m_waiting.end()) {
            settle(host, decision);
            continue;
        }
        finish(found->second, decision);
        m_waiting.erase(found);
    }
}

void quota_simulation::arrive(std::size_t host, caller from) {
    simulated_host& own = m_hosts[host];
    if (!own.node || own.frozen_until > m_tick) {
        return;
    }
    from.sent_at = m_tick;
    const policy::quota_decision decision =
        own.node->check(quota_subject(from.organisation.value()), from.amount, now(own) + max_request_wait, now(own));
    if (decision.answer == policy::quota_answer::waiting) {
        m_waiting.emplace(std::pair(host, decision.ticket), from);
        own.is_due = true;
    } else {
        finish(from, decision);
    }
}

void quota_simulation::finish(const caller& from, const policy::quota_decision& decision) {
    organisation_state& state = m_organisations[from.organisation];
    state.count.repeated += from.is_repeat ? 1 : 0;
    state.count.longest_wait = std::max(state.count.longest_wait, (m_tick - from.sent_at) * tick_length);
    if (decision.answer == policy::quota_answer::admitted) {
        ++state.count.admitted;
        state.count.admitted_repeats += from.is_repeat ? 1 : 0;
        state.count.used += from.amount;
        state.tick_used += from.amount;
        return;
    }
    ++state.count.refused;
    if (m_demands[from.organisation].repeats) {
        m_repeats.push({.tick = m_tick + decision.retry_after / tick_length + 1, .organisation = from.organisation});
    }
}

void quota_simulation::record(organisation_state& state) const {
    state.window.push_back(state.tick_used);
    state.window_sum += std::exchange(state.tick_used, 0);
    if (state.window.size() > static_cast<std::size_t>(m_options.tolerance.window / tick_length)) {
        state.window_sum -= state.window.front();
        state.window.pop_front();
    }
    state.peak = std::max(state.peak, state.window_sum);
}

void quota_simulation::tick() {
    ++m_tick;
    while (!m_datagrams.empty() && m_datagrams.top().tick <= m_tick) {
        const datagram next = m_datagrams.top();
        m_datagrams.pop();
        simulated_host& receiver = m_hosts[next.receiver];
        if (receiver.frozen_until > m_tick) {
            receiver.held.push_back({.tick = m_tick, .content = next.content});
        } else {
            deliver(next.receiver, {.tick = m_tick, .content = next.content});
        }
    }
    while (!m_repeats.empty() && m_repeats.top().tick <= m_tick) {
        const organisation_name organisation = m_repeats.top().organisation;
        m_repeats.pop();
        const quota_demand& demand = m_demands[organisation];
        arrive(demand.hosts[draw(demand.hosts.size())],
               {.organisation = organisation, .amount = demand.amount, .is_repeat = true});
    }
    for (const auto& [organisation, demand] : m_demands) {
        const double expected = demand.rate / demand.amount / ticks_per_second;
        if (expected <= 0) {
            continue;
        }
        const int arrivals = std::poisson_distribution<int>(expected)(m_random);
        for (int request = 0; request < arrivals; ++request) {
            arrive(demand.hosts[draw(demand.hosts.size())], {.organisation = organisation, .amount = demand.amount});
        }
    }
    act();
    for (std::size_t host = 0; host < m_hosts.size(); ++host) {
        simulated_host& own = m_hosts[host];
        if (!own.node || own.frozen_until > m_tick) {
            continue;
        }
        while (!own.held.empty()) {
            const held_message arrived = own.held.front();
            own.held.pop_front();
            deliver(host, arrived);
        }
        if (own.is_due || (m_tick + static_cast<std::int64_t>(host)) % poll_ticks == 0) {
            pump(host);
        }
    }
    for (auto& [organisation, state] : m_organisations) {
        record(state);
    }
    if (m_tick % ticks_per_second == 0) {
        for (simulated_host& own : m_hosts) {
            m_peak_traffic.sent = std::max(m_peak_traffic.sent, own.second.sent);
            m_peak_traffic.received = std::max(m_peak_traffic.received, own.second.received);
            own.second = {};
        }
    }
}

void quota_simulation::run_for(duration length) {
    const std::int64_t end = m_tick + length / tick_length;
    while (m_tick < end) {
        tick();
    }
}

quota_simulation::counts quota_simulation::take_counts(const std::string& organisation) {
    return std::exchange(m_organisations[organisation_name(organisation)].count, {});
}

double quota_simulation::take_peak(const std::string& organisation) {
    organisation_state& state = m_organisations[organisation_name(organisation)];
    return std::exchange(state.peak, state.window_sum);
}

} // namespace dragonflywell::testing
