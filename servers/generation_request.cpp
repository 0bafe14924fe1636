#include "servers/generation_request.hpp"

#include <algorithm>

#include "core/hash.hpp"
#include "servers/answer_relay.hpp"
#include "servers/board_entries.hpp"
#include "servers/gone_subscription.hpp"
#include "servers/memory_release.hpp"

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

generation_request::generation_request(serving_state& state, accepted request, request_record& record)
    : serving_request(state, std::move(request), record) {
    const generation& wanted = *get_call().wanted;
    for (const prompt_part& part : wanted.parts) {
        m_parts.push_back({.id = part.id, .tokens = part.tokens});
    }
    m_needed_tokens = wanted.prompt_tokens + wanted.expected_output_tokens.value_or(wanted.most_output_tokens);
    m_far_groups = get_state().peers.get_far_groups(get_request().service);
    static std::uint64_t next_number = 0;
    m_number = ++next_number;
    m_seed = get_stable_hash(get_state().options.own_host) + m_number;
}

asio::awaitable<void> generation_request::run(caller_channel& caller) {
    generate_result result = generate_result::try_again;
    while (result == generate_result::try_again) {
        require_time_left();
        const policy::engine_choice choice = choose_engines();
        std::optional<memory_source> memory;
        if (choice.reader) {
            memory = co_await read_prompt(choice, caller);
            if (!memory) {
                continue;
            }
        }
        const backend_server_name engine = choose_generator(choice);
        m_urgency = choice.urgency;
        result = co_await generate(engine, std::move(memory), caller);
    }
}

policy::placed_generation generation_request::get_placed() const {
    const generation& wanted = *get_call().wanted;
    const fleet::route& route = *get_request().route;
    policy::placed_generation placed{.prompt_tokens = wanted.prompt_tokens,
                                     .output_tokens = wanted.expected_output_tokens.value_or(wanted.most_output_tokens),
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
    return is_read ? first_event : get_record().expected_first.value_or(first_event);
}

policy::engine_judge generation_request::make_judge() const {
    return [this](const backend_server_name& engine) { return judge(engine); };
}

policy::engine_suitability generation_request::judge(const backend_server_name& engine) const {
    if (m_avoided.contains(engine) || !get_state().is_listed(engine)) {
        return {.fitness = policy::engine_fitness::unusable};
    }
    const bool is_fit = get_state().is_usable(engine) && !get_state().is_doubted(engine);
    policy::engine_suitability suitability{.fitness =
                                               is_fit ? policy::engine_fitness::fit : policy::engine_fitness::doubtful};
    if (get_state().is_home(engine)) {
        return suitability;
    }
    // The same prompts go to the same engines, and different ones spread over all.
    const std::uint64_t beginning = m_parts.empty() ? m_number : m_parts.front().id;
    const duration spread =
        std::chrono::duration_cast<duration>(foreign_spread * draw_share(engine.value(), beginning));
    const group_summary& summary = get_far_summary(engine);
    suitability.unseen_backlog = summary.backlog + foreign_cost + spread;
    suitability.unseen_fullness = summary.fullness + foreign_fullness;
    return suitability;
}

const group_summary& generation_request::get_far_summary(const backend_server_name& engine) const {
    static const group_summary unknown{.backlog = unknown_backlog, .fullness = 1, .running = 0};
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
        policy::choose_engines(engines.board, engines.get_costs(), get_placed(), get_state().options.own_zone,
                               make_judge(), get_state().time.now());
    if (!choice) {
        throw request_refused(policy::refusal_reason::no_backend_server, get_outcome(), "no engine can be used",
                              no_engine_retry);
    }
    if (!get_record().expected_first) {
        get_record().expected_first = choice->first_event_after;
        engines.add_read_demand(choice->reading_time);
    }
    return *choice;
}

backend_server_name generation_request::choose_generator(const policy::engine_choice& choice) {
    if (!choice.reader) {
        return choice.generator;
    }
    // Time has passed while the prompt was read.
    const service_engines& engines = *get_state().find_engines(get_request().service);
    const policy::engine_board::engine_state* reader = engines.board.find(*choice.reader);
    const zone_name near = reader != nullptr ? reader->facts.zone : get_state().options.own_zone;
    const std::optional<backend_server_name> engine =
        policy::choose_generator(engines.board, get_placed(), near, make_judge());
    if (!engine) {
        throw request_refused(policy::refusal_reason::no_backend_server, get_outcome(), "no engine can generate",
                              no_engine_retry);
    }
    return *engine;
}

asio::awaitable<std::optional<memory_source>> generation_request::read_prompt(const policy::engine_choice& choice,
                                                                              caller_channel& caller) {
    const backend_server_name& engine = *choice.reader;
    dispatch sending = make_dispatch(engine);
    sending.reads_prompt_only = true;
    sending.last_event_id.clear();
    if (m_was_read_once) {
        require_repeat_of_read();
    }
    service_engines& engines = *get_state().find_engines(get_request().service);
    const steady_time sent_at = get_state().time.now();
    sending.urgency = choice.urgency;
    if (choice.fetch_from) {
        const fleet::listed_server* source = get_state().directory.find(*choice.fetch_from);
        sending.fetch_from = source != nullptr ? std::optional(source->record.address) : std::nullopt;
    }
    const duration waits = engines.board.get_backlog(engine, sent_at);
    const policy::prompt_job job{
        .number = m_number, .sent_at = sent_at, .cost = choice.reading_time, .urgency = choice.urgency};
    engines.board.start_prompt(engine, job, m_parts);
    get_state().touches.push_back({.engine = engine, .parts = m_parts});
    get_state().note_load_change();
    const prompt_on_board on_board(get_state(), get_request().service, engine, m_number);
    exchange_options options = make_exchange_options(engine);
    options.progress_deadline =
        std::min(options.progress_deadline, (waits + choice.reading_time) * read_patience_factor + read_patience);
    backend_exchange exchange(get_state().connections, sending.address, options);
    const policy::silence_watch::waiting unanswered =
        get_state().silence.watch(engine, sent_at, waits + choice.reading_time);
    std::optional<exchange_failed_error> failure;
    std::optional<memory_source> memory;
    std::string_view what = "read";
    try {
        const gone_subscription subscription(caller, [&exchange] { exchange.cancel(); });
        const http_request message = get_state().dialect.make_request(get_call(), sending);
        co_await exchange.start(message);
        const answer_kind kind = get_state().dialect.classify(exchange.get_head());
        const std::string body = co_await exchange.read_rest(memory_answer_limit_bytes);
        if (exchange.get_head().result() == http::status::ok) {
            memory = {.engine = sending.address, .handle = get_state().dialect.read_prompt_memory(body).handle};
            m_was_read_once = true;
        } else if (kind == answer_kind::wrong_server) {
            what = "other_server";
            get_state().directory.set_displaced(engine);
            get_state().refresh_servers();
        } else {
            what = "read_refused";
            m_avoided.insert(engine);
            note_refusal(engine);
        }
    } catch (const exchange_failed_error& fault) {
        failure = fault;
        what = "read_failed";
    } catch (const malformed_message_error& fault) {
        failure.emplace(fault.what(), exchange_phase::after_send, policy::retry_reason::malformed_answer);
        what = "read_invalid";
    }
    get_record().add_server(engine, what);
    if (caller.is_gone()) {
        if (memory) {
            release_memory(get_state(), *memory);
        }
        throw caller_gone_error("caller left while its prompt was read");
    }
    if (memory) {
        get_state().health.add_success(engine);
        if (waits == duration::zero()) {
            engines.read_time.observe(choice.reading, get_state().time.now() - sent_at);
        }
        co_return memory;
    }
    if (failure) {
        note_failure(engine, *failure);
        m_avoided.insert(engine);
    }
    if (exchange.is_sent()) {
        m_was_read_once = true;
    }
    co_return std::nullopt;
}

void generation_request::require_repeat_of_read() {
    require_repeat(policy::retry_reason::backend_server_busy);
}

asio::awaitable<generation_request::generate_result> generation_request::generate(const backend_server_name& engine,
                                                                                  std::optional<memory_source> memory,
                                                                                  caller_channel& caller) {
    dispatch sending = make_dispatch(engine);
    sending.memory = memory;
    sending.urgency = m_urgency;
    if (!m_events.get_last_id().empty()) {
        sending.last_event_id = m_events.get_last_id();
    }
    if (m_was_sent) {
        try {
            require_repeat(policy::retry_reason::broken_answer);
        } catch (const request_refused&) {
            if (memory) {
                release_memory(get_state(), *memory);
            }
            throw;
        }
    }
    service_engines& engines = *get_state().find_engines(get_request().service);
    engines.board.start_run(engine, m_needed_tokens, m_parts);
    get_state().note_load_change();
    const run_on_board on_board(get_state(), get_request().service, engine, m_needed_tokens);
    backend_exchange exchange(get_state().connections, sending.address, make_exchange_options(engine));
    std::optional<exchange_failed_error> failure;
    answer_kind kind = answer_kind::invalid;
    bool has_head = false;
    m_generation_sent_at = get_state().time.now();
    policy::silence_watch::waiting unanswered =
        get_state().silence.watch(engine, m_generation_sent_at, get_first_event_time(memory.has_value()));
    try {
        const gone_subscription subscription(caller, [&exchange] { exchange.cancel(); });
        const http_request message = get_state().dialect.make_request(get_call(), sending);
        co_await exchange.start(message);
        kind = get_state().dialect.classify(exchange.get_head());
        has_head = true;
        if (kind == answer_kind::answered) {
            set_may_have_run();
            co_await relay(exchange, caller, unanswered);
        } else {
            co_await exchange.read_rest(memory_answer_limit_bytes);
        }
    } catch (const exchange_failed_error& fault) {
        failure = fault;
    } catch (const caller_gone_error&) {
        exchange.cancel();
    }
    m_was_sent = m_was_sent || exchange.is_sent();
    if (caller.is_gone()) {
        get_record().add_server(engine, "caller_gone");
        if (memory && !exchange.is_sent()) {
            release_memory(get_state(), *memory);
        }
        throw caller_gone_error("caller left before its answer was whole");
    }
    if (!failure && kind == answer_kind::answered) {
        get_record().add_server(engine, "answered");
        get_state().health.add_success(engine);
        co_return generate_result::done;
    }
    if (has_head && kind == answer_kind::wrong_server) {
        get_record().add_server(engine, "other_server");
        get_state().directory.set_displaced(engine);
        get_state().refresh_servers();
    } else if (has_head && kind == answer_kind::not_run) {
        get_record().add_server(engine, "refused");
        m_avoided.insert(engine);
        note_refusal(engine);
    } else {
        get_record().add_server(engine, "failed");
        if (!failure) {
            failure.emplace("answer is not the server's", exchange_phase::after_send,
                            policy::retry_reason::malformed_answer);
        }
        on_broken(engine, *failure, exchange.is_sent());
    }
    if (memory) {
        release_memory(get_state(), *memory);
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
    note_failure(engine, failure);
    m_avoided.insert(engine);
    const fleet::route& route = *get_request().route;
    if (was_sent && (!fleet::may_run_again(route.repeats) || m_runs >= route.attempts)) {
        throw request_refused(policy::refusal_reason::backend_server_failed, get_outcome(), failure.what());
    }
    get_state().counters.count_retry(failure.get_reason());
}

asio::awaitable<void> generation_request::relay(backend_exchange& exchange, caller_channel& caller,
                                                policy::silence_watch::waiting& unanswered) {
    if (exchange.get_head().result() != http::status::ok) {
        co_await relay_plain(exchange, caller);
    } else {
        co_await relay_stream(exchange, caller, unanswered);
    }
}

asio::awaitable<void> generation_request::relay_plain(backend_exchange& exchange, caller_channel& caller) {
    http_response answer(exchange.get_head().result(), 11);
    copy_answer_headers(exchange.get_head(), answer);
    answer.body() = co_await exchange.read_rest(plain_answer_limit_bytes);
    note_run(get_state().get_true_time());
    if (caller.is_started()) {
        throw request_refused(policy::refusal_reason::backend_server_failed, get_outcome(),
                              "the stream could not be gone on with");
    }
    get_record().status = answer.result_int();
    co_await caller.send(std::move(answer));
}

asio::awaitable<void> generation_request::relay_stream(backend_exchange& exchange, caller_channel& caller,
                                                       policy::silence_watch::waiting& unanswered) {
    for (std::string_view piece = co_await exchange.read_some(); !piece.empty();
         piece = co_await exchange.read_some()) {
        m_events.add_bytes(piece);
        const std::string events = m_events.take_events();
        if (m_events.is_endless()) {
            throw exchange_failed_error("an event does not end", exchange_phase::after_send,
                                        policy::retry_reason::malformed_answer);
        }
        if (events.empty()) {
            continue;
        }
        unanswered.end();
        if (!caller.is_started()) {
            note_run(get_state().get_true_time());
            const duration taken = get_state().time.now() - m_generation_sent_at;
            get_state().find_engines(get_request().service)->observe_first_event(taken);
            get_record().first_after = get_state().time.now() - get_record().arrived_at;
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
    copy_answer_headers(exchange.get_head(), head);
    get_record().status = head.result_int();
    co_await caller.start_stream(std::move(head));
}

} // namespace dragonflywell::servers
