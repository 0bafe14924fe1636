#include "servers/instance_request.hpp"

#include <algorithm>

#include "core/hash.hpp"
#include "policy/service_placement.hpp"
#include "servers/disconnect_subscription.hpp"
#include "servers/response_headers.hpp"

namespace dragonflywell::servers {

namespace {

constexpr std::size_t response_limit_bytes = 16UL * 1024 * 1024;
constexpr unsigned first_refused_status = 400;
constexpr unsigned first_error_status = 500;
/// Retry-After when no instance is available.
constexpr duration no_instance_retry_after = std::chrono::milliseconds(300);

} // namespace

asio::awaitable<void> instance_request::run(caller_channel& caller) {
    std::optional<http_response> response;
    try {
        while (!response) {
            require_time_left();
            const backend_server_name server = choose();
            std::optional<send_permit> permit = co_await acquire_permit(server);
            if (!permit) {
                m_without_room.insert(server);
                continue;
            }
            response = co_await send_to(server, std::move(*permit), caller);
            m_tried.insert(server);
        }
    } catch (const request_refused&) {
        if (!m_error_response) {
            throw;
        }
        // The error response of an instance tells the caller more than a refusal because no other instance could be
        // tried.
        response = std::move(m_error_response);
    }
    get_record().status = response->result_int();
    co_await caller.send(std::move(*response));
}

backend_server_name instance_request::choose() {
    std::vector<policy::service_candidate> candidates;
    std::vector<policy::service_candidate> tried;
    const steady_time now = get_state().time.now();
    policy::server_speed_estimator& speeds = get_state().speeds[get_request().service].estimator;
    speeds.refresh(now);
    for (const auto& [id, listed] : get_state().eligibility.get_list().get_servers()) {
        if (listed.record.service != get_request().service || !get_state().is_usable(id)) {
            continue;
        }
        if (m_without_room.contains(id) || !get_state().limits.has_room(id)) {
            continue;
        }
        const std::uint32_t in_flight = get_state().get_in_flight(id);
        const double load = static_cast<double>(in_flight + 1) / std::max<std::uint32_t>(1, listed.record.slots);
        const policy::service_candidate candidate{.server = id,
                                                  .slots = listed.record.slots,
                                                  .in_flight = in_flight,
                                                  .is_own_zone = listed.record.zone == get_state().options.own_zone,
                                                  .is_cold = listed.record.warmup_left > duration::zero(),
                                                  .is_uncertain = get_state().eligibility.is_uncertain(id, now),
                                                  .failure_share = get_state().health.get_failure_share(id),
                                                  .speed = speeds.get_speed(id, load)};
        (m_tried.contains(id) ? tried : candidates).push_back(candidate);
    }
    // Instances that were not tried yet come first. Without one, an instance that was tried before is better than none.
    const std::vector<policy::service_candidate>& offered = candidates.empty() ? tried : candidates;
    const std::optional<std::size_t> chosen = policy::choose_instance(offered);
    if (!chosen) {
        throw request_refused(policy::refusal_reason::no_backend_server, get_outcome(),
                              "no instance of the service is available", get_retry_after(no_instance_retry_after));
    }
    return offered[*chosen].server;
}

std::uint64_t instance_request::get_kind() const {
    return get_stable_hash(get_request().route->name) + static_cast<std::uint64_t>(get_caller_request().method);
}

asio::awaitable<std::optional<http_response>> instance_request::send_to(const backend_server_name& server,
                                                                        send_permit permit, caller_channel& caller) {
    const serving_state::in_flight_guard in_flight(get_state(), server);
    const dispatch attempt = make_dispatch(server);
    const http_request message = make_message(attempt);
    instance_observation observation(get_state(), get_request().service, server, get_kind());
    backend_exchange exchange(get_state().connections, attempt.address,
                              make_exchange_options(server, caller, std::move(permit)));
    const serving_state::running_exchange registration(get_state(), exchange);
    tracked_exchange tracked = track(server, exchange);
    std::optional<exchange_failed_error> failure;
    std::optional<http_response> response;
    response_kind kind = response_kind::invalid;
    // An instance starts to run the request on arrival, long before its response shows it.
    const wall_time sent_at = get_state().get_corrected_time();
    try {
        const disconnect_subscription subscription(caller, [&exchange] { exchange.cancel(); });
        co_await exchange.start(message);
        kind = get_state().codec.classify(exchange.get_head());
        response = make_caller_response<http::string_body>(exchange.get_head());
        const auto length = exchange.get_head().find(http::field::content_length);
        if (get_caller_request().method == http::verb::head && length != exchange.get_head().end()) {
            response->set(http::field::content_length, length->value());
        }
        response->body() = co_await exchange.read_rest(response_limit_bytes);
        m_response_share = exchange.release_buffered_share();
    } catch (const exchange_failed_error& fault) {
        failure = fault;
    }
    if (caller.is_disconnected()) {
        throw caller_disconnected_error("caller disconnected before its response arrived");
    }
    if (failure) {
        get_record().add_server(server, "failed", exchange.get_connection_use());
        if (!exchange.is_sent()) {
            observation.discard();
        }
        co_return handle_failure(server, *failure, tracked, exchange.is_sent());
    }
    switch (kind) {
    case response_kind::answered:
        tracked.set_answered();
        break;
    case response_kind::wrong_server:
        tracked.set_not_run();
        observation.discard();
        get_record().add_server(server, "other_server", exchange.get_connection_use());
        get_state().eligibility.record_mismatch(server, tracked.get_sent_at());
        require_retry_budget(policy::retry_reason::connect_failed);
        co_return std::nullopt;
    case response_kind::not_run:
        tracked.set_not_run();
        observation.discard();
        get_record().add_server(server, "refused", exchange.get_connection_use());
        record_refusal(server);
        require_retry_budget(policy::retry_reason::backend_server_busy);
        co_return std::nullopt;
    case response_kind::invalid:
        get_record().add_server(server, "invalid", exchange.get_connection_use());
        co_return handle_failure(server,
                                 exchange_failed_error("backend server returned an invalid response",
                                                       exchange_phase::after_send,
                                                       policy::retry_reason::malformed_answer),
                                 tracked, true);
    }
    // An error response says little of how long the work takes.
    if (response->result_int() < first_refused_status) {
        observation.finish();
    }
    record_execution(sent_at);
    ++m_run_count;
    get_record().add_server(server, std::to_string(response->result_int()), exchange.get_connection_use());
    const bool is_failure = response->result_int() >= first_error_status;
    if (!is_failure) {
        get_state().health.add_success(server);
        co_return response;
    }
    get_state().health.add_failure(server, policy::server_failure::answered_failure, get_state().time.now());
    if (!may_try_again()) {
        co_return response;
    }
    get_state().counters.count_retry(policy::retry_reason::broken_answer);
    m_error_response = std::move(response);
    co_return std::nullopt;
}

std::optional<http_response> instance_request::handle_failure(const backend_server_name& server,
                                                              const exchange_failed_error& failure,
                                                              tracked_exchange& tracked, bool was_sent) {
    if (get_time_left() <= duration::zero()) {
        if (was_sent) {
            set_may_have_run();
        }
        require_time_left();
    }
    record_failure(server, failure, tracked);
    if (!was_sent) {
        // The instance has received nothing, so that trying another one does not count as a retry.
        get_state().counters.count_retry(failure.get_reason());
        return std::nullopt;
    }
    set_may_have_run();
    ++m_run_count;
    if (may_try_again()) {
        get_state().counters.count_retry(failure.get_reason());
        return std::nullopt;
    }
    throw request_refused(policy::refusal_reason::backend_server_failed, get_outcome(), failure.what());
}

bool instance_request::may_try_again() const {
    const fleet::route& route = *get_request().route;
    return fleet::may_run_again(route.retry) && m_run_count < route.max_attempts &&
           get_state().get_retry_budget(get_request().service).try_acquire_retry(get_state().time.now());
}

} // namespace dragonflywell::servers
