#include "servers/organisation_quotas.hpp"

#include <utility>

#include "core/log.hpp"
#include "core/log_event.hpp"
#include "servers/request_refused.hpp"

namespace dragonflywell::servers {

namespace {

constexpr duration not_ready_retry_after = std::chrono::milliseconds(500);
constexpr duration log_interval = std::chrono::seconds(1);

counter& get_request_counter(metrics_registry& metrics, const char* result) {
    return metrics.get_counter("dragonflywell_quota_requests_total", {{"result", result}});
}

} // namespace

organisation_quotas::organisation_quotas(asio::any_io_executor executor, const clock_source& time,
                                         metrics_registry& metrics, policy::quota_node_options options)
    : shared_quotas(std::move(executor), time, std::move(options),
                    {.grants = &metrics.get_counter("dragonflywell_quota_grants_total"),
                     .bookings = &metrics.get_counter("dragonflywell_quota_bookings_total"),
                     .exhausted = &metrics.get_gauge("dragonflywell_organisations_at_quota")}),
      m_log(get_logger("quotas")), m_admitted(&get_request_counter(metrics, "admitted")),
      m_waited(&get_request_counter(metrics, "waited")),
      m_refused_at_once(&get_request_counter(metrics, "refused_at_once")),
      m_refused_after_wait(&get_request_counter(metrics, "refused_after_wait")),
      m_not_ready(&get_request_counter(metrics, "not_ready")),
      m_given_back(&get_request_counter(metrics, "given_back")) {}

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
    get_node().set_quotas(m_quotas, get_time());
    notify_change();
}

asio::awaitable<quota_use> organisation_quotas::acquire(organisation_name organisation, double amount,
                                                        duration time_left) {
    if (!get_node().is_ready()) {
        m_not_ready->add();
        throw request_refused(policy::refusal_reason::not_ready, policy::request_outcome::not_run,
                              "this host has not read the list of hosts yet", not_ready_retry_after);
    }
    const quota_subject subject(organisation.value());
    const result made = co_await decide(subject, amount, time_left);
    m_waited->add(made.has_waited ? 1 : 0);
    if (made.decision.answer != policy::quota_answer::admitted) {
        refuse(organisation, made.decision.retry_after, made.has_waited ? *m_refused_after_wait : *m_refused_at_once);
    }
    m_admitted->add();
    co_return quota_use{.organisation = std::move(organisation), .amount = amount, .session = made.decision.session};
}

void organisation_quotas::refuse(const organisation_name& organisation, duration retry_after, counter& cause) {
    cause.add();
    log_refusal(organisation, retry_after);
    throw request_refused(policy::refusal_reason::over_quota, policy::request_outcome::not_run,
                          "the organisation has used its quota", retry_after);
}

void organisation_quotas::log_refusal(const organisation_name& organisation, duration retry_after) {
    const steady_time now = get_time();
    count_exhausted();
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
    get_node().give_back(quota_subject(use.organisation.value()), use.amount, use.session);
}

} // namespace dragonflywell::servers
