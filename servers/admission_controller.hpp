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
    /// Number of entry hosts that share the engines. Each admits an equal share of the capacity.
    std::uint64_t hosts{1};
    /// Longest time that a request may wait in the queue. A request with a longer expected wait is refused at once.
    duration max_wait{std::chrono::milliseconds(1900)};
    /// Maximum number of requests that wait for one model.
    std::size_t max_waiting{1000};
    /// Cost of a prefill token on an engine relative to a decode token.
    double prefill_cost_ratio{0.05};
};

/// A request of an organisation for admission.
struct admission_request {
    model_name model;
    organisation_name organisation;
    std::uint32_t weight{1};
    policy::request_cost cost;
    /// Tokens that all engines of the model can process concurrently.
    std::uint64_t capacity_tokens{};
};

/// Admission control in front of the engines of a model. Admits requests up to this host's share of the capacity and
/// queues the others; weighted fair queueing decides between organisations. Thread safe; no lock is held while a
/// request waits.
class admission_controller {
public:
    /// Precondition: `time` outlives the controller.
    admission_controller(const clock_source& time, admission_options options) noexcept
        : m_time(&time), m_options(options) {}

    /// Reserves capacity for an admitted request during its lifetime.
    class permit {
    public:
        permit(admission_controller& controller, model_name model, std::uint64_t tokens, double work)
            : m_controller(&controller), m_model(std::move(model)), m_tokens(tokens), m_work(work) {}
        permit(const permit&) = delete;
        permit& operator=(const permit&) = delete;
        permit(permit&&) = delete;
        permit& operator=(permit&&) = delete;
        ~permit() { m_controller->release(m_model, m_tokens, m_work); }

    private:
        admission_controller* m_controller;
        model_name m_model;
        std::uint64_t m_tokens;
        double m_work;
    };

    /// Waits until the request is admitted. Throws `request_refused` with outcome `not_run` when it cannot be admitted
    /// in time, and `caller_disconnected_error` when the caller disconnects meanwhile. The controller must outlive the
    /// permit.
    asio::awaitable<std::unique_ptr<permit>> admit(admission_request request, caller_channel& caller);

    /// Returns the number of queued requests.
    [[nodiscard]] std::size_t get_waiting() const;

private:
    struct waiter {
        waiter(const asio::any_io_executor& executor, std::uint64_t needed) : timer(executor), tokens(needed) {}

        asio::steady_timer timer;
        std::uint64_t tokens;
        bool is_admitted{false};
    };

    struct model_admission {
        explicit model_admission(const admission_options& options)
            : queue(options.prefill_cost_ratio), rate(std::chrono::seconds(30)) {}

        policy::fair_queue queue;
        policy::service_rate rate;
        std::map<policy::ticket_number, std::shared_ptr<waiter>> waiters;
        std::uint64_t limit_tokens{0};
        std::uint64_t admitted_tokens{0};
    };

    [[nodiscard]] std::uint64_t get_limit(std::uint64_t capacity_tokens) const;
    [[nodiscard]] double get_work(const policy::request_cost& cost) const;
    /// Admits the request at once and returns null, or queues it and returns the waiter. Throws `request_refused`.
    std::shared_ptr<waiter> admit_or_enqueue(const admission_request& request, const asio::any_io_executor& executor,
                                             policy::ticket_number& ticket);
    /// Removes a request that stops waiting from the queue. Returns whether it had already been admitted.
    bool remove_waiter(const model_name& model, policy::ticket_number ticket, waiter& waiting);
    void release(const model_name& model, std::uint64_t tokens, double work);
    void admit_next(model_admission& admission);
    [[nodiscard]] model_admission& get_model_admission(const model_name& model);

    const clock_source* m_time;
    admission_options m_options;
    mutable std::mutex m_mutex;
    std::map<model_name, model_admission> m_models;
    policy::ticket_number m_next_ticket{1};
};

} // namespace dragonflywell::servers
