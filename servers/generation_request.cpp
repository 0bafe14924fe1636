#include "servers/generation_request.hpp"

#include <algorithm>
#include <utility>

#include "core/hash.hpp"
#include "policy/first_event_admission.hpp"
#include "servers/disconnect_subscription.hpp"
#include "servers/kv_cache_release.hpp"
#include "servers/response_headers.hpp"
#include "servers/stream_pace_recorder.hpp"
#include "servers/thread_random.hpp"

namespace dragonflywell::servers {

namespace {

constexpr std::size_t short_response_limit_bytes = 64UL * 1024;
constexpr std::size_t buffered_response_limit_bytes = 1024UL * 1024;
constexpr duration no_engine_retry_after = std::chrono::milliseconds(500);
/// A prefill that takes longer than the expected time times the factor, plus the margin, is retried on another engine.
constexpr int prefill_timeout_factor = 3;
constexpr duration prefill_timeout_margin = std::chrono::milliseconds(700);

[[noreturn]] void reject_long_event() {
    throw exchange_failed_error("event in the stream exceeds the size limit", exchange_phase::after_send,
                                policy::retry_reason::malformed_answer);
}

std::uint64_t get_next_number() {
    static std::uint64_t number = 0;
    return ++number;
}

/// Returns the first part of the prompt, which prompts that share a cached beginning have in common, or else a number
/// of the request's own.
std::uint64_t get_prompt_key(const caller_request& incoming, std::uint64_t request_number) {
    const std::vector<prompt_part>& parts = incoming.generation->parts;
    return parts.empty() ? request_number : parts.front().id;
}

} // namespace

generation_request::generation_request(serving_state& state, accepted_request request, request_record& record)
    : serving_request(state, std::move(request), record), m_request_number(get_next_number()),
      m_engine_status(state, get_request().service, get_prompt_key(get_caller_request(), m_request_number)) {
    const generation_parameters& parameters = *get_caller_request().generation;
    m_parts.reserve(parameters.parts.size());
    for (const prompt_part& part : parameters.parts) {
        m_parts.push_back({.id = part.id, .tokens = part.tokens});
    }
    m_needed_tokens =
        parameters.prompt_tokens + parameters.expected_output_tokens.value_or(parameters.max_output_tokens);
    m_seed = get_stable_hash(get_state().options.own_host) + m_request_number;
}

asio::awaitable<void> generation_request::run(caller_channel& caller) {
    generate_result result = generate_result::try_again;
    while (result == generate_result::try_again) {
        require_time_left();
        require_no_blamed_part(get_state(), get_caller_request(), get_outcome());
        const policy::engine_choice choice = choose_engines();
        std::optional<kv_cache_source> kv_cache;
        if (choice.prefill_engine) {
            std::optional<send_permit> permit = co_await acquire_engine(*choice.prefill_engine);
            if (!permit) {
                continue;
            }
            kv_cache = co_await run_prefill(choice, std::move(*permit), caller);
            if (!kv_cache) {
                continue;
            }
        }
        std::optional<permitted_engine> target = co_await take_decode_engine(choice, kv_cache);
        if (!target) {
            continue;
        }
        result = co_await generate(target->engine, choice, std::move(kv_cache), std::move(target->permit), caller);
    }
}

asio::awaitable<std::optional<send_permit>> generation_request::acquire_engine(backend_server_name engine) {
    std::optional<send_permit> permit = co_await acquire_permit(engine);
    if (!permit) {
        m_engine_status.exclude(engine);
    }
    co_return permit;
}

asio::awaitable<std::optional<generation_request::permitted_engine>>
generation_request::take_decode_engine(const policy::engine_choice& choice, std::optional<kv_cache_source> kv_cache) {
    try {
        for (;;) {
            const backend_server_name engine = choose_decode_engine(choice);
            std::optional<send_permit> permit = co_await acquire_engine(engine);
            if (permit) {
                co_return permitted_engine{.engine = engine, .permit = std::move(*permit)};
            }
            if (!kv_cache) {
                // The engine was chosen for the prompt as well, so that both are chosen again.
                co_return std::nullopt;
            }
            require_time_left();
        }
    } catch (const request_refused&) {
        if (kv_cache) {
            release_kv_cache(get_state(), *kv_cache);
        }
        throw;
    }
}

policy::generation_requirements generation_request::get_requirements() const {
    const generation_parameters& parameters = *get_caller_request().generation;
    const fleet::route& route = *get_request().route;
    policy::generation_requirements requirements{
        .prompt_tokens = parameters.prompt_tokens,
        .output_tokens = parameters.expected_output_tokens.value_or(parameters.max_output_tokens),
        .parts = m_parts,
        .seed = m_seed,
        .priority = get_request().priority,
        .target = {}};
    const duration waited = get_state().time.now() - get_record().arrived_at;
    if (route.target_latency > waited) {
        requirements.target = route.target_latency - waited;
    }
    return requirements;
}

duration generation_request::get_first_event_time(bool is_prefilled) const {
    const service_engines& engines = *get_state().find_engines(get_request().service);
    const duration first_event = engines.get_costs().first_event;
    return is_prefilled ? first_event : get_record().expected_time_to_first_event.value_or(first_event);
}

policy::engine_choice generation_request::choose_engines() {
    service_engines& engines = *get_state().find_engines(get_request().service);
    engines.speeds.refresh(get_state().time.now());
    const std::optional<policy::engine_choice> choice =
        policy::choose_engines(engines.load_tracker, engines.get_costs(), get_requirements(),
                               m_engine_status.make_lookup(), get_state().time.now());
    if (!choice) {
        throw request_refused(policy::refusal_reason::no_backend_server, get_outcome(),
                              "no engine is available for the prompt", get_retry_after(no_engine_retry_after));
    }
    reject_if_hopeless(*choice);
    if (!get_record().expected_time_to_first_event) {
        get_record().expected_time_to_first_event = choice->time_to_first_event;
        engines.add_prefill_demand(engines.prefill_model.predict_occupancy(choice->prefill));
    }
    return *choice;
}

void generation_request::reject_if_hopeless(const policy::engine_choice& choice) const {
    if (m_run_count > 0) {
        // The caller may already have received a part of the response.
        return;
    }
    const fleet::route& route = *get_request().route;
    const duration waited = get_state().time.now() - get_record().arrived_at;
    const duration patience = route.caller_patience > duration::zero()
                                  ? std::min(get_time_left(), route.caller_patience - waited)
                                  : get_time_left();
    const std::optional<duration> delay = policy::get_rejection_delay(
        {.expected = choice.time_to_first_event, .patience = patience, .target = route.target_latency},
        std::uniform_real_distribution<double>(0, 1)(get_thread_random()));
    if (delay) {
        throw request_refused(policy::refusal_reason::deadline_not_feasible, get_outcome(),
                              "the first event is expected after the caller has left", *delay);
    }
}

backend_server_name generation_request::choose_decode_engine(const policy::engine_choice& choice) {
    if (!choice.prefill_engine) {
        return choice.decode_engine;
    }
    // The load has changed during the prefill, so the engine is chosen again.
    const service_engines& engines = *get_state().find_engines(get_request().service);
    const policy::engine_load_tracker::engine_entry* prefill_engine = engines.load_tracker.find(*choice.prefill_engine);
    const zone_name preferred_zone =
        prefill_engine != nullptr ? prefill_engine->attributes.zone : get_state().options.own_zone;
    const std::optional<backend_server_name> engine =
        policy::choose_decode_engine(engines.load_tracker, get_requirements(), preferred_zone,
                                     m_engine_status.make_lookup(), engines.speeds.find(fleet::engine_stage::decode));
    if (!engine) {
        throw request_refused(policy::refusal_reason::no_backend_server, get_outcome(),
                              "no engine is available to generate the response",
                              get_retry_after(no_engine_retry_after));
    }
    return *engine;
}

asio::awaitable<std::optional<kv_cache_source>>
generation_request::run_prefill(const policy::engine_choice& choice, send_permit permit, caller_channel& caller) {
    const backend_server_name& engine = *choice.prefill_engine;
    dispatch attempt = make_dispatch(engine);
    attempt.is_prefill_only = true;
    attempt.last_event_id.clear();
    if (m_was_prefill_sent) {
        require_prefill_retry_budget();
    }
    service_engines& engines = *get_state().find_engines(get_request().service);
    const steady_time sent_at = get_state().time.now();
    attempt.urgency = choice.urgency;
    attempt.prefix_source = get_prefix_source(choice);
    const http_request message = make_message(attempt);
    const duration backlog = engines.load_tracker.get_backlog(engine, sent_at);
    const policy::prefill_job job{
        .number = m_request_number, .sent_at = sent_at, .cost = choice.prefill_occupancy, .urgency = choice.urgency};
    engines.load_tracker.start_prefill(engine, job, m_parts);
    get_state().prefix_accesses.push_back({.engine = engine, .parts = m_parts});
    get_state().notify_load_change();
    const prefill_guard load_guard(get_state(), get_request().service, engine, m_request_number);
    engine_observation observation(engines.speeds, get_state().time, get_engine_use(engines.load_tracker, engine),
                                   get_base_prefill_time(choice));
    exchange_options options = make_exchange_options(engine, caller, std::move(permit));
    options.progress_timeout =
        std::min(options.progress_timeout,
                 (backlog + choice.prefill_duration) * prefill_timeout_factor + prefill_timeout_margin);
    backend_exchange exchange(get_state().connections, attempt.address, options);
    const serving_state::running_exchange registration(get_state(), exchange);
    tracked_exchange tracked = track(engine, exchange);
    const policy::stall_detector::pending_request pending =
        get_state().stalls.track(engine, sent_at, backlog + choice.prefill_duration);
    std::optional<exchange_failed_error> failure;
    std::optional<kv_cache_source> kv_cache;
    std::string_view what = "read";
    try {
        const disconnect_subscription subscription(caller, [&exchange] { exchange.cancel(); });
        co_await exchange.start(message);
        const response_kind kind = get_state().codec.classify(exchange.get_head());
        const std::string body = co_await exchange.read_rest(short_response_limit_bytes);
        if (exchange.get_head().result() == http::status::ok) {
            kv_cache = {.server = engine,
                        .engine = attempt.address,
                        .handle = get_state().codec.decode_prefill_response(body).handle};
            m_was_prefill_sent = true;
            tracked.set_answered();
            observation.finish();
            set_quota_used();
        } else if (kind == response_kind::wrong_server) {
            what = "other_server";
            tracked.set_not_run();
            observation.discard();
            get_state().eligibility.record_mismatch(engine, tracked.get_sent_at());
        } else {
            what = "read_refused";
            tracked.set_not_run();
            observation.discard();
            m_engine_status.exclude(engine);
            record_refusal(engine);
        }
    } catch (const exchange_failed_error& fault) {
        failure = fault;
        what = "read_failed";
    } catch (const malformed_message_error& fault) {
        failure.emplace(fault.what(), exchange_phase::after_send, policy::retry_reason::malformed_answer);
        what = "read_invalid";
    }
    get_record().add_server(engine, what, exchange.get_connection_use());
    if (kv_cache || caller.is_disconnected()) {
        engines.record_wait(choice, get_state().time.now() - sent_at);
    }
    if (caller.is_disconnected()) {
        if (kv_cache) {
            release_kv_cache(get_state(), *kv_cache);
        }
        throw caller_disconnected_error("caller disconnected during the prefill of its prompt");
    }
    if (kv_cache) {
        get_record().prefill_time = get_state().time.now() - sent_at;
        get_state().health.add_success(engine);
        if (backlog == duration::zero()) {
            engines.record_prefill(choice, get_state().time.now() - sent_at, observation.get_speed());
        }
        co_return kv_cache;
    }
    if (failure) {
        record_failure(engine, *failure, tracked);
        m_engine_status.exclude(engine);
    }
    if (exchange.is_sent()) {
        m_was_prefill_sent = true;
    } else {
        observation.discard();
    }
    co_return std::nullopt;
}

void generation_request::require_prefill_retry_budget() {
    require_retry_budget(policy::retry_reason::backend_server_busy);
}

asio::awaitable<generation_request::generate_result>
generation_request::generate(const backend_server_name& engine, const policy::engine_choice& choice,
                             std::optional<kv_cache_source> kv_cache, send_permit permit, caller_channel& caller) {
    dispatch attempt = make_dispatch(engine);
    attempt.kv_cache = kv_cache;
    attempt.urgency = policy::get_generation_urgency(choice, kv_cache.has_value());
    if (!choice.prefill_engine) {
        attempt.prefix_source = get_prefix_source(choice);
    }
    if (!m_events.get_last_id().empty()) {
        attempt.last_event_id = m_events.get_last_id();
    }
    http_request message;
    try {
        message = make_message(attempt);
        require_time_left();
        // Other requests may have shown during the prefill that a part crashes engines.
        require_no_blamed_part(get_state(), get_caller_request(), get_outcome());
        if (m_was_generation_sent) {
            require_retry_budget(policy::retry_reason::broken_answer);
        }
    } catch (const request_refused&) {
        if (kv_cache) {
            release_kv_cache(get_state(), *kv_cache);
        }
        throw;
    }
    service_engines& engines = *get_state().find_engines(get_request().service);
    engines.load_tracker.start_decode(engine, m_needed_tokens, m_parts);
    get_state().notify_load_change();
    const generation_guard load_guard(get_state(), get_request().service, engine, m_needed_tokens);
    begin_direct_prefill(engine, choice);
    const duration expected = kv_cache ? engines.get_costs().first_event : get_base_prefill_time(choice);
    engine_observation observation(engines.speeds, get_state().time, get_engine_use(engines.load_tracker, engine),
                                   expected);
    backend_exchange exchange(get_state().connections, attempt.address,
                              make_exchange_options(engine, caller, std::move(permit)));
    const serving_state::running_exchange registration(get_state(), exchange);
    tracked_exchange tracked = track(engine, exchange, true);
    std::optional<exchange_failed_error> failure;
    response_kind kind = response_kind::invalid;
    bool has_head = false;
    m_generation_sent_at = get_state().time.now();
    policy::stall_detector::pending_request pending =
        get_state().stalls.track(engine, m_generation_sent_at, get_first_event_time(kv_cache.has_value()));
    try {
        const disconnect_subscription subscription(caller, [&exchange] { exchange.cancel(); });
        co_await exchange.start(message);
        kind = get_state().codec.classify(exchange.get_head());
        has_head = true;
        if (kind == response_kind::answered) {
            set_may_have_run();
            co_await relay(exchange, choice, caller,
                           {.pending = pending, .observation = observation, .tracked = tracked});
        } else {
            co_await exchange.read_rest(short_response_limit_bytes);
        }
    } catch (const exchange_failed_error& fault) {
        failure = fault;
    } catch (const caller_disconnected_error&) {
        exchange.cancel();
    }
    const bool is_waiting_for_prefill = m_direct_prefill.has_value();
    m_direct_prefill.reset();
    m_was_generation_sent = m_was_generation_sent || exchange.is_sent();
    if (!exchange.is_sent() || (has_head && kind != response_kind::answered)) {
        observation.discard();
    }
    if (caller.is_disconnected()) {
        if (is_waiting_for_prefill) {
            engines.record_wait(choice, get_state().time.now() - m_generation_sent_at);
        }
        get_record().add_server(engine, "caller_gone", exchange.get_connection_use());
        if (kv_cache && !exchange.is_sent()) {
            release_kv_cache(get_state(), *kv_cache);
        }
        throw caller_disconnected_error("caller disconnected before its response was complete");
    }
    if (!failure && kind == response_kind::answered) {
        tracked.set_answered();
        get_record().add_server(engine, "answered", exchange.get_connection_use());
        get_state().health.add_success(engine);
        co_return generate_result::done;
    }
    if (has_head && kind == response_kind::wrong_server) {
        tracked.set_not_run();
        get_record().add_server(engine, "other_server", exchange.get_connection_use());
        get_state().eligibility.record_mismatch(engine, tracked.get_sent_at());
    } else if (has_head && kind == response_kind::not_run) {
        tracked.set_not_run();
        get_record().add_server(engine, "refused", exchange.get_connection_use());
        m_engine_status.exclude(engine);
        record_refusal(engine);
    } else {
        get_record().add_server(engine, "failed", exchange.get_connection_use());
        if (!failure) {
            failure.emplace("backend server returned an invalid response", exchange_phase::after_send,
                            policy::retry_reason::malformed_answer);
        }
        handle_failure(engine, *failure, tracked, exchange.is_sent());
    }
    if (kv_cache) {
        release_kv_cache(get_state(), *kv_cache);
    }
    co_return generate_result::try_again;
}

void generation_request::handle_failure(const backend_server_name& engine, const exchange_failed_error& failure,
                                        tracked_exchange& tracked, bool was_sent) {
    if (was_sent) {
        set_may_have_run();
        ++m_run_count;
    }
    m_events.drop_partial_event();
    require_time_left();
    record_failure(engine, failure, tracked);
    m_engine_status.exclude(engine);
    const fleet::route& route = *get_request().route;
    if (was_sent && (!fleet::may_run_again(route.retry) || m_run_count >= route.max_attempts)) {
        throw request_refused(policy::refusal_reason::backend_server_failed, get_outcome(), failure.what());
    }
    get_state().counters.count_retry(failure.get_reason());
}

std::optional<endpoint> generation_request::get_prefix_source(const policy::engine_choice& choice) const {
    if (!choice.prefix_source) {
        return std::nullopt;
    }
    const fleet::listed_server* source = get_state().eligibility.get_list().find(*choice.prefix_source);
    return source != nullptr ? std::optional(source->record.address) : std::nullopt;
}

asio::awaitable<void> generation_request::relay(backend_exchange& exchange, const policy::engine_choice& choice,
                                                caller_channel& caller, stream_observers observers) {
    if (exchange.get_head().result() != http::status::ok) {
        observers.observation.discard();
        co_await relay_buffered(exchange, caller);
    } else {
        co_await relay_stream(exchange, choice, caller, observers);
    }
}

asio::awaitable<void> generation_request::relay_buffered(backend_exchange& exchange, caller_channel& caller) {
    auto response = make_caller_response<http::string_body>(exchange.get_head());
    response.body() = co_await exchange.read_rest(buffered_response_limit_bytes);
    record_execution(get_state().get_corrected_time());
    if (caller.is_started()) {
        throw request_refused(policy::refusal_reason::backend_server_failed, get_outcome(),
                              "the engine could not resume the stream");
    }
    get_record().status = response.result_int();
    co_await caller.send(std::move(response));
}

asio::awaitable<void> generation_request::relay_stream(backend_exchange& exchange, const policy::engine_choice& choice,
                                                       caller_channel& caller, stream_observers observers) {
    engine_observation& observation = observers.observation;
    if (caller.is_started()) {
        require_same_content_type(exchange);
    }
    byte_budget::share buffered(get_state().connections.get_buffer_budget(), unbudgeted_response_bytes);
    std::optional<stream_pace_recorder> pace;
    for (std::string_view piece = co_await exchange.read_some(); !piece.empty();
         piece = co_await exchange.read_some()) {
        m_events.add_bytes(piece);
        // Checked before events are taken, because a resumed stream continues after the last one that was taken.
        if (!buffered.resize(m_events.get_pending_bytes())) {
            reject_long_event();
        }
        const std::string events = m_events.take_events();
        if (m_events.is_event_too_long()) {
            reject_long_event();
        }
        if (events.empty()) {
            continue;
        }
        observers.pending.end();
        observation.record_events(events);
        observers.tracked.set_answer_begun();
        if (!pace) {
            pace.emplace(get_state(), get_request().service, observation.get_engine(), m_events);
        }
        if (!caller.is_started()) {
            record_execution(get_state().get_corrected_time());
            record_first_event(choice, observation.get_speed());
            get_record().time_to_first_event = get_state().time.now() - get_record().arrived_at;
            co_await start_stream(exchange, caller);
        }
        co_await caller.send_chunk(events);
        observation.record_sent();
        // Never fails, since it holds no more than before.
        static_cast<void>(buffered.resize(m_events.get_pending_bytes()));
    }
    if (m_events.has_partial_event()) {
        throw exchange_failed_error("stream ended in the middle of an event", exchange_phase::after_send,
                                    policy::retry_reason::broken_answer);
    }
    observation.end_stream();
    if (!caller.is_started()) {
        co_await start_stream(exchange, caller);
    }
    co_await caller.finish_stream();
}

void generation_request::begin_direct_prefill(const backend_server_name& engine, const policy::engine_choice& choice) {
    if (choice.prefill_engine) {
        return;
    }
    service_engines& engines = *get_state().find_engines(get_request().service);
    const steady_time now = get_state().time.now();
    engines.load_tracker.start_prefill(
        engine,
        {.number = m_request_number, .sent_at = now, .cost = choice.prefill_occupancy, .urgency = choice.urgency},
        m_parts);
    get_state().prefix_accesses.push_back({.engine = engine, .parts = m_parts});
    get_state().notify_load_change();
    m_direct_prefill.emplace(get_state(), get_request().service, engine, m_request_number);
}

void generation_request::record_first_event(const policy::engine_choice& choice, double speed) {
    const duration taken = get_state().time.now() - m_generation_sent_at;
    service_engines& engines = *get_state().find_engines(get_request().service);
    if (!m_direct_prefill) {
        engines.record_first_event(taken, speed);
        return;
    }
    m_direct_prefill.reset();
    engines.record_wait(choice, taken);
    if (choice.known_wait == duration::zero() && !choice.prefix_source) {
        engines.record_prefill(choice, taken, 1);
    }
}

void generation_request::require_same_content_type(const backend_exchange& exchange) const {
    if (exchange.get_head()[http::field::content_type] != m_content_type) {
        throw exchange_failed_error("response does not continue the stream", exchange_phase::after_send,
                                    policy::retry_reason::malformed_answer);
    }
}

asio::awaitable<void> generation_request::start_stream(const backend_exchange& exchange, caller_channel& caller) {
    m_content_type = exchange.get_head()[http::field::content_type];
    auto head = make_caller_response<http::empty_body>(exchange.get_head());
    get_record().status = head.result_int();
    co_await caller.start_stream(std::move(head));
}

} // namespace dragonflywell::servers
