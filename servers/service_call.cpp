#include "servers/service_call.hpp"

#include "servers/backend_choice.hpp"
#include "servers/request_checks.hpp"

namespace dragonflywell::servers {

namespace {

constexpr double percent = 100;
constexpr std::size_t response_limit_bytes = 64ULL * 1024 * 1024;

/// Copies the response header of the service without the hop-by-hop headers.
http_response get_caller_response(const http::response_header<>& head) {
    http_response response(http::status(head.result_int()), 11);
    for (const auto& header : head) {
        const bool is_hop_by_hop =
            header.name() == http::field::connection || header.name() == http::field::keep_alive ||
            header.name() == http::field::transfer_encoding || header.name() == http::field::content_length;
        if (!is_hop_by_hop) {
            response.insert(header.name_string(), header.value());
        }
    }
    return response;
}

} // namespace

service_call::service_call(entry_context& context, const http_request& request, const fleet::service_route& route)
    : m_context(&context), m_request(&request), m_route(&route), m_arrived_at(context.time.now()),
      m_history(route.is_idempotent) {}

asio::awaitable<void> service_call::run(caller_channel& caller) {
    m_context->retries.add_request(m_context->time.now());
    const bool has_claim = !m_route->is_idempotent && has_idempotency_key(*m_request);
    http_response response;
    if (has_claim) {
        response = co_await run_claimed();
    } else {
        response = co_await exchange_with_retries();
    }
    response.set("x-dragonflywell-outcome", "completed");
    if (m_organisation && m_has_run) {
        const auto window = get_window(m_context->time.wall_now(), m_context->manifest.get()->content);
        m_context->usage.add({.organisation = *m_organisation, .window = window}, {.requests = 1});
    }
    m_context->counters.count_outcome(policy::request_outcome::completed);
    co_await caller.send(std::move(response));
}

asio::awaitable<http_response> service_call::run_claimed() {
    check_key(m_context->manifest.get()->content);
    m_claim.emplace(*m_context, *m_request, m_organisation.value_or(organisation_name()));
    std::optional<http_response> recorded = co_await m_claim->acquire();
    if (recorded) {
        co_return std::move(*recorded);
    }
    try {
        http_response response = co_await exchange_with_retries();
        m_claim->record_response(response);
        co_return response;
    } catch (const request_refused& refusal) {
        if (refusal.get_outcome() == policy::request_outcome::not_run) {
            m_claim->release_key();
        }
        throw;
    }
}

asio::awaitable<http_response> service_call::exchange_with_retries() {
    while (true) {
        // Each attempt reads the current manifest, so that a key that was revoked in the meantime stops the next
        // attempt.
        const std::shared_ptr<const active_manifest> manifest = m_context->manifest.get();
        const fleet::backend_server& server = prepare_attempt(*manifest);
        std::optional<exchange_failed_error> failure;
        try {
            co_return co_await exchange(server);
        } catch (const exchange_failed_error& fault) {
            failure = fault;
        }
        m_history.add_failure(server.name, failure->get_phase() == exchange_phase::after_send);
        if (!m_history.may_retry(m_context->limits.max_attempts)) {
            throw request_refused(policy::refusal_reason::backend_server_failed, m_history.get_outcome(),
                                  failure->what());
        }
        if (!m_context->retries.try_acquire_retry(m_context->time.now())) {
            throw request_refused(policy::refusal_reason::retry_budget_spent, m_history.get_outcome(), failure->what());
        }
        m_context->counters.count_retry(failure->get_reason());
    }
}

asio::awaitable<http_response> service_call::exchange(const fleet::backend_server& server) {
    const backend_load_table::reservation work(m_context->loads, server.name, 1);
    backend_exchange exchange(m_context->connections, server.address,
                              {.may_reuse_connection = m_route->is_idempotent,
                               .progress_timeout = m_context->limits.progress_timeout,
                               .deadline = m_arrived_at + m_context->limits.request_timeout});
    http_request request = make_backend_request(*m_request);
    request.set(http::field::host, format_endpoint(server.address));
    co_await exchange.start(request);
    http_response response = get_caller_response(exchange.get_head());
    response.body() = co_await exchange.read_rest(response_limit_bytes);
    m_has_run = true;
    co_return response;
}

const fleet::backend_server& service_call::prepare_attempt(const active_manifest& manifest) {
    if (m_context->time.now() - m_arrived_at >= m_context->limits.request_timeout) {
        throw request_refused(policy::refusal_reason::deadline_exceeded, m_history.get_outcome(),
                              "the deadline of this request has passed");
    }
    try {
        check_key(manifest.content);
        if (m_claim) {
            m_claim->check_start();
        }
        return choose_backend_server(*m_context, manifest.servers.get_instances(m_route->service),
                                     m_history.get_failed_servers(), get_work_requirements(manifest.content));
    } catch (const request_refused& refused) {
        // An earlier attempt may have run, so the outcome comes from the attempt history.
        throw request_refused(refused.get_reason(), m_history.get_outcome(), refused.what());
    }
}

void service_call::check_key(const fleet::manifest& manifest) {
    if (!m_route->is_public) {
        m_organisation = require_organisation(manifest, *m_request);
        check_cut_off(*m_context, manifest, *m_organisation);
    }
}

work_requirements service_call::get_work_requirements(const fleet::manifest& manifest) const {
    bool accepts_cheap = true;
    if (m_organisation) {
        const auto owner = manifest.organisations.find(*m_organisation);
        accepts_cheap = owner != manifest.organisations.end() && owner->second.accepts_cheap_servers;
    }
    return {.demand = {},
            .interruptibility = policy::get_work_class({.is_idempotent = m_route->is_idempotent,
                                                        .accepts_cheap_servers = accepts_cheap,
                                                        .was_interrupted = !m_history.get_failed_servers().empty()}),
            .tokens = 1,
            .max_cheap_share = static_cast<double>(manifest.prices.max_cheap_percent) / percent};
}

} // namespace dragonflywell::servers
