#include "servers/service_call.hpp"

#include "servers/backend_choice.hpp"
#include "servers/key_check.hpp"

namespace dragonflywell::servers {

namespace {

constexpr std::size_t answer_limit_bytes = 64ULL * 1024 * 1024;

policy::retry_reason get_retry_reason(const exchange_failed_error& failure) {
    if (failure.get_phase() == exchange_phase::before_send) {
        return policy::retry_reason::connect_failed;
    }
    if (failure.is_timeout()) {
        return policy::retry_reason::silent_backend_server;
    }
    return failure.was_reused() ? policy::retry_reason::stale_connection : policy::retry_reason::broken_answer;
}

/// Copies what the service said, without the headers that concern one connection only.
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
    : m_context(&context), m_request(&request), m_route(&route) {}

asio::awaitable<void> service_call::run(caller_channel& caller) {
    const bool is_claimed = !m_route->is_idempotent && has_idempotency_key(*m_request);
    http_response response;
    if (is_claimed) {
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
        m_claim->settle_done(response);
        co_return response;
    } catch (const request_refused& refusal) {
        if (refusal.get_outcome() == policy::request_outcome::not_run) {
            m_claim->settle_not_run();
        }
        throw;
    }
}

asio::awaitable<http_response> service_call::exchange_with_retries() {
    for (unsigned attempt = 1;; ++attempt) {
        // The manifest is read anew for each attempt, so that a key revoked in between stops the next one.
        const std::shared_ptr<const active_manifest> manifest = m_context->manifest.get();
        check_key(manifest->content);
        const fleet::backend_server& server = choose_server(manifest->content);
        if (m_claim) {
            m_claim->check_start();
        }
        std::optional<exchange_failed_error> failure;
        try {
            co_return co_await exchange(server);
        } catch (const exchange_failed_error& fault) {
            failure = fault;
        }
        const bool is_unsent = failure->get_phase() == exchange_phase::before_send;
        if (!is_unsent && !m_route->is_idempotent) {
            throw request_refused(policy::refusal_reason::backend_server_failed, policy::request_outcome::unknown,
                                  "the service broke off and the request may not be repeated");
        }
        if (attempt >= m_context->limits.most_attempts) {
            throw request_refused(policy::refusal_reason::backend_server_failed,
                                  is_unsent && attempt == 1 ? policy::request_outcome::not_run
                                                            : policy::request_outcome::unknown,
                                  failure->what());
        }
        m_context->counters.count_retry(get_retry_reason(*failure));
        m_tried.insert(server.name);
    }
}

asio::awaitable<http_response> service_call::exchange(const fleet::backend_server& server) {
    const backend_load_table::reservation work(m_context->loads, server.name, 1);
    backend_exchange exchange(
        m_context->connections, server.address,
        {.may_reuse = m_route->is_idempotent, .progress_deadline = m_context->limits.progress_deadline});
    http_request request = get_backend_request(*m_request);
    request.set(http::field::host, format_endpoint(server.address));
    co_await exchange.start(request);
    http_response response = get_caller_response(exchange.get_head());
    std::string_view piece = co_await exchange.read_some();
    while (!piece.empty()) {
        if (response.body().size() + piece.size() > answer_limit_bytes) {
            throw exchange_failed_error("answer is too large", exchange_phase::after_send, false, false);
        }
        response.body() += piece;
        piece = co_await exchange.read_some();
    }
    m_has_run = true;
    co_return response;
}

const fleet::backend_server& service_call::choose_server(const fleet::manifest& manifest) {
    const auto offers_service = [this](const fleet::backend_server& server) {
        const service_name* service = server.get_service();
        return service != nullptr && *service == m_route->service;
    };
    return choose_backend_server(*m_context, manifest, m_tried, offers_service);
}

void service_call::check_key(const fleet::manifest& manifest) {
    if (!m_route->is_open) {
        m_organisation = require_organisation(manifest, *m_request);
    }
}

} // namespace dragonflywell::servers
