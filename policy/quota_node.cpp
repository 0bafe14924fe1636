#include "policy/quota_node.hpp"

#include <algorithm>
#include <utility>

#include "core/hash.hpp"

namespace dragonflywell::policy {

namespace {

constexpr duration host_count_window = std::chrono::seconds(30);
constexpr duration count_interval = std::chrono::seconds(1);
constexpr duration probe_interval = std::chrono::seconds(1);

} // namespace

quota_node::quota_node(quota_node_options options)
    : m_options(std::move(options)), m_host_count(host_count_window), m_probed_at(m_options.started_at) {
    const quota_start start = m_options.is_first_start ? quota_start::first_start : quota_start::restart;
    m_parts.reserve(quota_parts);
    for (std::uint32_t index = 0; index < quota_parts; ++index) {
        m_parts.push_back({.account = quota_account({.host = m_options.host,
                                                     .incarnation = m_options.incarnation,
                                                     .part = index,
                                                     .start = start,
                                                     .started_at = m_options.started_at},
                                                    m_unresponsive),
                           .pool = quota_pool(m_options.host, m_options.incarnation, index)});
    }
}

std::uint32_t quota_node::find_part(const quota_subject& subject) {
    return static_cast<std::uint32_t>(get_stable_hash(subject.value()) % quota_parts);
}

void quota_node::set_quotas(const fleet_quotas& quotas, steady_time now) {
    quota_limits limits;
    for (const auto& [organisation, quota] : quotas) {
        limits.emplace(quota_subject(organisation.value()), make_quota_limit(quota, m_options.tolerance));
    }
    set_limits(limits, now);
}

void quota_node::set_limits(const quota_limits& limits, steady_time now) {
    std::vector<quota_limits> of_parts(quota_parts);
    for (const auto& [subject, limit] : limits) {
        of_parts[find_part(subject)].emplace(subject, limit);
    }
    for (std::size_t index = 0; index < m_parts.size(); ++index) {
        m_parts[index].account.set_limits(of_parts[index], now);
        m_parts[index].pool.set_limits(of_parts[index], now);
    }
    m_has_limits = !limits.empty();
}

void quota_node::set_hosts(const std::vector<owner_candidate>& hosts, steady_time now) {
    m_is_ready = true;
    // The hosts of the list before counted until now, also if there was nothing to poll for.
    m_host_count.observe(m_hosts.size(), now);
    m_hosts = hosts;
    m_counted_at = now;
    const std::size_t shares = std::max<std::size_t>(1, m_host_count.observe(hosts.size(), now));
    m_shares = shares;
    for (std::uint32_t index = 0; index < quota_parts; ++index) {
        m_parts[index].account.set_order(get_owner_order(hosts, index), shares, now);
        m_parts[index].pool.set_host_count(shares, now);
    }
    std::erase_if(m_unresponsive, [&](const std::string& host) {
        return std::none_of(hosts.begin(), hosts.end(),
                            [&](const owner_candidate& listed) { return listed.host == host; });
    });
}

quota_decision quota_node::check(const quota_subject& subject, double amount, steady_time wait_until, steady_time now) {
    return m_parts[find_part(subject)].account.check(subject, amount, wait_until, now);
}

quota_decision quota_node::try_take(const quota_subject& subject, double amount, steady_time now) {
    return m_parts[find_part(subject)].account.try_take(subject, amount, now);
}

bool quota_node::has_no_room(const quota_subject& subject, double amount, steady_time now) const {
    return m_parts[find_part(subject)].account.has_no_room(subject, amount, now);
}

duration quota_node::get_retry_after(const quota_subject& subject, double amount, steady_time now) const {
    return m_parts[find_part(subject)].account.get_retry_after(subject, amount, now);
}

quota_decision quota_node::refuse(const quota_subject& subject, double amount, steady_time now) {
    return m_parts[find_part(subject)].account.refuse(subject, amount, now);
}

std::vector<quota_decision> quota_node::take_decisions() {
    std::vector<quota_decision> decisions;
    for (part& own : m_parts) {
        for (const quota_decision& decision : own.account.take_decisions()) {
            decisions.push_back(decision);
        }
    }
    return decisions;
}

void quota_node::cancel(const quota_subject& subject, std::uint64_t ticket) {
    m_parts[find_part(subject)].account.cancel(ticket);
}

void quota_node::give_back(const quota_subject& subject, double amount, std::uint64_t session) {
    m_parts[find_part(subject)].account.give_back(subject, amount, session);
}

std::vector<outgoing_quota_request> quota_node::poll(steady_time now) {
    std::vector<outgoing_quota_request> requests;
    if (!m_is_ready || !m_has_limits) {
        return requests;
    }
    if (now >= m_counted_at + count_interval) {
        m_counted_at = now;
        const std::size_t shares = std::max<std::size_t>(1, m_host_count.observe(m_hosts.size(), now));
        if (shares != m_shares) {
            set_hosts(std::vector<owner_candidate>(m_hosts), now);
        }
    }
    for (part& own : m_parts) {
        std::optional<outgoing_quota_request> outgoing = own.account.poll(now);
        // An owner answers its own requests at once; the first answer calls for a second request.
        while (outgoing && outgoing->owner == m_options.host) {
            if (const std::optional<quota_grant> answer = own.pool.apply(outgoing->request, now)) {
                own.account.apply(*answer, now);
            }
            outgoing = own.account.poll(now);
        }
        if (outgoing) {
            requests.push_back(std::move(*outgoing));
        }
    }
    if (now >= m_probed_at + probe_interval) {
        m_probed_at = now;
        add_probes(requests);
    }
    return requests;
}

steady_time quota_node::get_next_poll(steady_time now) const {
    if (!m_is_ready || !m_has_limits) {
        return steady_time::max();
    }
    steady_time next = now + count_interval;
    for (const part& own : m_parts) {
        next = std::min(next, own.account.get_next_poll(now));
    }
    return next;
}

void quota_node::add_probes(std::vector<outgoing_quota_request>& requests) const {
    std::set<std::string> probed;
    for (std::uint32_t index = 0; index < quota_parts; ++index) {
        const quota_account& account = m_parts[index].account;
        if (!account.has_limits()) {
            continue;
        }
        for (const std::string& host : account.get_order()) {
            if (host == account.get_owner()) {
                break;
            }
            if (m_unresponsive.contains(host) && probed.insert(host).second) {
                quota_request probe;
                probe.host = m_options.host;
                probe.incarnation = m_options.incarnation;
                probe.part = index;
                requests.push_back({.owner = host, .request = std::move(probe)});
            }
        }
    }
}

std::optional<quota_grant> quota_node::apply(const quota_request& request, steady_time now) {
    if (!m_is_ready || request.part >= quota_parts) {
        return std::nullopt;
    }
    return m_parts[request.part].pool.apply(request, now);
}

void quota_node::apply(const quota_grant& grant, steady_time now) {
    m_unresponsive.erase(grant.owner);
    if (grant.part < quota_parts && grant.sequence != 0) {
        m_parts[grant.part].account.apply(grant, now);
    }
}

std::size_t quota_node::count_blocked(steady_time now) const {
    std::size_t blocked = 0;
    for (const part& own : m_parts) {
        blocked += own.account.count_blocked(now);
    }
    return blocked;
}

} // namespace dragonflywell::policy
