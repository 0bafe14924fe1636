#include "servers/serving_request.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <numeric>
#include <span>

#include "core/hash.hpp"
#include "servers/crash_probe.hpp"
#include "servers/generation_request.hpp"
#include "servers/instance_request.hpp"
#include "servers/request_encoding.hpp"
#include "servers/thread_random.hpp"

namespace dragonflywell::servers {

namespace {

/// Retry-After when this host has no configuration yet.
constexpr duration not_ready_retry_after = std::chrono::milliseconds(500);
/// Retry-After while this host stops. It is short because other hosts serve the request.
constexpr duration stopping_retry_after = std::chrono::milliseconds(100);
/// Retry-After for a request that has crashed servers. It is long because the request is unlikely to succeed soon.
constexpr duration quarantine_retry_after = std::chrono::minutes(1);

const fleet::route& require_route(const fleet::serving_view& view, const caller_request& incoming) {
    const fleet::route* route = view.find_route(incoming.host, incoming.get_path());
    if (route == nullptr) {
        throw request_refused(policy::refusal_reason::no_such_route, policy::request_outcome::not_run,
                              "no route matches the host and path of the request");
    }
    return *route;
}

/// Returns the organisation that the request belongs to, or null on a public route.
const fleet::served_organisation* require_organisation(const fleet::serving_view& view, const fleet::route& route,
                                                       const caller_request& incoming) {
    if (route.is_public || !view.requires_keys()) {
        return nullptr;
    }
    if (incoming.key.empty()) {
        throw request_refused(policy::refusal_reason::missing_key, policy::request_outcome::not_run,
                              "the request carries no API key");
    }
    const fleet::served_organisation* organisation = view.find_organisation(incoming.key);
    if (organisation == nullptr) {
        throw request_refused(policy::refusal_reason::unknown_key, policy::request_outcome::not_run,
                              "the API key is unknown");
    }
    return organisation;
}

/// Throws `request_refused` when the request has crashed several servers. The outcome is `not_run`, since this attempt
/// has not been sent, and the caller may try again once the crashes have expired from the quarantine.
void require_not_quarantined(const serving_state& state, const caller_request& incoming,
                             const organisation_name& organisation) {
    if (state.suspects.is_empty()) {
        return;
    }
    if (state.suspects.is_refused(get_fingerprint(incoming, organisation), state.get_corrected_time())) {
        throw request_refused(policy::refusal_reason::quarantined_request, policy::request_outcome::not_run,
                              "backend servers crashed while they ran this request", quarantine_retry_after);
    }
}

/// Throws `request_refused` when this process stops and the request might still run at the end of its work.
void require_end_before_stop(const serving_state& state, duration time_limit) {
    if (!state.may_accept(time_limit)) {
        throw request_refused(policy::refusal_reason::stopping, policy::request_outcome::not_run,
                              "this host is shutting down", stopping_retry_after);
    }
}

/// Returns a random service of the route, weighted by share.
const service_name& choose_service(const fleet::route& route) {
    const std::uint64_t total =
        std::accumulate(route.shares.begin(), route.shares.end(), std::uint64_t{0},
                        [](std::uint64_t sum, const fleet::route_share& share) { return sum + share.weight; });
    if (total == 0) {
        return route.shares.front().service;
    }
    std::uint64_t drawn = std::uniform_int_distribution<std::uint64_t>(0, total - 1)(get_thread_random());
    for (const fleet::route_share& share : route.shares) {
        if (drawn < share.weight) {
            return share.service;
        }
        drawn -= share.weight;
    }
    return route.shares.back().service;
}

/// Returns what the request counts for the quota of its organisation, or nothing if that has none.
std::optional<double> get_quota_amount(const fleet::served_organisation* organisation, const caller_request& incoming) {
    if (organisation == nullptr || !organisation->quota) {
        return std::nullopt;
    }
    std::optional<std::uint64_t> tokens;
    if (incoming.generation) {
        tokens = std::uint64_t{incoming.generation->prompt_tokens} + incoming.generation->max_output_tokens;
    }
    return policy::get_quota_amount(*organisation->quota, tokens);
}

/// Books room for a refused request at the server of the service, of those without room, that has some again first.
/// Returns after which time, or nothing without such a server.
std::optional<duration> book_retry_after(serving_state& state, const service_name& service) {
    const backend_server_name* soonest = nullptr;
    duration shortest = duration::max();
    for (const auto& [id, server] : state.eligibility.get_list().get_servers()) {
        if (server.record.service != service || !state.may_get_work(id) || state.limits.has_room(id)) {
            continue;
        }
        const duration retry_after = state.limits.get_retry_after(id);
        if (soonest == nullptr || retry_after < shortest) {
            soonest = &id;
            shortest = retry_after;
        }
    }
    if (soonest == nullptr) {
        return std::nullopt;
    }
    return state.limits.book_refused(*soonest);
}

} // namespace

std::vector<policy::prompt_part_id> get_shared_parts(const caller_request& incoming) {
    std::vector<policy::prompt_part_id> parts;
    if (!incoming.generation || incoming.generation->parts.empty()) {
        return parts;
    }
    const std::span<const prompt_part> all = incoming.generation->parts;
    parts.reserve(all.size() - 1);
    for (const prompt_part& part : all.first(all.size() - 1)) {
        parts.push_back(part.id);
    }
    return parts;
}

void require_no_blamed_part(serving_state& state, const caller_request& incoming, policy::request_outcome outcome) {
    if (state.part_suspects.is_empty()) {
        return;
    }
    if (state.part_suspects.is_refused(get_shared_parts(incoming), state.get_corrected_time())) {
        throw request_refused(policy::refusal_reason::quarantined_request, outcome,
                              "backend servers crashed when they began to answer a prompt with one of its parts",
                              quarantine_retry_after);
    }
}

policy::request_fingerprint get_fingerprint(const caller_request& incoming, const organisation_name& organisation) {
    const std::string_view body = incoming.body;
    const std::string head = fmt::format("{} {} {} {} ", static_cast<unsigned>(incoming.method), incoming.host,
                                         incoming.target, organisation.value());
    return get_stable_hash(head + std::to_string(get_stable_hash(body)));
}

checked_head check_request_head(const serving_state& state, const caller_request& incoming, request_record& record) {
    const std::shared_ptr<const fleet::serving_view>& view = state.get_view();
    if (view == nullptr) {
        throw request_refused(policy::refusal_reason::not_ready, policy::request_outcome::not_run,
                              "this host has not loaded a configuration yet", not_ready_retry_after);
    }
    record.configuration_version = view->get_version();
    record.configuration_age = state.get_configuration_age();
    const fleet::route& route = require_route(*view, incoming);
    record.route = route.name;
    const fleet::served_organisation* organisation = require_organisation(*view, route, incoming);
    record.organisation = organisation == nullptr ? std::string() : organisation->name.value();
    duration time_limit = route.timeout;
    if (incoming.caller_timeout) {
        time_limit = std::min(time_limit, *incoming.caller_timeout);
    }
    require_end_before_stop(state, time_limit);
    return {.view = view, .route = &route, .organisation = organisation, .time_limit = time_limit};
}

std::unique_ptr<serving_request> make_serving_request(serving_state& state, const caller_request& incoming,
                                                      request_record& record) {
    const checked_head head = check_request_head(state, incoming, record);
    const fleet::route& route = *head.route;
    const fleet::served_organisation* organisation = head.organisation;
    const organisation_name name = organisation == nullptr ? organisation_name() : organisation->name;
    require_not_quarantined(state, incoming, name);
    require_no_blamed_part(state, incoming, policy::request_outcome::not_run);
    serving_request::accepted_request request{
        .request = &incoming,
        .view = head.view,
        .route = &route,
        .service = choose_service(route),
        .organisation = name,
        .priority = organisation == nullptr ? route.priority : organisation->priority.value_or(route.priority),
        .deadline = record.head_arrived_at.value_or(record.arrived_at) + head.time_limit,
        .quota_amount = get_quota_amount(organisation, incoming)};
    state.get_retry_budget(request.service).add_request(state.time.now());
    const bool is_generation = incoming.generation && state.find_engines(request.service) != nullptr;
    if (is_generation) {
        return std::make_unique<generation_request>(state, std::move(request), record);
    }
    return std::make_unique<instance_request>(state, std::move(request), record);
}

asio::awaitable<void> serving_request::acquire_quota() {
    if (m_request.quota_amount) {
        m_quota_use =
            co_await m_state->quotas.acquire(m_request.organisation, *m_request.quota_amount, get_time_left());
    }
}

void serving_request::give_back_quota() {
    if (m_quota_use) {
        m_state->quotas.give_back(*m_quota_use);
        m_quota_use.reset();
    }
}

void serving_request::give_back_unsent_quota() {
    if (!m_was_exchange_begun) {
        give_back_quota();
    }
}

duration serving_request::get_time_left() const {
    return std::min(m_request.deadline - m_state->time.now(), m_state->get_work_time_left());
}

void serving_request::require_time_left() const {
    if (m_request.deadline <= m_state->time.now()) {
        throw request_refused(policy::refusal_reason::deadline_exceeded, get_outcome(),
                              "the deadline of this request has passed");
    }
    if (m_state->get_work_time_left() <= duration::zero()) {
        throw request_refused(policy::refusal_reason::stopping, get_outcome(), "this host is shutting down",
                              stopping_retry_after);
    }
}

void serving_request::require_retry_budget(policy::retry_reason reason) {
    if (!m_state->get_retry_budget(m_request.service).try_acquire_retry(m_state->time.now())) {
        throw request_refused(policy::refusal_reason::retry_budget_spent, get_outcome(),
                              "the retry budget of the service is exhausted");
    }
    m_state->counters.count_retry(reason);
}

dispatch serving_request::make_dispatch(const backend_server_name& server) const {
    const fleet::listed_server* listed = m_state->eligibility.get_list().find(server);
    if (listed == nullptr) {
        throw request_refused(policy::refusal_reason::no_backend_server, get_outcome(),
                              "the backend server is no longer listed");
    }
    m_record->servers_age = m_state->eligibility.get_belief(server, m_state->time.now()).age;
    return {.server = server,
            .address = listed->record.address,
            .time_left = get_time_left(),
            .organisation = m_request.organisation,
            .is_prefill_only = false,
            .kv_cache = {},
            .prefix_source = {},
            .urgency = {},
            .last_event_id = get_caller_request().last_event_id};
}

http_request serving_request::make_message(const dispatch& attempt) const {
    http_request message = m_state->codec.make_request(get_caller_request(), attempt);
    if (!is_sendable(message)) {
        throw request_refused(policy::refusal_reason::internal_fault, get_outcome(),
                              "a name or an id in the request cannot stand in its header");
    }
    return message;
}

asio::awaitable<std::optional<send_permit>> serving_request::acquire_permit(backend_server_name server) {
    permit_result taken = co_await m_state->limits.acquire(std::move(server), get_time_left());
    if (!taken.permit) {
        m_limit_retry_after = std::min(m_limit_retry_after.value_or(taken.retry_after), taken.retry_after);
    }
    co_return std::move(taken.permit);
}

duration serving_request::get_retry_after(duration fallback) {
    if (!m_limit_retry_after) {
        m_limit_retry_after = book_retry_after(*m_state, m_request.service);
    }
    return m_state->get_retry_after(m_request.service, fallback, m_limit_retry_after);
}

exchange_options serving_request::make_exchange_options(const backend_server_name& server, const caller_channel& caller,
                                                        send_permit permit) {
    m_was_exchange_begun = true;
    serving_state* state = m_state;
    const backend_codec* codec = &m_state->codec;
    const fleet::listed_server* listed = m_state->eligibility.get_list().find(server);
    const auto incarnation = static_cast<std::uint64_t>(listed == nullptr ? 0 : listed->record.started_at_ms);
    const duration time_left = get_time_left();
    const steady_time sent_at = m_state->time.now();
    return {.progress_timeout = std::max(duration::zero(), time_left),
            .deadline = sent_at + time_left,
            .accepts_unframed_response = true,
            .matching =
                response_matching{
                    .request_id = get_caller_request().id,
                    .find_owner = [codec](const http::response_header<>& head) { return codec->find_owner(head); }},
            .on_response_head =
                [state, codec, server, incarnation, sent_at](const http::response_header<>& head) {
                    // A response of another server says nothing of this one.
                    if (codec->classify(head) != response_kind::wrong_server) {
                        state->apply_notice(server, incarnation, codec->decode_notice(head), sent_at);
                    }
                },
            .may_send =
                [state, server, channel = &caller, own = std::make_shared<send_permit>(std::move(permit))] {
                    return !channel->is_disconnected() && state->may_get_work(server) && own->try_use();
                }};
}

tracked_exchange serving_request::track(const backend_server_name& server, const backend_exchange& exchange,
                                        bool is_generation) const {
    return {*m_state,
            server,
            exchange,
            {.request = m_request.request, .organisation = m_request.organisation, .is_generation = is_generation}};
}

void serving_request::record_failure(const backend_server_name& server, const exchange_failed_error& failure,
                                     tracked_exchange& tracked) const {
    // An exchange that this process ended because it stops says nothing of the server.
    const bool was_ended_here = m_state->get_work_time_left() <= duration::zero();
    if (failure.get_reason() == policy::retry_reason::server_left || was_ended_here) {
        return;
    }
    const bool is_unreachable = failure.get_phase() == exchange_phase::before_send;
    m_state->health.add_failure(server,
                                is_unreachable ? policy::server_failure::unreachable : policy::server_failure::broken,
                                m_state->time.now());
    if (is_unreachable) {
        m_state->record_server_down(server, policy::down_proof::unreachable);
        return;
    }
    tracked.set_broken();
    const fleet::listed_server* listed = m_state->eligibility.get_list().find(server);
    if (listed != nullptr && failure.get_reason() != policy::retry_reason::silent_backend_server) {
        probe_for_crash(*m_state, server, listed->record.address);
    }
}

void serving_request::record_refusal(const backend_server_name& server) const {
    m_state->health.add_failure(server, policy::server_failure::refused, m_state->time.now());
}

void serving_request::record_execution(wall_time began_at) {
    m_may_have_run = true;
    if (m_is_counted || m_request.organisation.empty()) {
        return;
    }
    m_is_counted = true;
    m_state->usage.add(m_request.organisation, began_at);
}

} // namespace dragonflywell::servers
