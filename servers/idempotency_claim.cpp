#include "servers/idempotency_claim.hpp"

#include <boost/asio/associated_executor.hpp>
#include <boost/asio/async_result.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <fmt/format.h>
#include <utility>

namespace dragonflywell::servers {

namespace {

constexpr const char* key_header = "idempotency-key";
constexpr std::size_t max_key_length = 255;
constexpr std::size_t recorded_body_limit_bytes = 512;

std::string_view get_key(const http_request& request) {
    const auto header = request.find(key_header);
    return {header->value().data(), header->value().size()};
}

coordination::claim_request make_claim(const http_request& request, const organisation_name& organisation) {
    const auto to_view = [](beast::string_view text) { return std::string_view(text.data(), text.size()); };
    return {.id = coordination::make_claim_id(organisation, get_key(request)),
            .digest = coordination::get_request_digest(to_view(request.method_string()), to_view(request.target()),
                                                       request.body())};
}

request_refused make_refusal(coordination::claim_status status) {
    using policy::refusal_reason;
    using policy::request_outcome;
    switch (status) {
    case coordination::claim_status::running:
        return {refusal_reason::duplicate_running, request_outcome::unknown,
                "another request with this idempotency key is still running"};
    case coordination::claim_status::different_request:
        return {refusal_reason::idempotency_key_reused, request_outcome::not_run,
                "this idempotency key was used for a different request"};
    case coordination::claim_status::full:
        return {refusal_reason::queue_full, request_outcome::not_run, "the table of idempotency keys is full"};
    case coordination::claim_status::log_unavailable:
        return {refusal_reason::log_unavailable, request_outcome::not_run,
                "the log is unavailable, so it cannot be confirmed that the request has not run before"};
    case coordination::claim_status::acquired:
    case coordination::claim_status::done:
    case coordination::claim_status::unknown:
        break;
    }
    return {refusal_reason::duplicate_unknown, request_outcome::unknown,
            "a request with this idempotency key was started and its outcome is unknown"};
}

} // namespace

bool has_idempotency_key(const http_request& request) {
    return request.count(key_header) != 0;
}

idempotency_claim::idempotency_claim(entry_context& context, const http_request& request,
                                     const organisation_name& organisation)
    : m_context(&context), m_is_public_route(organisation.empty()), m_claim(make_claim(request, organisation)) {
    if (request.count(key_header) != 1 || get_key(request).empty() || get_key(request).size() > max_key_length) {
        throw request_refused(
            policy::refusal_reason::malformed_request, policy::request_outcome::not_run,
            fmt::format("the request must have exactly one Idempotency-Key header of 1 to {} characters",
                        max_key_length));
    }
}

idempotency_claim::~idempotency_claim() {
    if (m_is_unsettled) {
        m_context->claims.settle({.id = m_claim.id, .outcome = coordination::claim_outcome::unknown});
    }
}

asio::awaitable<std::optional<http_response>> idempotency_claim::acquire() {
    const coordination::claim_result result = co_await wait_for_result();
    if (result.status == coordination::claim_status::acquired) {
        m_is_unsettled = true;
        m_start_before = result.start_deadline;
        co_return std::nullopt;
    }
    if (result.status == coordination::claim_status::done) {
        co_return replay(result.response);
    }
    throw make_refusal(result.status);
}

void idempotency_claim::check_start() const {
    if (m_context->time.now() >= m_start_before) {
        throw request_refused(policy::refusal_reason::deadline_not_feasible, policy::request_outcome::not_run,
                              "the request waited too long after its idempotency key was claimed");
    }
}

void idempotency_claim::record_response(const http_response& response) {
    const auto type = response.find(http::field::content_type);
    const std::string content_type = type == response.end() ? "" : std::string(type->value());
    // Callers of a public route share one key space, so the body is not recorded there: a caller must not receive the
    // response to another one.
    const std::size_t limit_bytes = m_is_public_route ? 0 : recorded_body_limit_bytes;
    m_is_unsettled = false;
    m_context->claims.settle({.id = m_claim.id,
                              .outcome = coordination::claim_outcome::done,
                              .response = coordination::make_recorded_response(response.result_int(), content_type,
                                                                               response.body(), limit_bytes)});
}

void idempotency_claim::release_key() {
    m_is_unsettled = false;
    m_context->claims.settle({.id = m_claim.id, .outcome = coordination::claim_outcome::released});
}

asio::awaitable<coordination::claim_result> idempotency_claim::wait_for_result() {
    const auto start = [this](auto handler) {
        const auto executor = asio::get_associated_executor(handler);
        const auto shared = std::make_shared<decltype(handler)>(std::move(handler));
        // The claim thread only posts the result; the coroutine resumes on the thread of its connection.
        m_context->claims.claim(
            m_claim, [shared, work = asio::make_work_guard(executor)](coordination::claim_result result) mutable {
                asio::post(work.get_executor(), [shared = std::move(shared), result = std::move(result)]() mutable {
                    std::move (*shared)(std::move(result));
                });
            });
    };
    co_return co_await asio::async_initiate<const asio::use_awaitable_t<>, void(coordination::claim_result)>(
        start, asio::use_awaitable);
}

http_response idempotency_claim::replay(const coordination::recorded_response& recorded) const {
    if (!recorded.body || m_is_public_route) {
        throw request_refused(
            policy::refusal_reason::duplicate_done, policy::request_outcome::completed,
            fmt::format(
                "the request with this idempotency key has completed with status {}; its response is not replayed",
                recorded.status));
    }
    http_response response(http::status(recorded.status), 11);
    if (!recorded.content_type.empty()) {
        response.set(http::field::content_type, recorded.content_type);
    }
    response.set("x-dragonflywell-replayed", "true");
    response.body() = *recorded.body;
    return response;
}

} // namespace dragonflywell::servers
