#include "servers/model_call.hpp"

#include <algorithm>
#include <fmt/format.h>

#include "core/json.hpp"
#include "servers/backend_choice.hpp"
#include "servers/disconnect_subscription.hpp"
#include "servers/request_checks.hpp"
#include "servers/thread_random.hpp"

namespace dragonflywell::servers {

namespace {

constexpr std::string_view end_of_stream = "[DONE]";
constexpr std::size_t rejection_limit_bytes = 64 * 1024;
constexpr double percent = 100;
constexpr duration cancel_timeout = std::chrono::seconds(1);

/// Returns whether the status means that the request itself is invalid, so that every engine would reject it.
bool is_rejection(http::status status) {
    return status == http::status::bad_request || status == http::status::payload_too_large ||
           status == http::status::unprocessable_entity;
}

policy::retry_reason get_retry_reason(http::status status) {
    const bool is_busy = status == http::status::service_unavailable || status == http::status::too_many_requests;
    return is_busy ? policy::retry_reason::backend_server_busy : policy::retry_reason::broken_answer;
}

/// Returns whether only the connection may have failed, so that the engine may continue the stream.
bool may_be_connection_failure(policy::retry_reason reason) {
    return reason == policy::retry_reason::broken_answer || reason == policy::retry_reason::stale_connection ||
           reason == policy::retry_reason::silent_backend_server;
}

std::string make_stream_id() {
    std::mt19937_64& random = get_thread_random();
    return fmt::format("{:016x}{:016x}", random(), random());
}

} // namespace

model_call::model_call(entry_context& context, const http_request& request, organisation_name organisation)
    : m_context(&context), m_request(&request), m_organisation(std::move(organisation)),
      m_model_request(parse_model_request(request)), m_arrived_at(context.time.now()),
      m_response(m_model_request.shape, m_model_request.max_tokens) {
    // Unknown model names are not counted, because callers could otherwise grow the demand meter without bound.
    if (m_context->manifest.get()->content.models.contains(m_model_request.model)) {
        m_context->demand.add_arrival(get_demand_key(), m_model_request.estimated_prompt_tokens,
                                      m_model_request.max_tokens);
    }
}

asio::awaitable<void> model_call::run(caller_channel& caller) {
    std::exception_ptr failure;
    try {
        const std::unique_ptr<admission_controller::permit> permit = co_await admit(caller);
        co_await run_attempts(caller);
        co_await finish(caller);
    } catch (...) {
        failure = std::current_exception();
    }
    record_usage();
    if (failure) {
        std::rethrow_exception(failure);
    }
    m_context->counters.count_outcome(policy::request_outcome::completed);
    m_context->demand.add_response(get_demand_key(), m_delivered_tokens, m_model_request.max_tokens);
}

policy::demand_key model_call::get_demand_key() const {
    return {.organisation = m_organisation, .model = m_model_request.model, .service = {}};
}

asio::awaitable<std::unique_ptr<admission_controller::permit>> model_call::admit(caller_channel& caller) {
    m_context->retries.add_request(m_context->time.now());
    require_not_quarantined();
    const std::shared_ptr<const active_manifest> manifest = m_context->manifest.get();
    admission_request request{.model = m_model_request.model,
                              .organisation = m_organisation,
                              .cost = {.prefill_tokens = m_model_request.estimated_prompt_tokens,
                                       .decode_tokens = m_model_request.max_tokens}};
    if (const auto found = manifest->content.organisations.find(m_organisation);
        found != manifest->content.organisations.end()) {
        request.weight = std::max<std::uint32_t>(1, found->second.weight);
    }
    for (const fleet::backend_server* server : manifest->servers.get_engines(m_model_request.model)) {
        request.capacity_tokens += server->get_engine()->capacity_tokens;
    }
    co_return co_await m_context->admission.admit(std::move(request), caller);
}

void model_call::require_not_quarantined() const {
    if (m_context->suspects.is_refused(m_model_request.fingerprint, m_context->time.wall_now())) {
        throw request_refused(policy::refusal_reason::quarantined_request, m_history.get_outcome(),
                              "engines crashed repeatedly while they ran this request");
    }
}

void model_call::record_engine_crash() {
    m_context->suspects.record_crash({.fingerprint = m_model_request.fingerprint,
                                      .crash_id = get_thread_random()(),
                                      .moment = m_context->time.wall_now()});
    m_context->counters.count_suspect();
}

asio::awaitable<void> model_call::run_attempts(caller_channel& caller) {
    while (!m_response.is_complete() && !m_rejection) {
        require_time_left();
        require_not_quarantined();
        const std::shared_ptr<const active_manifest> manifest = m_context->manifest.get();
        const fleet::backend_server* server = nullptr;
        try {
            // The key is checked again before each dispatch, because it may have been revoked while the request waited.
            check_cut_off(*m_context, manifest->content, require_organisation(manifest->content, *m_request));
            server = &choose_engine(*manifest);
        } catch (const request_refused& refused) {
            // An earlier attempt may have run, so the outcome comes from the attempt history.
            throw request_refused(refused.get_reason(), m_history.get_outcome(), refused.what());
        }
        const std::optional<exchange_failed_error> failure = co_await run_on(*server, caller);
        if (!failure) {
            continue;
        }
        m_history.add_failure(server->name, failure->get_phase() == exchange_phase::after_send);
        if (!m_history.may_retry(m_context->limits.max_attempts)) {
            throw request_refused(policy::refusal_reason::backend_server_failed, m_history.get_outcome(),
                                  failure->what());
        }
        if (!m_context->retries.try_acquire_retry(m_context->time.now())) {
            throw request_refused(policy::refusal_reason::retry_budget_spent, m_history.get_outcome(), failure->what());
        }
        m_context->counters.count_retry(failure->get_reason());
    }
    m_context->suspects.record_completion(m_model_request.fingerprint, m_context->time.wall_now());
}

asio::awaitable<std::optional<exchange_failed_error>> model_call::run_on(const fleet::backend_server& server,
                                                                         caller_channel& caller) {
    const backend_load_table::reservation work(m_context->loads, server.name,
                                               m_model_request.estimated_prompt_tokens + m_model_request.max_tokens);
    std::optional<policy::quarantine::reservation> isolation;
    if (m_context->suspects.is_suspect(m_model_request.fingerprint, m_context->time.wall_now())) {
        isolation.emplace(m_context->suspects, server.name);
    }
    m_has_stream = false;
    const http_request request = make_engine_request(server);
    std::optional<exchange_failed_error> failure = co_await run_exchange(server, request, true, caller);
    const bool has_time = m_context->time.now() - m_arrived_at < m_context->limits.request_timeout;
    if (!failure || !m_has_stream || !has_time || !may_be_connection_failure(failure->get_reason())) {
        co_return failure;
    }
    // The engine may be healthy and only the connection lost, so the stream is resumed over a new connection.
    m_context->counters.count_retry(failure->get_reason());
    m_has_header = false;
    const http_request resumption = make_stream_request(server, http::verb::get);
    std::optional<exchange_failed_error> resumption_failure = co_await run_exchange(server, resumption, false, caller);
    if (resumption_failure) {
        if (!m_has_header && resumption_failure->get_reason() != policy::retry_reason::silent_backend_server) {
            // The stream broke and the engine does not respond on a new connection either, so the engine has probably
            // crashed.
            record_engine_crash();
        }
        // The first failure is reported, since it says more about the request than the failure of the resumption.
        co_return failure;
    }
    m_context->counters.count_resumed_stream();
    co_return std::nullopt;
}

asio::awaitable<std::optional<exchange_failed_error>> model_call::run_exchange(const fleet::backend_server& server,
                                                                               const http_request& request,
                                                                               bool may_reuse_connection,
                                                                               caller_channel& caller) {
    backend_exchange exchange(m_context->connections, server.address, get_exchange_options(may_reuse_connection));
    std::optional<exchange_failed_error> failure;
    try {
        const disconnect_subscription subscription(caller, [&exchange] { exchange.cancel(); });
        co_await exchange.start(request);
        co_await read_response(exchange, caller);
    } catch (const exchange_failed_error& fault) {
        failure = fault;
    } catch (const malformed_message_error& fault) {
        failure.emplace(fault.what(), exchange_phase::after_send, policy::retry_reason::malformed_answer);
    } catch (const mismatched_response_error& fault) {
        failure.emplace(fault.what(), exchange_phase::after_send, policy::retry_reason::crossed_answer);
    } catch (const caller_disconnected_error&) {
        exchange.cancel();
    }
    if (caller.is_disconnected() && !m_response.is_complete()) {
        co_await cancel_stream(server);
        throw caller_disconnected_error("caller disconnected before its response was complete");
    }
    co_return failure;
}

asio::awaitable<void> model_call::read_response(backend_exchange& exchange, caller_channel& caller) {
    m_has_header = true;
    const auto status = http::status(exchange.get_head().result_int());
    if (is_rejection(status) && m_response.get_tokens() == 0) {
        http_response rejection(status, 11);
        rejection.set(http::field::content_type, exchange.get_head()[http::field::content_type]);
        rejection.set("x-dragonflywell-outcome", "completed");
        rejection.body() = co_await exchange.read_rest(rejection_limit_bytes);
        m_rejection = std::move(rejection);
        co_return;
    }
    if (status != http::status::ok) {
        throw exchange_failed_error(fmt::format("engine responded with status {}", exchange.get_head().result_int()),
                                    exchange_phase::after_send, get_retry_reason(status));
    }
    m_has_stream = true;
    event_stream_parser events;
    std::string_view piece = co_await exchange.read_some();
    while (!piece.empty() && !m_response.is_complete()) {
        events.add_bytes(piece);
        std::optional<server_sent_event> event = events.take_event();
        while (event && !m_response.is_complete()) {
            co_await deliver(*event, caller);
            event = events.take_event();
        }
        if (!m_response.is_complete()) {
            piece = co_await exchange.read_some();
        }
    }
    if (!m_response.is_complete()) {
        throw exchange_failed_error("engine ended its stream before the response was complete",
                                    exchange_phase::after_send, policy::retry_reason::broken_answer);
    }
    co_await exchange.drain();
}

asio::awaitable<void> model_call::deliver(const server_sent_event& event, caller_channel& caller) {
    const std::uint64_t tokens_before = m_response.get_tokens();
    if (m_response.add(event) != event_action::forward) {
        co_return;
    }
    if (tokens_before == 0 && m_response.get_tokens() > 0) {
        m_context->counters.get_first_token_latency().record(
            std::chrono::duration<double>(m_context->time.now() - m_arrived_at).count());
    }
    if (!m_model_request.is_streaming) {
        co_return;
    }
    if (!caller.is_started()) {
        co_await caller.start_stream(make_stream_head("text/event-stream"));
    }
    const std::string text = format_event(event);
    co_await caller.send_chunk(text);
    m_delivered_tokens = m_response.get_tokens();
}

asio::awaitable<void> model_call::finish(caller_channel& caller) {
    if (m_rejection) {
        co_await caller.send(std::move(*m_rejection));
        co_return;
    }
    if (!m_model_request.is_streaming) {
        co_await caller.send(make_complete_response());
        m_delivered_tokens = m_response.get_tokens();
        m_is_delivery_complete = true;
        co_return;
    }
    if (!caller.is_started()) {
        co_await caller.start_stream(make_stream_head("text/event-stream"));
    }
    const std::string last_event = format_event({.id = {}, .data = std::string(end_of_stream)});
    co_await caller.send_chunk(last_event);
    co_await caller.finish_stream();
    m_is_delivery_complete = true;
}

asio::awaitable<void> model_call::cancel_stream(const fleet::backend_server& server) {
    exchange_options options = get_exchange_options(true);
    options.progress_timeout = cancel_timeout;
    backend_exchange exchange(m_context->connections, server.address, options);
    const http_request request = make_stream_request(server, http::verb::delete_);
    try {
        co_await exchange.start(request);
        co_await exchange.drain();
    } catch (const exchange_failed_error&) {
        // The connection of the stream is closed anyway, and an unreachable engine has nothing to cancel.
    }
    m_context->counters.count_cancelled_stream();
}

const fleet::backend_server& model_call::choose_engine(const active_manifest& manifest) {
    if (!manifest.content.models.contains(m_model_request.model)) {
        throw request_refused(policy::refusal_reason::unknown_model, policy::request_outcome::not_run,
                              fmt::format("model \"{}\" does not exist", m_model_request.model.value()));
    }
    // An engine that runs a suspect request gets no other requests, so that a crash affects none of them.
    std::set<backend_server_name> avoided = m_context->suspects.get_reserved();
    avoided.insert(m_history.get_failed_servers().begin(), m_history.get_failed_servers().end());
    const fleet::model& model = manifest.content.models.at(m_model_request.model);
    const auto owner = manifest.content.organisations.find(m_organisation);
    const bool accepts_cheap = owner != manifest.content.organisations.end() && owner->second.accepts_cheap_servers;
    const work_requirements work{
        .demand =
            policy::role_demand{
                .prefill = static_cast<double>(m_model_request.estimated_prompt_tokens * model.prompt_token_milliunits),
                .decode = static_cast<double>(m_model_request.max_tokens * model.output_token_milliunits)},
        .interruptibility = policy::get_work_class({.is_idempotent = true,
                                                    .accepts_cheap_servers = accepts_cheap,
                                                    .was_interrupted = !m_history.get_failed_servers().empty()}),
        .tokens = m_model_request.estimated_prompt_tokens + m_model_request.max_tokens,
        .max_cheap_share = static_cast<double>(manifest.content.prices.max_cheap_percent) / percent};
    return choose_backend_server(*m_context, manifest.servers.get_engines(m_model_request.model), avoided, work);
}

http_request model_call::make_engine_request(const fleet::backend_server& server) {
    const bool is_chat = m_model_request.shape == completion_shape::chat;
    http_request request(http::verb::post, is_chat ? "/v1/chat/completions" : "/v1/completions", 11);
    m_stream_id = make_stream_id();
    m_response.start_attempt(m_stream_id);
    request.set(http::field::host, format_endpoint(server.address));
    request.set(http::field::content_type, "application/json");
    request.set("x-request-id", m_stream_id);
    boost::json::object document = m_model_request.document;
    if (m_response.get_tokens() > 0) {
        document["continue_from"] = m_response.get_text();
        document["continue_position"] = m_response.get_tokens();
    }
    request.body() = boost::json::serialize(document);
    request.prepare_payload();
    return request;
}

http_request model_call::make_stream_request(const fleet::backend_server& server, http::verb method) const {
    std::string target = "/v1/streams/" + m_stream_id;
    if (method == http::verb::get) {
        target += fmt::format("?from={}", m_response.get_tokens());
    }
    http_request request(method, target, 11);
    request.set(http::field::host, format_endpoint(server.address));
    return request;
}

http_response model_call::make_complete_response() const {
    http_response response(http::status::ok, 11);
    response.set(http::field::content_type, "application/json");
    response.set("x-dragonflywell-outcome", "completed");
    response.body() = m_response.make_document(m_model_request.model);
    return response;
}

exchange_options model_call::get_exchange_options(bool may_reuse_connection) const {
    return {.may_reuse_connection = may_reuse_connection,
            .progress_timeout = m_context->limits.progress_timeout,
            .deadline = m_arrived_at + m_context->limits.request_timeout};
}

void model_call::require_time_left() const {
    if (m_context->time.now() - m_arrived_at >= m_context->limits.request_timeout) {
        throw request_refused(policy::refusal_reason::deadline_exceeded, m_history.get_outcome(),
                              "the deadline of this request has passed");
    }
}

void model_call::record_usage() {
    if (m_delivered_tokens == 0 && !m_is_delivery_complete) {
        return;
    }
    const auto window = get_window(m_context->time.wall_now(), m_context->manifest.get()->content);
    m_context->usage.add(
        {.organisation = m_organisation, .window = window},
        {.requests = 1, .prompt_tokens = m_response.get_prompt_tokens(), .completion_tokens = m_delivered_tokens});
}

} // namespace dragonflywell::servers
