#include "servers/entry_handler.hpp"

#include <boost/json.hpp>

#include "servers/model_call.hpp"
#include "servers/request_checks.hpp"
#include "servers/service_call.hpp"

namespace dragonflywell::servers {

namespace {

std::string_view get_path(const http_request& request) {
    const std::string_view target(request.target().data(), request.target().size());
    return target.substr(0, target.find('?'));
}

bool is_model_path(std::string_view path) {
    return path == "/v1/chat/completions" || path == "/v1/completions";
}

} // namespace

entry_handler::entry_handler(entry_context& context) : m_context(&context), m_log(get_logger("entry")) {}

asio::awaitable<void> entry_handler::handle(http_request request, caller_channel& caller) {
    const steady_time arrived = m_context->time.now();
    std::optional<request_refused> refusal;
    try {
        co_await dispatch(request, caller);
    } catch (const request_refused& refused) {
        refusal = refused;
    } catch (const caller_disconnected_error&) {
        m_context->counters.count_caller_disconnect();
        throw;
    } catch (const std::exception& fault) {
        // The caller gets a response even after an internal error. Whether the request ran is not known here, so the
        // outcome is unknown.
        m_log->error("request failed with an internal error; the caller gets a refusal: {}", fault.what());
        refusal.emplace(policy::refusal_reason::internal_fault, policy::request_outcome::unknown, "internal error");
    }
    if (refusal) {
        co_await send_refusal(*refusal, caller);
    }
    m_context->counters.get_request_latency().record(
        std::chrono::duration<double>(m_context->time.now() - arrived).count());
}

void entry_handler::on_malformed(http::status status) {
    policy::refusal_reason reason = policy::refusal_reason::malformed_request;
    if (status == http::status::request_header_fields_too_large) {
        reason = policy::refusal_reason::header_too_large;
    }
    if (status == http::status::payload_too_large) {
        reason = policy::refusal_reason::body_too_large;
    }
    m_context->counters.count_refusal(reason);
    m_context->counters.count_outcome(policy::request_outcome::not_run);
}

asio::awaitable<void> entry_handler::dispatch(const http_request& request, caller_channel& caller) {
    if (m_is_stopping) {
        throw request_refused(policy::refusal_reason::stopping, policy::request_outcome::not_run,
                              "this host is shutting down");
    }
    const std::shared_ptr<const active_manifest> manifest = m_context->manifest.get();
    if (manifest == nullptr) {
        throw request_refused(policy::refusal_reason::not_ready, policy::request_outcome::not_run,
                              "this host has not loaded a configuration yet");
    }
    const std::string_view path = get_path(request);
    if (is_model_path(path)) {
        const organisation_name organisation = require_organisation(manifest->content, request);
        check_cost_limit(*m_context, manifest->content, organisation);
        model_call call(*m_context, request, organisation);
        co_await call.run(caller);
        co_return;
    }
    const fleet::service_route& route = require_route(manifest->content, path, request.method_string());
    service_call call(*m_context, request, route);
    co_await call.run(caller);
}

asio::awaitable<void> entry_handler::send_refusal(const request_refused& refusal, caller_channel& caller) {
    const policy::refusal_response form = policy::get_refusal_response(refusal.get_reason());
    m_context->counters.count_refusal(refusal.get_reason());
    m_context->counters.count_outcome(refusal.get_outcome());
    if (caller.is_started()) {
        caller.abort_stream();
        co_return;
    }
    const std::string_view outcome = policy::get_outcome_name(refusal.get_outcome());
    http_response response(http::status(form.status), 11);
    response.set(http::field::content_type, "application/json");
    response.set("x-dragonflywell-outcome", outcome);
    if (form.status == static_cast<unsigned>(http::status::service_unavailable) ||
        form.status == static_cast<unsigned>(http::status::too_many_requests)) {
        response.set(http::field::retry_after,
                     std::to_string(std::chrono::ceil<std::chrono::seconds>(refusal.get_retry_after()).count()));
    }
    response.body() = boost::json::serialize(
        boost::json::object{{"error", {{"code", form.code}, {"outcome", outcome}, {"message", refusal.what()}}}});
    co_await caller.send(std::move(response));
}

} // namespace dragonflywell::servers
