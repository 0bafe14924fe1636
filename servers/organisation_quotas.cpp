#include "servers/organisation_quotas.hpp"

#include <algorithm>
#include <utility>

#include "core/log.hpp"
#include "core/log_event.hpp"
#include "servers/request_refused.hpp"

namespace dragonflywell::servers {

namespace {

quota_subject get_subject(const organisation_name& organisation) {
    return quota_subject(organisation.value());
}

/// Longest wait of a request for other hosts.
constexpr duration max_quota_wait = std::chrono::milliseconds(100);
/// After the longest wait a decision is due at the next poll.
constexpr duration decision_margin = std::chrono::milliseconds(100);
constexpr duration not_ready_retry_after = std::chrono::milliseconds(500);
constexpr duration default_retry_after = std::chrono::seconds(1);
constexpr duration log_interval = std::chrono::seconds(1);

counter& get_request_counter(metrics_registry& metrics, const char* result) {
    return metrics.get_counter("dragonflywell_quota_requests_total", {{"result", result}});
}

} // namespace

organisation_quotas::organisation_quotas(asio::any_io_executor executor, const clock_source& time,
                                         metrics_registry& metrics, policy::quota_node_options options)
    : m_executor(std::move(executor)), m_time(&time), m_log(get_logger("quotas")), m_node(std::move(options)),
      m_admitted(&get_request_counter(metrics, "admitted")), m_waited(&get_request_counter(metrics, "waited")),
      m_refused_at_once(&get_request_counter(metrics, "refused_at_once")),
      m_refused_after_wait(&get_request_counter(metrics, "refused_after_wait")),
      m_not_ready(&get_request_counter(metrics, "not_ready")),
      m_given_back(&get_request_counter(metrics, "given_back")),
      m_grants(&metrics.get_counter("dragonflywell_quota_grants_total")),
      m_bookings(&metrics.get_counter("dragonflywell_quota_bookings_total")),
      m_at_quota(&metrics.get_gauge("dragonflywell_organisations_at_quota")) {}

void organisation_quotas::set_configuration(const fleet::serving_configuration& configuration) {
    policy::fleet_quotas quotas;
    for (const fleet::served_organisation& organisation : configuration.organisations) {
        if (organisation.quota) {
            quotas.emplace(organisation.name, *organisation.quota);
        }
    }
    if (quotas == m_quotas) {
        return;
    }
    m_quotas = std::move(quotas);
    std::erase_if(m_logged_at, [this](const auto& item) { return !m_quotas.contains(item.first); });
    m_node.set_quotas(m_quotas, m_time->now_with_suspension());
    notify_change();
}

void organisation_quotas::set_hosts(const std::vector<policy::owner_candidate>& hosts) {
    m_node.set_hosts(hosts, m_time->now_with_suspension());
    notify_change();
}

asio::awaitable<quota_use> organisation_quotas::acquire(organisation_name organisation, double amount,
                                                        duration time_left) {
    if (!m_node.is_ready()) {
        m_not_ready->add();
        throw request_refused(policy::refusal_reason::not_ready, policy::request_outcome::not_run,
                              "this host has not read the list of hosts yet", not_ready_retry_after);
    }
    const steady_time now = m_time->now_with_suspension();
    const steady_time wait_until = now + std::clamp(time_left, duration::zero(), max_quota_wait);
    policy::quota_decision decision = m_node.check(get_subject(organisation), amount, wait_until, now);
    const bool has_waited = decision.answer == policy::quota_answer::waiting;
    if (has_waited) {
        m_waited->add();
        const auto waiting = std::make_shared<waiting_request>(m_executor);
        m_waiting.emplace(decision.ticket, waiting);
        waiting->timer.expires_after(max_quota_wait + decision_margin);
        notify_change();
        if (!waiting->decision) {
            error_code ignored;
            co_await waiting->timer.async_wait(store_error(ignored));
        }
        m_waiting.erase(decision.ticket);
        if (waiting->decision) {
            decision = *waiting->decision;
        } else {
            m_node.cancel(get_subject(organisation), decision.ticket);
            decision.retry_after = default_retry_after;
        }
    }
    if (decision.answer != policy::quota_answer::admitted) {
        refuse(organisation, decision.retry_after, has_waited ? *m_refused_after_wait : *m_refused_at_once);
    }
    m_admitted->add();
    co_return quota_use{.organisation = std::move(organisation), .amount = amount, .session = decision.session};
}

void organisation_quotas::refuse(const organisation_name& organisation, duration retry_after, counter& cause) {
    cause.add();
    log_refusal(organisation, retry_after);
    throw request_refused(policy::refusal_reason::over_quota, policy::request_outcome::not_run,
                          "the organisation has used its quota", retry_after);
}

void organisation_quotas::log_refusal(const organisation_name& organisation, duration retry_after) {
    const steady_time now = m_time->now_with_suspension();
    m_at_quota->set(static_cast<std::int64_t>(m_node.count_blocked(now)));
    const auto [last, is_first] = m_logged_at.try_emplace(organisation, now);
    if (!is_first && now < last->second + log_interval) {
        return;
    }
    last->second = now;
    log_event("quota_reached")
        .add("organisation", organisation.value())
        .add("retry_after_ms", retry_after)
        .write(*m_log, spdlog::level::info);
}

void organisation_quotas::give_back(const quota_use& use) {
    m_given_back->add();
    m_node.give_back(get_subject(use.organisation), use.amount, use.session);
}

std::vector<policy::outgoing_quota_request> organisation_quotas::poll() {
    const steady_time now = m_time->now_with_suspension();
    std::vector<policy::outgoing_quota_request> requests = m_node.poll(now);
    for (const policy::quota_decision& decision : m_node.take_decisions()) {
        const auto found = m_waiting.find(decision.ticket);
        if (found != m_waiting.end()) {
            found->second->decision = decision;
            found->second->timer.cancel();
        }
    }
    m_at_quota->set(static_cast<std::int64_t>(m_node.count_blocked(now)));
    return requests;
}

steady_time organisation_quotas::get_next_poll() const {
    return m_node.get_next_poll(m_time->now_with_suspension());
}

std::optional<policy::quota_grant> organisation_quotas::apply(const policy::quota_request& request) {
    std::optional<policy::quota_grant> answer = m_node.apply(request, m_time->now_with_suspension());
    if (answer) {
        for (const policy::quota_allowance& allowance : answer->allowances) {
            m_grants->add(allowance.granted > 0 ? 1 : 0);
            m_bookings->add(allowance.booked_rate > 0 ? 1 : 0);
        }
    }
    return answer;
}

void organisation_quotas::apply(const policy::quota_grant& grant) {
    m_node.apply(grant, m_time->now_with_suspension());
    notify_change();
}

} // namespace dragonflywell::servers
