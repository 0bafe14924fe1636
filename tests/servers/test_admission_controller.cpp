#include <doctest/doctest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <list>

#include "servers/admission_controller.hpp"
#include "servers/request_refused.hpp"

using namespace dragonflywell;
using namespace dragonflywell::servers;

namespace {

/// A caller that gets no answer and may leave.
class silent_caller final : public caller_channel {
public:
    asio::awaitable<void> send(http_response /*response*/) override { co_return; }
    asio::awaitable<void> start_stream(stream_head /*head*/) override { co_return; }
    asio::awaitable<void> send_chunk(std::string_view /*data*/) override { co_return; }
    asio::awaitable<void> finish_stream() override { co_return; }
    void abort_stream() override {}
    [[nodiscard]] bool is_started() const noexcept override { return false; }
    [[nodiscard]] bool is_disconnected() const noexcept override { return m_is_gone; }
    void set_on_disconnect(std::function<void()> notify) override { m_notify = std::move(notify); }

    void leave() {
        m_is_gone = true;
        m_notify();
    }

private:
    bool m_is_gone{false};
    std::function<void()> m_notify;
};

/// Several requests at one gate, all on one thread.
class gate_trial {
public:
    explicit gate_trial(const admission_options& options) : m_gate(m_clock, options) {}

    /// Has a request of 100 tokens ask for admission.
    void ask(const std::string& organisation) {
        asio::co_spawn(m_context, run(organisation, m_callers.emplace_back()), asio::detached);
        poll();
    }
    void poll() {
        m_context.restart();
        m_context.poll();
    }
    void release_oldest() {
        m_permits.erase(m_permits.begin());
        poll();
    }

    std::string log;
    std::list<silent_caller> m_callers;

private:
    asio::awaitable<void> run(std::string organisation, silent_caller& caller) {
        const admission_request request{.model = model_name("m"),
                                        .organisation = organisation_name(organisation),
                                        .cost = {.prefill_tokens = 0, .decode_tokens = 100},
                                        .capacity_tokens = 200};
        try {
            m_permits.push_back(co_await m_gate.admit(request, caller));
            log += organisation + " ";
        } catch (const request_refused& refused) {
            log += std::string(policy::get_refusal_response(refused.get_reason()).code) + " ";
        } catch (const caller_disconnected_error&) {
            log += "gone ";
        }
    }

    virtual_clock m_clock;
    admission_controller m_gate;
    asio::io_context m_context;
    std::vector<std::unique_ptr<admission_controller::permit>> m_permits;
};

} // namespace

TEST_CASE("requests beyond the capacity wait, organisations take turns and callers that leave are passed over") {
    gate_trial trial({.max_wait = std::chrono::hours(1)});
    for (int request = 0; request < 5; ++request) {
        trial.ask("a");
    }
    trial.ask("b");
    CHECK(trial.log == "a a ");
    trial.release_oldest();
    trial.release_oldest();
    CHECK(trial.log == "a a a b ");
    std::next(trial.m_callers.begin(), 3)->leave();
    trial.poll();
    trial.release_oldest();
    CHECK(trial.log == "a a a b gone a ");
}

TEST_CASE("a full queue and a wait that is too long are refused") {
    gate_trial trial({.max_wait = std::chrono::hours(1), .max_waiting = 1});
    for (int request = 0; request < 4; ++request) {
        trial.ask("a");
    }
    CHECK(trial.log == "a a queue_full ");
    gate_trial hasty({.max_wait = duration::zero()});
    for (int request = 0; request < 3; ++request) {
        hasty.ask("a");
    }
    hasty.poll();
    CHECK(hasty.log == "a a deadline_not_feasible ");
}
