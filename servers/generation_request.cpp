#include "servers/generation_request.hpp"

#include <algorithm>

#include "core/hash.hpp"
#include "servers/disconnect_subscription.hpp"
#include "servers/engine_load_guards.hpp"
#include "servers/kv_cache_release.hpp"
#include "servers/response_headers.hpp"

namespace dragonflywell::servers {

namespace {

/// What an engine of another group of hosts has to be better by, since little is known of it; prompts are spread over
/// such engines by as much again.
constexpr duration foreign_cost = std::chrono::milliseconds(60);
constexpr duration foreign_spread = std::chrono::milliseconds(40);
constexpr double foreign_fullness = 0.3;
/// How long a prompt is taken to wait at an engine of a group that nothing was heard of.
constexpr duration unknown_backlog = std::chrono::milliseconds(300);
constexpr std::size_t memory_answer_limit_bytes = 64UL * 1024;
constexpr std::size_t plain_answer_limit_bytes = 1024UL * 1024;
constexpr duration no_engine_retry = std::chrono::milliseconds(500);
/// A prompt that takes this many times as long as expected, and some time besides, is read elsewhere.
constexpr int read_patience_factor = 3;
constexpr duration read_patience = std::chrono::milliseconds(700);

} // namespace

generation_request::generation_request(serving_state& state, accepted_request request, request_record& record)
    : serving_request(state, std::move(request), record) {
    const generation_parameters& wanted = *get_call().generation;
    for (const prompt_part& part : wanted.parts) {
        m_parts.push_back({.id = part.id, .tokens = part.tokens});
    }
    m_needed_tokens = wanted.prompt_tokens + wanted.expected_output_tokens.value_or(wanted.max_output_tokens);
    m_far_groups = get_state().peers.get_remote_groups(get_request().service);
    static std::uint64_t next_number = 0;
    m_number = ++next_number;
    m_seed = get_stable_hash(get_state().options.own_host) + m_number;
}

asio::awaitable<void> generation_request::run(caller_channel& caller) {
    generate_result result = generate_result::try_again;
    while (result == generate_result::try_again) {
        require_time_left();
        const policy::engine_choice choice = choose_engines();
        std::optional<kv_cache_source> memory;
        if (choice.prefill_engine) {
            memory = co_await run_prefill(choice, caller);
            if (!memory) {
                continue;
            }
        }
        const backend_server_name engine = choose_decode_engine(choice);
        m_urgency = choice.urgency;
        result = co_await generate(engine, std::move(memory), caller);
    }
}

policy::generation_requirements generation_request::get_requirements() const {
    const generation_parameters& wanted = *get_call().generation;
    const fleet::route& route = *get_request().route;
    policy::generation_requirements placed{.prompt_tokens = wanted.prompt_tokens,
                                           .output_tokens =
                                               wanted.expected_output_tokens.value_or(wanted.max_output_tokens),
                                           .parts = m_parts,
                                           .seed = m_seed,
                                           .priority = get_request().priority,
                                           .target = {}};
    const duration waited = get_state().time.now() - get_record().arrived_at;
    if (route.target_latency > waited) {
        placed.target = route.target_latency - waited;
    }
    return placed;
}

duration generation_request::get_first_event_time(bool is_read) const {
    const service_engines& engines = *get_state().find_engines(get_request().service);
    const duration first_event = engines.get_costs().first_event;
    return is_read ? first_event : get_record().expected_time_to_first_event.value_or(first_event);
}

policy::engine_status_lookup generation_request::make_judge() const {
    return [this](const backend_server_name& engine) { return judge(engine); };
}

policy::engine_status generation_request::judge(const backend_server_name& engine) const {
    if (m_avoided.contains(engine) || !get_state().is_listed(engine)) {
        return {.usability = policy::engine_usability::unusable};
    }
    const bool is_fit = get_state().is_usable(engine) && !get_state().is_degraded(engine);
    policy::engine_status suitability{.usability = is_fit ? policy::engine_usability::healthy
                                                          : policy::engine_usability::degraded};
    if (get_state().is_own_group_server(engine)) {
        return suitability;
    }
    // The same prompts go to the same engines, and different ones spread over all.
    const std::uint64_t beginning = m_parts.empty() ? m_number : m_parts.front().id;
    const duration spread =
        std::chrono::duration_cast<duration>(foreign_spread * hash_to_unit_interval(engine.value(), beginning));
    const group_summary& summary = get_far_summary(engine);
    suitability.unobserved_backlog = summary.backlog + foreign_cost + spread;
    suitability.unobserved_utilisation = summary.utilisation + foreign_fullness;
    return suitability;
}

const group_summary& generation_request::get_far_summary(const backend_server_name& engine) const {
    static const group_summary unknown{.backlog = unknown_backlog, .utilisation = 1, .running = 0};
    const fleet::listed_server* listed = get_state().directory.find(engine);
    for (const auto& [name, group] : m_far_groups) {
        if (listed != nullptr && group.zone == listed->record.zone) {
            return group.summary;
        }
    }
    return unknown;
}

policy::engine_choice generation_request::choose_engines() {
    service_engines& engines = *get_state().find_engines(get_request().service);
    const std::optional<policy::engine_choice> choice =
        policy::choose_engines(engines.board, engines.get_costs(), get_requirements(), get_state().options.own_zone,
                               make_judge(), get_state().time.now());
    if (!choice) {
        throw request_refused(policy::refusal_reason::no_backend_server, get_outcome(), "no engine can be used",
                              no_engine_retry);
    }
    if (!get_record().expected_time_to_first_event) {
        get_record().expected_time_to_first_event = choice->time_to_first_event;
        engines.add_prefill_demand(choice->prefill_duration);
    }
    return *choice;
}

backend_server_name generation_request::choose_decode_engine(const policy::engine_choice& choice) {
    if (!choice.prefill_engine) {
        return choice.decode_engine;
    }
    // Time has passed while the prompt was read.
    const service_engines& engines = *get_state().find_engines(get_request().service);
    const policy::engine_load_tracker::engine_entry* reader = engines.board.find(*choice.prefill_engine);
    const zone_name near = reader != nullptr ? reader->facts.zone : get_state().options.own_zone;
    const std::optional<backend_server_name> engine =
        policy::choose_decode_engine(engines.board, get_requirements(), near, make_judge());
    if (!engine) {
        throw request_refused(policy::refusal_reason::no_backend_server, get_outcome(), "no engine can generate",
                              no_engine_retry);
    }
    return *engine;
}

asio::awaitable<std::optional<kv_cache_source>> generation_request::run_prefill(const policy::engine_choice& choice,
                                                                                caller_channel& caller) {
    const backend_server_name& engine = *choice.prefill_engine;
    dispatch sending = make_dispatch(engine);
    sending.is_prefill_only = true;
    sending.last_event_id.clear();
    if (m_was_read_once) {
        require_repeat_of_read();
    }
    service_engines& engines = *get_state().find_engines(get_request().service);
    const steady_time sent_at = get_state().time.now();
    sending.urgency = choice.urgency;
    if (choice.prefix_source) {
        const fleet::listed_server* source = get_state().directory.find(*choice.prefix_source);
        sending.fetch_from = source != nullptr ? std::optional(source->record.address) : std::nullopt;
    }
    const duration waits = engines.board.get_backlog(engine, sent_at);
    const policy::prefill_job job{
        .number = m_number, .sent_at = sent_at, .cost = choice.prefill_duration, .urgency = choice.urgency};
    engines.board.start_prefill(engine, job, m_parts);
    get_state().prefix_accesses.push_back({.engine = engine, .parts = m_parts});
    get_state().notify_load_change();
    const prefill_guard on_board(get_state(), get_request().service, engine, m_number);
    exchange_options options = make_exchange_options(engine);
    options.progress_timeout =
        std::min(options.progress_timeout, (waits + choice.prefill_duration) * read_patience_factor + read_patience);
    backend_exchange exchange(get_state().connections, sending.address, options);
    const policy::stall_detector::pending_request unanswered =
        get_state().silence.track(engine, sent_at, waits + choice.prefill_duration);
    std::optional<exchange_failed_error> failure;
    std::optional<kv_cache_source> memory;
    std::string_view what = "read";
    try {
        const disconnect_subscription subscription(caller, [&exchange] { exchange.cancel(); });
        const http_request message = get_state().codec.make_request(get_call(), sending);
        co_await exchange.start(message);
        const response_kind kind = get_state().codec.classify(exchange.get_head());
        const std::string body = co_await exchange.read_rest(memory_answer_limit_bytes);
        if (exchange.get_head().result() == http::status::ok) {
            memory = {.engine = sending.address, .handle = get_state().codec.decode_prefill_response(body).handle};
            m_was_read_once = true;
        } else if (kind == response_kind::wrong_server) {
            what = "other_server";
            get_state().directory.mark_address_taken(engine);
            get_state().refresh_servers();
        } else {
            what = "read_refused";
            m_avoided.insert(engine);
            record_refusal(engine);
        }
    } catch (const exchange_failed_error& fault) {
        failure = fault;
        what = "read_failed";
    } catch (const malformed_message_error& fault) {
        failure.emplace(fault.what(), exchange_phase::after_send, policy::retry_reason::malformed_answer);
        what = "read_invalid";
    }
    get_record().add_server(engine, what);
    if (caller.is_disconnected()) {
        if (memory) {
            release_kv_cache(get_state(), *memory);
        }
        throw caller_disconnected_error("caller left while its prompt was read");
    }
    if (memory) {
        get_state().health.add_success(engine);
        if (waits == duration::zero()) {
            engines.prefill_model.observe(choice.prefill, get_state().time.now() - sent_at);
        }
        co_return memory;
    }
    if (failure) {
        record_failure(engine, *failure);
        m_avoided.insert(engine);
    }
    if (exchange.is_sent()) {
        m_was_read_once = true;
    }
    co_return std::nullopt;
}

void generation_request::require_repeat_of_read() {
    require_retry_budget(policy::retry_reason::backend_server_busy);
}

asio::awaitable<generation_request::generate_result> generation_request::generate(const backend_server_name& engine,
                                                                                  std::optional<kv_cache_source> memory,
                                                                                  caller_channel& caller) {
    dispatch sending = make_dispatch(engine);
    sending.kv_cache = memory;
    sending.urgency = m_urgency;
    if (!m_events.get_last_id().empty()) {
        sending.last_event_id = m_events.get_last_id();
    }
    if (m_was_sent) {
        try {
            require_retry_budget(policy::retry_reason::broken_answer);
        } catch (const request_refused&) {
            if (memory) {
                release_kv_cache(get_state(), *memory);
            }
            throw;
        }
    }
    service_engines& engines = *get_state().find_engines(get_request().service);
    engines.board.start_decode(engine, m_needed_tokens, m_parts);
    get_state().notify_load_change();
    const generation_guard on_board(get_state(), get_request().service, engine, m_needed_tokens);
    backend_exchange exchange(get_state().connections, sending.address, make_exchange_options(engine));
    std::optional<exchange_failed_error> failure;
    response_kind kind = response_kind::invalid;
    bool has_head = false;
    m_generation_sent_at = get_state().time.now();
    policy::stall_detector::pending_request unanswered =
        get_state().silence.track(engine, m_generation_sent_at, get_first_event_time(memory.has_value()));
    try {
        const disconnect_subscription subscription(caller, [&exchange] { exchange.cancel(); });
        const http_request message = get_state().codec.make_request(get_call(), sending);
        co_await exchange.start(message);
        kind = get_state().codec.classify(exchange.get_head());
        has_head = true;
        if (kind == response_kind::answered) {
            set_may_have_run();
            co_await relay(exchange, caller, unanswered);
        } else {
            co_await exchange.read_rest(memory_answer_limit_bytes);
        }
    } catch (const exchange_failed_error& fault) {
        failure = fault;
    } catch (const caller_disconnected_error&) {
        exchange.cancel();
    }
    m_was_sent = m_was_sent || exchange.is_sent();
    if (caller.is_disconnected()) {
        get_record().add_server(engine, "caller_gone");
        if (memory && !exchange.is_sent()) {
            release_kv_cache(get_state(), *memory);
        }
        throw caller_disconnected_error("caller left before its answer was whole");
    }
    if (!failure && kind == response_kind::answered) {
        get_record().add_server(engine, "answered");
        get_state().health.add_success(engine);
        co_return generate_result::done;
    }
    if (has_head && kind == response_kind::wrong_server) {
        get_record().add_server(engine, "other_server");
        get_state().directory.mark_address_taken(engine);
        get_state().refresh_servers();
    } else if (has_head && kind == response_kind::not_run) {
        get_record().add_server(engine, "refused");
        m_avoided.insert(engine);
        record_refusal(engine);
    } else {
        get_record().add_server(engine, "failed");
        if (!failure) {
            failure.emplace("answer is not the server's", exchange_phase::after_send,
                            policy::retry_reason::malformed_answer);
        }
        on_broken(engine, *failure, exchange.is_sent());
    }
    if (memory) {
        release_kv_cache(get_state(), *memory);
    }
    co_return generate_result::try_again;
}

void generation_request::on_broken(const backend_server_name& engine, const exchange_failed_error& failure,
                                   bool was_sent) {
    if (was_sent) {
        set_may_have_run();
        ++m_runs;
    }
    m_events.drop_partial_event();
    require_time_left();
    record_failure(engine, failure);
    m_avoided.insert(engine);
    const fleet::route& route = *get_request().route;
    if (was_sent && (!fleet::may_run_again(route.retry) || m_runs >= route.max_attempts)) {
        throw request_refused(policy::refusal_reason::backend_server_failed, get_outcome(), failure.what());
    }
    get_state().counters.count_retry(failure.get_reason());
}

asio::awaitable<void> generation_request::relay(backend_exchange& exchange, caller_channel& caller,
                                                policy::stall_detector::pending_request& unanswered) {
    if (exchange.get_head().result() != http::status::ok) {
        co_await relay_plain(exchange, caller);
    } else {
        co_await relay_stream(exchange, caller, unanswered);
    }
}

asio::awaitable<void> generation_request::relay_plain(backend_exchange& exchange, caller_channel& caller) {
    http_response answer(exchange.get_head().result(), 11);
    copy_response_headers(exchange.get_head(), answer);
    answer.body() = co_await exchange.read_rest(plain_answer_limit_bytes);
    record_execution(get_state().get_corrected_time());
    if (caller.is_started()) {
        throw request_refused(policy::refusal_reason::backend_server_failed, get_outcome(),
                              "the stream could not be gone on with");
    }
    get_record().status = answer.result_int();
    co_await caller.send(std::move(answer));
}

asio::awaitable<void> generation_request::relay_stream(backend_exchange& exchange, caller_channel& caller,
                                                       policy::stall_detector::pending_request& unanswered) {
    for (std::string_view piece = co_await exchange.read_some(); !piece.empty();
         piece = co_await exchange.read_some()) {
        m_events.add_bytes(piece);
        const std::string events = m_events.take_events();
        if (m_events.is_event_too_long()) {
            throw exchange_failed_error("an event does not end", exchange_phase::after_send,
                                        policy::retry_reason::malformed_answer);
        }
        if (events.empty()) {
            continue;
        }
        unanswered.end();
        if (!caller.is_started()) {
            record_execution(get_state().get_corrected_time());
            const duration taken = get_state().time.now() - m_generation_sent_at;
            get_state().find_engines(get_request().service)->record_first_event(taken);
            get_record().time_to_first_event = get_state().time.now() - get_record().arrived_at;
            co_await start_stream(exchange, caller);
        }
        co_await caller.send_chunk(events);
    }
    if (m_events.has_partial_event()) {
        throw exchange_failed_error("the stream ends within an event", exchange_phase::after_send,
                                    policy::retry_reason::broken_answer);
    }
    if (!caller.is_started()) {
        co_await start_stream(exchange, caller);
    }
    co_await caller.finish_stream();
}

asio::awaitable<void> generation_request::start_stream(const backend_exchange& exchange, caller_channel& caller) {
    stream_head head(exchange.get_head().result(), 11);
    copy_response_headers(exchange.get_head(), head);
    get_record().status = head.result_int();
    co_await caller.start_stream(std::move(head));
}

} // namespace dragonflywell::servers
