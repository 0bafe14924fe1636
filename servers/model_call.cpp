#include "servers/model_call.hpp"

#include <fmt/format.h>

#include "core/json.hpp"
#include "servers/backend_choice.hpp"
#include "servers/key_check.hpp"

namespace dragonflywell::servers {

namespace {

constexpr std::string_view end_of_stream = "[DONE]";

policy::retry_reason get_retry_reason(const exchange_failed_error& failure) {
    if (failure.get_phase() == exchange_phase::before_send) {
        return policy::retry_reason::connect_failed;
    }
    return failure.is_timeout() ? policy::retry_reason::silent_backend_server : policy::retry_reason::broken_answer;
}

/// Returns the text that one event of either shape adds.
std::string get_added_text(const boost::json::object& choice, completion_shape shape) {
    if (shape == completion_shape::text) {
        return json::get_string_or(choice, "text", "");
    }
    const boost::json::value* delta = choice.if_contains("delta");
    return delta == nullptr ? "" : json::get_string_or(json::as_object(*delta, "delta"), "content", "");
}

std::string get_finish_reason(const boost::json::object& choice) {
    const boost::json::value* reason = choice.if_contains("finish_reason");
    return reason != nullptr && reason->is_string() ? std::string(reason->get_string()) : "";
}

} // namespace

model_call::model_call(entry_context& context, const http_request& request, organisation_name organisation)
    : m_context(&context), m_request(&request), m_organisation(std::move(organisation)),
      m_model_request(parse_model_request(request)), m_arrived(context.time.now()) {
    m_context->demand.add_arrival(get_demand_key(), m_model_request.estimated_prompt_tokens,
                                  m_model_request.most_tokens);
}

asio::awaitable<void> model_call::run(caller_channel& caller) {
    std::exception_ptr failure;
    try {
        co_await run_attempts(caller);
        co_await finish(caller);
    } catch (...) {
        failure = std::current_exception();
    }
    bill();
    if (failure) {
        std::rethrow_exception(failure);
    }
    m_context->counters.count_outcome(policy::request_outcome::completed);
    m_context->demand.add_answer(get_demand_key(), m_delivered_tokens, m_model_request.most_tokens);
}

policy::demand_key model_call::get_demand_key() const {
    return {.organisation = m_organisation, .model = m_model_request.model, .service = {}};
}

asio::awaitable<void> model_call::run_attempts(caller_channel& caller) {
    for (unsigned attempt = 1; !m_is_complete; ++attempt) {
        const std::shared_ptr<const active_manifest> manifest = m_context->manifest.get();
        // The key is checked again at each dispatch: it may have been revoked while the request waited.
        static_cast<void>(require_organisation(manifest->content, *m_request));
        const fleet::backend_server& server = choose_engine(manifest->content);
        std::optional<exchange_failed_error> failure;
        try {
            co_await run_on(server, caller);
            continue;
        } catch (const exchange_failed_error& fault) {
            failure = fault;
        }
        m_reached_engine = m_reached_engine || failure->get_phase() == exchange_phase::after_send;
        if (attempt >= m_context->limits.most_attempts) {
            const auto outcome =
                m_reached_engine ? policy::request_outcome::failed_after_start : policy::request_outcome::not_run;
            throw request_refused(policy::refusal_reason::backend_server_failed, outcome, failure->what());
        }
        m_context->counters.count_retry(get_retry_reason(*failure));
        m_tried.insert(server.name);
    }
}

asio::awaitable<void> model_call::run_on(const fleet::backend_server& server, caller_channel& caller) {
    const backend_load_table::reservation work(m_context->loads, server.name,
                                               m_model_request.estimated_prompt_tokens + m_model_request.most_tokens);
    backend_exchange exchange(m_context->connections, server.address,
                              {.may_reuse = true, .progress_deadline = m_context->limits.progress_deadline});
    co_await exchange.start(make_engine_request(server));
    if (exchange.get_head().result() != http::status::ok) {
        throw exchange_failed_error(fmt::format("engine answered with status {}", exchange.get_head().result_int()),
                                    exchange_phase::after_send, false, false);
    }
    event_stream_parser events;
    std::string_view piece = co_await exchange.read_some();
    while (!piece.empty()) {
        events.add_bytes(piece);
        std::optional<server_sent_event> event = events.take_event();
        while (event && !m_is_complete) {
            co_await deliver(*event, caller);
            event = events.take_event();
        }
        piece = co_await exchange.read_some();
    }
    if (!m_is_complete) {
        throw exchange_failed_error("engine ended its stream early", exchange_phase::after_send, false, false);
    }
}

asio::awaitable<void> model_call::deliver(const server_sent_event& event, caller_channel& caller) {
    if (event.data == end_of_stream) {
        m_is_complete = true;
        co_return;
    }
    const boost::json::value document = json::parse(event.data);
    const boost::json::object& chunk = json::as_object(document, "engine event");
    if (const boost::json::value* usage = chunk.if_contains("usage"); usage != nullptr && usage->is_object()) {
        m_prompt_tokens = json::get_unsigned(usage->get_object(), "prompt_tokens");
    }
    const boost::json::array& choices = json::get_array(chunk, "choices");
    if (choices.empty()) {
        co_return;
    }
    const boost::json::object& choice = json::as_object(choices.front(), "choice");
    const std::string added = get_added_text(choice, m_model_request.shape);
    if (m_delivered_tokens == 0 && !added.empty()) {
        m_context->counters.get_first_token_latency().record(
            std::chrono::duration<double>(m_context->time.now() - m_arrived).count());
    }
    m_text += added;
    m_delivered_tokens += added.empty() ? 0 : 1;
    if (const std::string reason = get_finish_reason(choice); !reason.empty()) {
        m_finish_reason = reason;
    }
    if (m_model_request.is_streaming) {
        if (!caller.is_started()) {
            co_await caller.start_stream("text/event-stream");
        }
        const std::string text = format_event(event);
        co_await caller.send_chunk(text);
    }
}

asio::awaitable<void> model_call::finish(caller_channel& caller) {
    if (!m_model_request.is_streaming) {
        co_await caller.send(make_whole_answer());
        co_return;
    }
    if (!caller.is_started()) {
        co_await caller.start_stream("text/event-stream");
    }
    const std::string last_event = format_event({.id = {}, .data = std::string(end_of_stream)});
    co_await caller.send_chunk(last_event);
    co_await caller.finish_stream();
}

const fleet::backend_server& model_call::choose_engine(const fleet::manifest& manifest) {
    if (!manifest.models.contains(m_model_request.model)) {
        throw request_refused(policy::refusal_reason::unknown_model, policy::request_outcome::not_run,
                              fmt::format("model \"{}\" does not exist", m_model_request.model.value()));
    }
    const auto runs_model = [this](const fleet::backend_server& server) {
        const fleet::engine* engine = server.get_engine();
        return engine != nullptr && engine->model == m_model_request.model;
    };
    return choose_backend_server(*m_context, manifest, m_tried, runs_model);
}

http_request model_call::make_engine_request(const fleet::backend_server& server) const {
    const bool is_chat = m_model_request.shape == completion_shape::chat;
    http_request request(http::verb::post, is_chat ? "/v1/chat/completions" : "/v1/completions", 11);
    request.set(http::field::host, format_endpoint(server.address));
    request.set(http::field::content_type, "application/json");
    boost::json::object document = m_model_request.document;
    if (m_delivered_tokens > 0) {
        document["continue_from"] = m_text;
        document["continue_position"] = m_delivered_tokens;
    }
    request.body() = boost::json::serialize(document);
    request.prepare_payload();
    return request;
}

http_response model_call::make_whole_answer() const {
    const bool is_chat = m_model_request.shape == completion_shape::chat;
    boost::json::object choice{{"index", 0}, {"finish_reason", m_finish_reason}};
    if (is_chat) {
        choice["message"] = {{"role", "assistant"}, {"content", m_text}};
    } else {
        choice["text"] = m_text;
    }
    http_response response(http::status::ok, 11);
    response.set(http::field::content_type, "application/json");
    response.set("x-dragonflywell-outcome", "completed");
    response.body() =
        boost::json::serialize(boost::json::object{{"object", is_chat ? "chat.completion" : "text_completion"},
                                                   {"model", m_model_request.model.value()},
                                                   {"choices", boost::json::array{std::move(choice)}},
                                                   {"usage",
                                                    {{"prompt_tokens", m_prompt_tokens},
                                                     {"completion_tokens", m_delivered_tokens},
                                                     {"total_tokens", m_prompt_tokens + m_delivered_tokens}}}});
    return response;
}

void model_call::bill() {
    if (m_is_billed || m_delivered_tokens == 0) {
        return;
    }
    m_is_billed = true;
    const auto window = get_window(m_context->time.wall_now(), m_context->manifest.get()->content);
    m_context->usage.add({.organisation = m_organisation, .window = window},
                         {.requests = 1, .prompt_tokens = m_prompt_tokens, .completion_tokens = m_delivered_tokens});
}

} // namespace dragonflywell::servers
