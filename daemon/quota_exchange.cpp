#include "daemon/quota_exchange.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace dragonflywell::daemon {

using boost::asio::ip::udp;
using gossip::datagram_kind;

namespace {

bool is_of_servers(gossip::quota_subjects subjects) {
    return subjects == gossip::quota_subjects::servers;
}

} // namespace

quota_exchange::quota_exchange(boost::asio::io_context& loop, servers::shared_quotas& quotas,
                               gossip::quota_subjects subjects, const clock_source& time, gossip::datagram_queue& queue,
                               policy::owner_candidate own, std::function<void()> send)
    : m_quotas(&quotas), m_subjects(subjects),
      m_request_kind(is_of_servers(subjects) ? datagram_kind::limit_request : datagram_kind::quota_request),
      m_grant_kind(is_of_servers(subjects) ? datagram_kind::limit_grant : datagram_kind::quota_grant), m_time(&time),
      m_queue(&queue), m_own(std::move(own)), m_send(std::move(send)), m_timer(loop) {}

void quota_exchange::start() {
    m_quotas->on_change = [this] { poll(); };
    poll();
}

void quota_exchange::add_host(const listed_host& host) {
    m_hosts[host.name] = {.address =
                              udp::endpoint(boost::asio::ip::make_address(host.address.address), host.address.port),
                          .core_thousandths = host.core_thousandths};
}

void quota_exchange::update_hosts() {
    std::vector<policy::owner_candidate> listed{m_own};
    for (const auto& [name, host] : m_hosts) {
        listed.push_back({.host = name, .core_thousandths = host.core_thousandths});
    }
    m_quotas->set_hosts(listed);
}

bool quota_exchange::apply(const boost::json::object& message) {
    if (gossip::is_quota_request(message, m_subjects)) {
        apply_request(gossip::decode_quota_request(message, m_subjects));
        return true;
    }
    if (!gossip::is_quota_grant(message, m_subjects)) {
        return false;
    }
    const policy::quota_grant grant = gossip::decode_quota_grant(message, m_subjects);
    if (m_hosts.contains(grant.owner)) {
        m_quotas->apply(grant);
    }
    return true;
}

void quota_exchange::apply_request(const policy::quota_request& request) {
    if (!m_hosts.contains(request.host)) {
        return;
    }
    if (const std::optional<policy::quota_grant> answer = m_quotas->apply(request)) {
        put(m_grant_kind, gossip::encode_quota_grant(*answer, m_subjects), request.host);
        m_send();
    }
}

void quota_exchange::put(datagram_kind kind, std::string text, const std::string& host) {
    if (const auto found = m_hosts.find(host); found != m_hosts.end()) {
        m_queue->put(kind, std::move(text), {found->second.address});
    }
}

void quota_exchange::poll() {
    constexpr duration max_pause = std::chrono::seconds(1);
    // Also without quotas, since requests may still wait when the last one is removed.
    const std::vector<policy::outgoing_quota_request> requests = m_quotas->poll();
    if (!m_quotas->has_quotas()) {
        m_timer.cancel();
        return;
    }
    for (const policy::outgoing_quota_request& outgoing : requests) {
        put(m_request_kind, gossip::encode_quota_request(outgoing.request, m_subjects), outgoing.owner);
    }
    if (!requests.empty()) {
        m_send();
    }
    const steady_time now = m_time->now_with_suspension();
    m_timer.expires_after(std::clamp(m_quotas->get_next_poll() - now, duration::zero(), max_pause));
    m_timer.async_wait([this](const servers::error_code& fault) {
        if (!fault) {
            poll();
        }
    });
}

} // namespace dragonflywell::daemon
