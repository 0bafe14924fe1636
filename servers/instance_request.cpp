#include "servers/instance_request.hpp"

#include <algorithm>

#include "policy/service_placement.hpp"
#include "servers/disconnect_subscription.hpp"
#include "servers/response_headers.hpp"

namespace dragonflywell::servers {

namespace {

constexpr std::size_t answer_limit_bytes = 16UL * 1024 * 1024;
constexpr unsigned first_failed_status = 500;
/// When a caller may come again that found no instance.
constexpr duration no_instance_retry = std::chrono::milliseconds(300);

} // namespace

asio::awaitable<void> instance_request::run(caller_channel& caller) {
    std::optional<http_response> answer;
    try {
        while (!answer) {
            require_time_left();
            const backend_server_name server = choose();
            answer = co_await try_on(server, caller);
            m_tried.insert(server);
        }
    } catch (const request_refused&) {
        if (!m_failed_answer) {
            throw;
        }
        // An instance's own failure tells the caller more than that no other one could be tried.
        answer = std::move(m_failed_answer);
    }
    get_record().status = answer->result_int();
    co_await caller.send(std::move(*answer));
}

backend_server_name instance_request::choose() const {
    std::vector<policy::service_candidate> candidates;
    std::vector<policy::service_candidate> tried;
    for (const auto& [id, listed] : get_state().directory.get_servers()) {
        if (listed.record.service != get_request().service || !get_state().is_usable(id)) {
            continue;
        }
        const policy::service_candidate candidate{.server = id,
                                                  .slots = listed.record.slots,
                                                  .in_flight = get_state().get_in_flight(id),
                                                  .is_own_zone = listed.record.zone == get_state().options.own_zone,
                                                  .is_cold = listed.record.warmup_left > duration::zero(),
                                                  .failure_share = get_state().health.get_failure_share(id)};
        (m_tried.contains(id) ? tried : candidates).push_back(candidate);
    }
    // A second run counts as a run on another server only there; the one tried before is better than none.
    const std::vector<policy::service_candidate>& offered = candidates.empty() ? tried : candidates;
    const std::optional<std::size_t> chosen = policy::choose_instance(offered);
    if (!chosen) {
        throw request_refused(policy::refusal_reason::no_backend_server, get_outcome(), "no instance can be used",
                              no_instance_retry);
    }
    return offered[*chosen].server;
}

asio::awaitable<std::optional<http_response>> instance_request::try_on(const backend_server_name& server,
                                                                       caller_channel& caller) {
    const serving_state::in_flight_guard token(get_state(), server);
    const dispatch sending = make_dispatch(server);
    backend_exchange exchange(get_state().connections, sending.address, make_exchange_options(server));
    std::optional<exchange_failed_error> failure;
    std::optional<http_response> answer;
    response_kind kind = response_kind::invalid;
    // An instance begins when the request arrives, long before its answer tells so.
    const wall_time sent_at = get_state().get_corrected_time();
    try {
        const disconnect_subscription subscription(caller, [&exchange] { exchange.cancel(); });
        const http_request message = get_state().codec.make_request(get_call(), sending);
        co_await exchange.start(message);
        kind = get_state().codec.classify(exchange.get_head());
        answer.emplace(exchange.get_head().result(), 11);
        copy_response_headers(exchange.get_head(), *answer);
        const auto length = exchange.get_head().find(http::field::content_length);
        if (get_call().method == http::verb::head && length != exchange.get_head().end()) {
            answer->set(http::field::content_length, length->value());
        }
        answer->body() = co_await exchange.read_rest(answer_limit_bytes);
    } catch (const exchange_failed_error& fault) {
        failure = fault;
    }
    if (caller.is_disconnected()) {
        throw caller_disconnected_error("caller left before its answer came");
    }
    if (failure) {
        get_record().add_server(server, "failed");
        co_return on_failure(server, *failure, exchange.is_sent());
    }
    switch (kind) {
    case response_kind::answered:
        break;
    case response_kind::wrong_server:
        get_record().add_server(server, "other_server");
        get_state().directory.mark_address_taken(server);
        get_state().refresh_servers();
        require_retry_budget(policy::retry_reason::connect_failed);
        co_return std::nullopt;
    case response_kind::not_run:
        get_record().add_server(server, "refused");
        record_refusal(server);
        require_retry_budget(policy::retry_reason::backend_server_busy);
        co_return std::nullopt;
    case response_kind::invalid:
        get_record().add_server(server, "invalid");
        co_return on_failure(server,
                             exchange_failed_error("answer is not the server's", exchange_phase::after_send,
                                                   policy::retry_reason::malformed_answer),
                             true);
    }
    record_execution(sent_at);
    ++m_runs;
    get_record().add_server(server, std::to_string(answer->result_int()));
    const bool is_failure = answer->result_int() >= first_failed_status;
    if (!is_failure) {
        get_state().health.add_success(server);
        co_return answer;
    }
    get_state().health.add_failure(server, policy::server_failure::answered_failure, get_state().time.now());
    if (!may_try_again()) {
        co_return answer;
    }
    get_state().counters.count_retry(policy::retry_reason::broken_answer);
    m_failed_answer = std::move(answer);
    co_return std::nullopt;
}

std::optional<http_response> instance_request::on_failure(const backend_server_name& server,
                                                          const exchange_failed_error& failure, bool was_sent) {
    if (get_time_left() <= duration::zero()) {
        if (was_sent) {
            set_may_have_run();
        }
        require_time_left();
    }
    record_failure(server, failure);
    if (!was_sent) {
        // Nothing arrived there, so that trying another instance is no repeat.
        get_state().counters.count_retry(failure.get_reason());
        return std::nullopt;
    }
    set_may_have_run();
    ++m_runs;
    if (may_try_again()) {
        get_state().counters.count_retry(failure.get_reason());
        return std::nullopt;
    }
    throw request_refused(policy::refusal_reason::backend_server_failed, get_outcome(), failure.what());
}

bool instance_request::may_try_again() const {
    const fleet::route& route = *get_request().route;
    return fleet::may_run_again(route.retry) && m_runs < route.max_attempts &&
           get_state().get_retry_budget(get_request().service).try_acquire_retry(get_state().time.now());
}

} // namespace dragonflywell::servers
