#include "servers/admission_controller.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/this_coro.hpp>

#include "servers/disconnect_subscription.hpp"
#include "servers/request_refused.hpp"

namespace dragonflywell::servers {

namespace {

request_refused make_refusal(policy::refusal_reason reason, const char* message, duration wait) {
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(wait);
    return {reason, policy::request_outcome::not_run, message, std::max(seconds, std::chrono::seconds(1))};
}

} // namespace

asio::awaitable<std::unique_ptr<admission_controller::permit>> admission_controller::admit(admission_request request,
                                                                                           caller_channel& caller) {
    const asio::any_io_executor executor = co_await asio::this_coro::executor;
    policy::ticket_number ticket = 0;
    const std::uint64_t tokens = std::min(request.cost.get_tokens(), get_limit(request.capacity_tokens));
    const std::shared_ptr<waiter> waiting = admit_or_enqueue(request, executor, ticket);
    if (waiting == nullptr) {
        co_return std::make_unique<permit>(*this, request.model, tokens, get_work(request.cost));
    }
    waiting->timer.expires_after(m_options.max_wait);
    {
        const disconnect_subscription subscription(caller, [&waiting] { waiting->timer.cancel(); });
        error_code ignored;
        co_await waiting->timer.async_wait(store_error(ignored));
    }
    const bool is_admitted = remove_waiter(request.model, ticket, *waiting);
    if (is_admitted) {
        co_return std::make_unique<permit>(*this, request.model, tokens, get_work(request.cost));
    }
    if (caller.is_disconnected()) {
        throw caller_disconnected_error("caller disconnected while its request was queued");
    }
    throw make_refusal(policy::refusal_reason::deadline_not_feasible,
                       "the engines stayed at capacity until the queue timeout", m_options.max_wait);
}

std::size_t admission_controller::get_waiting() const {
    const std::scoped_lock lock(m_mutex);
    std::size_t waiting = 0;
    for (const auto& [model, admission] : m_models) {
        waiting += admission.queue.size();
    }
    return waiting;
}

std::uint64_t admission_controller::get_limit(std::uint64_t capacity_tokens) const {
    return std::max<std::uint64_t>(1, capacity_tokens / m_options.hosts);
}

double admission_controller::get_work(const policy::request_cost& cost) const {
    return m_options.prefill_cost_ratio * static_cast<double>(cost.prefill_tokens) +
           static_cast<double>(cost.decode_tokens);
}

std::shared_ptr<admission_controller::waiter>
admission_controller::admit_or_enqueue(const admission_request& request, const asio::any_io_executor& executor,
                                       policy::ticket_number& ticket) {
    const std::scoped_lock lock(m_mutex);
    model_admission& admission = get_model_admission(request.model);
    admission.limit_tokens = get_limit(request.capacity_tokens);
    const std::uint64_t tokens = std::min(request.cost.get_tokens(), admission.limit_tokens);
    if (admission.queue.size() == 0 && admission.admitted_tokens + tokens <= admission.limit_tokens) {
        admission.admitted_tokens += tokens;
        return nullptr;
    }
    const duration wait = admission.rate.get_time_for(admission.queue.get_work_ahead(request.organisation));
    if (wait > m_options.max_wait) {
        throw make_refusal(policy::refusal_reason::deadline_not_feasible,
                           "the expected wait in the queue is longer than permitted", wait - m_options.max_wait);
    }
    if (admission.queue.size() >= m_options.max_waiting) {
        throw make_refusal(policy::refusal_reason::queue_full, "the queue of the model is full", wait);
    }
    ticket = m_next_ticket++;
    admission.queue.push(ticket, request.organisation, request.weight, request.cost);
    admission.rate.set_busy(m_time->now(), true);
    return admission.waiters[ticket] = std::make_shared<waiter>(executor, tokens);
}

bool admission_controller::remove_waiter(const model_name& model, policy::ticket_number ticket, waiter& waiting) {
    const std::scoped_lock lock(m_mutex);
    if (waiting.is_admitted) {
        return true;
    }
    model_admission& admission = get_model_admission(model);
    admission.queue.withdraw(ticket);
    admission.waiters.erase(ticket);
    // The removed request may have been the one at the head that did not fit, so later ones may fit now.
    admit_next(admission);
    return false;
}

void admission_controller::release(const model_name& model, std::uint64_t tokens, double work) {
    const std::scoped_lock lock(m_mutex);
    model_admission& admission = get_model_admission(model);
    admission.admitted_tokens -= tokens;
    admission.rate.add_finished(m_time->now(), work);
    admit_next(admission);
}

void admission_controller::admit_next(model_admission& admission) {
    std::optional<policy::ticket_number> ticket = admission.queue.peek();
    while (ticket) {
        const std::shared_ptr<waiter> next = admission.waiters.at(*ticket);
        if (admission.admitted_tokens != 0 && admission.admitted_tokens + next->tokens > admission.limit_tokens) {
            break;
        }
        admission.admitted_tokens += next->tokens;
        admission.queue.serve(*ticket);
        admission.waiters.erase(*ticket);
        next->is_admitted = true;
        // The timer may only be used on the thread of its request.
        asio::post(next->timer.get_executor(), [next] { next->timer.cancel(); });
        ticket = admission.queue.peek();
    }
    admission.rate.set_busy(m_time->now(), admission.queue.size() > 0);
}

admission_controller::model_admission& admission_controller::get_model_admission(const model_name& model) {
    return m_models.try_emplace(model, m_options).first->second;
}

} // namespace dragonflywell::servers
