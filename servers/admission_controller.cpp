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
    const std::shared_ptr<waiter> waiting = enter(request, executor, ticket);
    if (waiting == nullptr) {
        co_return std::make_unique<permit>(*this, request.model, tokens, get_work(request.cost));
    }
    waiting->timer.expires_after(m_options.max_wait);
    {
        const disconnect_subscription subscription(caller, [&waiting] { waiting->timer.cancel(); });
        error_code ignored;
        co_await waiting->timer.async_wait(store_error(ignored));
    }
    const bool is_admitted = leave(request.model, ticket, *waiting);
    if (is_admitted) {
        co_return std::make_unique<permit>(*this, request.model, tokens, get_work(request.cost));
    }
    if (caller.is_disconnected()) {
        throw caller_disconnected_error("caller left while its request waited");
    }
    throw make_refusal(policy::refusal_reason::deadline_not_feasible, "the engines are busy", m_options.max_wait);
}

std::size_t admission_controller::get_waiting() const {
    const std::scoped_lock lock(m_mutex);
    std::size_t waiting = 0;
    for (const auto& [model, gate] : m_gates) {
        waiting += gate.queue.size();
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

std::shared_ptr<admission_controller::waiter> admission_controller::enter(const admission_request& request,
                                                                          const asio::any_io_executor& executor,
                                                                          policy::ticket_number& ticket) {
    const std::scoped_lock lock(m_mutex);
    model_gate& gate = get_gate(request.model);
    gate.limit_tokens = get_limit(request.capacity_tokens);
    const std::uint64_t tokens = std::min(request.cost.get_tokens(), gate.limit_tokens);
    if (gate.queue.size() == 0 && gate.admitted_tokens + tokens <= gate.limit_tokens) {
        gate.admitted_tokens += tokens;
        return nullptr;
    }
    const duration wait = gate.rate.get_time_for(gate.queue.get_work_ahead(request.organisation));
    if (wait > m_options.max_wait) {
        throw make_refusal(policy::refusal_reason::deadline_not_feasible, "the answer could not begin in time",
                           wait - m_options.max_wait);
    }
    if (gate.queue.size() >= m_options.max_waiting) {
        throw make_refusal(policy::refusal_reason::queue_full, "too many requests wait", wait);
    }
    ticket = m_next_ticket++;
    gate.queue.push(ticket, request.organisation, request.weight, request.cost);
    gate.rate.set_busy(m_time->now(), true);
    return gate.waiters[ticket] = std::make_shared<waiter>(executor, tokens);
}

bool admission_controller::leave(const model_name& model, policy::ticket_number ticket, waiter& waiting) {
    const std::scoped_lock lock(m_mutex);
    if (waiting.is_admitted) {
        return true;
    }
    model_gate& gate = get_gate(model);
    gate.queue.withdraw(ticket);
    gate.waiters.erase(ticket);
    // It may have been the one that did not fit.
    admit_next(gate);
    return false;
}

void admission_controller::release(const model_name& model, std::uint64_t tokens, double work) {
    const std::scoped_lock lock(m_mutex);
    model_gate& gate = get_gate(model);
    gate.admitted_tokens -= tokens;
    gate.rate.add_finished(m_time->now(), work);
    admit_next(gate);
}

void admission_controller::admit_next(model_gate& gate) {
    std::optional<policy::ticket_number> ticket = gate.queue.peek();
    while (ticket) {
        const std::shared_ptr<waiter> next = gate.waiters.at(*ticket);
        if (gate.admitted_tokens != 0 && gate.admitted_tokens + next->tokens > gate.limit_tokens) {
            break;
        }
        gate.admitted_tokens += next->tokens;
        gate.queue.serve(*ticket);
        gate.waiters.erase(*ticket);
        next->is_admitted = true;
        // The timer belongs to the thread that the request runs on.
        asio::post(next->timer.get_executor(), [next] { next->timer.cancel(); });
        ticket = gate.queue.peek();
    }
    gate.rate.set_busy(m_time->now(), gate.queue.size() > 0);
}

admission_controller::model_gate& admission_controller::get_gate(const model_name& model) {
    return m_gates.try_emplace(model, m_options).first->second;
}

} // namespace dragonflywell::servers
