#pragma once

#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <mutex>

#include "policy/fair_queue.hpp"
#include "policy/service_rate.hpp"
#include "servers/caller_channel.hpp"

namespace dragonflywell::servers {

struct admission_options {
    /// Entry hosts that share the engines; each admits its part of their capacity.
    std::uint64_t hosts{1};
    /// Longest time that a request may wait here; one that would wait longer is refused at once.
    duration max_wait{std::chrono::milliseconds(1900)};
    /// Requests that may wait for one model.
    std::size_t max_waiting{1000};
    /// Time that a prefill token takes an engine, relative to a decode token.
    double prefill_cost_ratio{0.05};
};

/// What an organisation asks the gate for.
struct admission_request {
    model_name model;
    organisation_name organisation;
    std::uint32_t weight{1};
    policy::request_cost cost;
    /// Tokens that all engines of the model keep in work at once.
    std::uint64_t capacity_tokens{};
};

/// Lets requests through to the engines of a model up to this host's part of their capacity; the others wait, and
/// organisations take turns by weighted fair queueing. Thread safe; no lock is held while a request waits.
class admission_controller {
public:
    /// Precondition: `time` outlives the gate.
    admission_controller(const clock_source& time, admission_options options) noexcept
        : m_time(&time), m_options(options) {}

    /// Holds an admitted request's part of the capacity for as long as it lives.
    class permit {
    public:
        permit(admission_controller& gate, model_name model, std::uint64_t tokens, double work)
            : m_gate(&gate), m_model(std::move(model)), m_tokens(tokens), m_work(work) {}
        permit(const permit&) = delete;
        permit& operator=(const permit&) = delete;
        permit(permit&&) = delete;
        permit& operator=(permit&&) = delete;
        ~permit() { m_gate->release(m_model, m_tokens, m_work); }

    private:
        admission_controller* m_gate;
        model_name m_model;
        std::uint64_t m_tokens;
        double m_work;
    };

    /// Waits for the request's turn. Throws `request_refused`, outcome `not_run`, when it can't come in time;
    /// `caller_disconnected_error` when the caller leaves meanwhile. The gate must outlive the permit.
    asio::awaitable<std::unique_ptr<permit>> admit(admission_request request, caller_channel& caller);

    /// Returns how many requests wait.
    [[nodiscard]] std::size_t get_waiting() const;

private:
    struct waiter {
        waiter(const asio::any_io_executor& executor, std::uint64_t needed) : timer(executor), tokens(needed) {}

        asio::steady_timer timer;
        std::uint64_t tokens;
        bool is_admitted{false};
    };

    struct model_gate {
        explicit model_gate(const admission_options& options)
            : queue(options.prefill_cost_ratio), rate(std::chrono::seconds(30)) {}

        policy::fair_queue queue;
        policy::service_rate rate;
        std::map<policy::ticket_number, std::shared_ptr<waiter>> waiters;
        std::uint64_t limit_tokens{0};
        std::uint64_t admitted_tokens{0};
    };

    [[nodiscard]] std::uint64_t get_limit(std::uint64_t capacity_tokens) const;
    [[nodiscard]] double get_work(const policy::request_cost& cost) const;
    /// Admits at once, or queues and returns the waiter to wait for. Throws `request_refused`.
    std::shared_ptr<waiter> enter(const admission_request& request, const asio::any_io_executor& executor,
                                  policy::ticket_number& ticket);
    /// Takes a request that gave up out of the queue; returns whether it had been admitted by then.
    bool leave(const model_name& model, policy::ticket_number ticket, waiter& waiting);
    void release(const model_name& model, std::uint64_t tokens, double work);
    void admit_next(model_gate& gate);
    [[nodiscard]] model_gate& get_gate(const model_name& model);

    const clock_source* m_time;
    admission_options m_options;
    mutable std::mutex m_mutex;
    std::map<model_name, model_gate> m_gates;
    policy::ticket_number m_next_ticket{1};
};

} // namespace dragonflywell::servers
