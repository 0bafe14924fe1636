#include "servers/serving_handler.hpp"

#include "servers/serving_request.hpp"

namespace dragonflywell::servers {

namespace {

constexpr duration malformed_log_interval = std::chrono::seconds(1);

} // namespace

asio::awaitable<void> serving_handler::handle(http_request request, caller_channel& caller) {
    request_record record;
    record.arrived_at = m_state->time.now();
    record.head_arrived_at = caller.get_head_time();
    std::optional<request_refused> refusal;
    try {
        const caller_request incoming = m_codec->decode(std::move(request));
        record.id = incoming.id;
        co_await serve(incoming, record, caller);
    } catch (const request_refused& refused) {
        refusal = refused;
    } catch (const caller_disconnected_error&) {
        m_state->counters.count_caller_disconnect();
        make_request_event("request_abandoned", record, m_state->time.now()).write(*m_state->log, spdlog::level::info);
        throw;
    } catch (const std::exception& fault) {
        // The caller gets a response even after an internal error. Whether the request ran is not known here, so the
        // outcome is unknown.
        log_event("internal_fault")
            .add("id", record.id)
            .add("what", fault.what())
            .write(*m_state->log, spdlog::level::err);
        refusal.emplace(policy::refusal_reason::internal_fault, policy::request_outcome::unknown, "internal error");
    }
    if (refusal) {
        co_await refuse(*refusal, record, caller);
    }
}

head_check serving_handler::check_head(const http::request_header<>& head) {
    request_record record;
    record.arrived_at = m_state->time.now();
    try {
        const caller_request incoming = m_codec->decode_head(head);
        record.id = incoming.id;
        return {.refusal = {}, .time_limit = check_request_head(*m_state, incoming, record).time_limit};
    } catch (const request_refused& refused) {
        return {.refusal = record_refusal(refused, record, false), .time_limit = {}};
    }
}

void serving_handler::on_malformed(http::status status) {
    policy::refusal_reason reason = policy::refusal_reason::malformed_request;
    if (status == http::status::request_header_fields_too_large) {
        reason = policy::refusal_reason::header_too_large;
    }
    if (status == http::status::payload_too_large) {
        reason = policy::refusal_reason::body_too_large;
    }
    if (status == http::status::service_unavailable) {
        reason = policy::refusal_reason::queue_full;
    }
    m_state->counters.count_refusal(reason);
    m_state->counters.count_outcome(policy::request_outcome::not_run);
    ++m_unlogged_malformed;
    const steady_time now = m_state->time.now();
    if (now < m_next_malformed_line_at) {
        return;
    }
    log_event("request_malformed")
        .add("status", static_cast<unsigned>(status))
        .add("count", m_unlogged_malformed)
        .write(*m_state->log, spdlog::level::warn);
    m_unlogged_malformed = 0;
    m_next_malformed_line_at = now + malformed_log_interval;
}

asio::awaitable<void> serving_handler::serve(const caller_request& incoming, request_record& record,
                                             caller_channel& caller) {
    const std::unique_ptr<serving_request> request = make_serving_request(*m_state, incoming, record);
    co_await request->acquire_quota();
    try {
        co_await request->run(caller);
    } catch (const request_refused& refused) {
        if (refused.get_outcome() == policy::request_outcome::not_run) {
            request->give_back_quota();
        }
        throw;
    } catch (const caller_disconnected_error&) {
        request->give_back_unsent_quota();
        throw;
    }
    if (!m_state->suspects.is_empty() || !m_state->crashes.is_empty()) {
        const policy::request_fingerprint fingerprint =
            get_fingerprint(incoming, organisation_name(record.organisation));
        m_state->suspects.record_completion(fingerprint, m_state->get_corrected_time());
        m_state->crashes.forget(fingerprint);
    }
    if (!m_state->part_suspects.is_empty() && record.status == static_cast<unsigned>(http::status::ok)) {
        m_state->record_prompt_answer(get_shared_parts(incoming));
    }
    const steady_time now = m_state->time.now();
    m_state->counters.count_outcome(policy::request_outcome::completed);
    m_state->counters.get_request_latency().record(std::chrono::duration<double>(now - record.arrived_at).count());
    if (record.time_to_first_event) {
        m_state->counters.get_first_token_latency().record(
            std::chrono::duration<double>(*record.time_to_first_event).count());
    }
    make_request_event("request_answered", record, now).write(*m_state->log, spdlog::level::info);
}

http_response serving_handler::record_refusal(const request_refused& refusal, request_record& record, bool is_started) {
    m_state->counters.count_refusal(refusal.get_reason());
    m_state->counters.count_outcome(refusal.get_outcome());
    http_response response = m_codec->make_refusal(refusal);
    if (!is_started) {
        record.status = response.result_int();
    }
    make_request_event("request_failed", record, m_state->time.now())
        .add("reason", policy::get_refusal_response(refusal.get_reason()).code)
        .add("outcome", policy::get_outcome_name(refusal.get_outcome()))
        .add("what", refusal.what())
        .write(*m_state->log, spdlog::level::info);
    return response;
}

asio::awaitable<void> serving_handler::refuse(const request_refused& refusal, request_record& record,
                                              caller_channel& caller) {
    http_response response = record_refusal(refusal, record, caller.is_started());
    if (caller.is_started()) {
        caller.abort_stream();
        co_return;
    }
    co_await caller.send(std::move(response));
}

} // namespace dragonflywell::servers
