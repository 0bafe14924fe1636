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

/// A caller that discards all responses and may disconnect.
class discarding_caller final : public caller_channel {
public:
    asio::awaitable<void> send(http_response /*response*/) override { co_return; }
    asio::awaitable<void> start_stream(stream_head /*head*/) override { co_return; }
    asio::awaitable<void> send_chunk(std::string_view /*data*/) override { co_return; }
    asio::awaitable<void> finish_stream() override { co_return; }
    void abort_stream() override {}
    [[nodiscard]] bool is_started() const noexcept override { return false; }
    [[nodiscard]] bool is_disconnected() const noexcept override { return m_is_gone; }
    void set_on_disconnect(std::function<void()> notify) override { m_notify = std::move(notify); }

    void disconnect() {
        m_is_gone = true;
        m_notify();
    }

private:
    bool m_is_gone{false};
    std::function<void()> m_notify;
};

/// Several requests to one admission controller, all on one thread.
class admission_harness {
public:
    explicit admission_harness(const admission_options& options) : m_controller(m_clock, options) {}

    /// Starts a request of 100 tokens that asks for admission.
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
    std::list<discarding_caller> m_callers;

private:
    asio::awaitable<void> run(std::string organisation, discarding_caller& caller) {
        const admission_request request{.model = model_name("m"),
                                        .organisation = organisation_name(organisation),
                                        .cost = {.prefill_tokens = 0, .decode_tokens = 100},
                                        .capacity_tokens = 200};
        try {
            m_permits.push_back(co_await m_controller.admit(request, caller));
            log += organisation + " ";
        } catch (const request_refused& refused) {
            log += std::string(policy::get_refusal_response(refused.get_reason()).code) + " ";
        } catch (const caller_disconnected_error&) {
            log += "gone ";
        }
    }

    virtual_clock m_clock;
    admission_controller m_controller;
    asio::io_context m_context;
    std::vector<std::unique_ptr<admission_controller::permit>> m_permits;
};

} // namespace

TEST_CASE(
    "requests beyond the capacity are queued, organisations are served in turn and disconnected callers are skipped") {
    admission_harness harness({.max_wait = std::chrono::hours(1)});
    for (int request = 0; request < 5; ++request) {
        harness.ask("a");
    }
    harness.ask("b");
    CHECK(harness.log == "a a ");
    harness.release_oldest();
    harness.release_oldest();
    CHECK(harness.log == "a a a b ");
    std::next(harness.m_callers.begin(), 3)->disconnect();
    harness.poll();
    harness.release_oldest();
    CHECK(harness.log == "a a a b gone a ");
}

TEST_CASE("a request is refused when the queue is full or the expected wait is too long") {
    admission_harness harness({.max_wait = std::chrono::hours(1), .max_waiting = 1});
    for (int request = 0; request < 4; ++request) {
        harness.ask("a");
    }
    CHECK(harness.log == "a a queue_full ");
    admission_harness zero_wait({.max_wait = duration::zero()});
    for (int request = 0; request < 3; ++request) {
        zero_wait.ask("a");
    }
    zero_wait.poll();
    CHECK(zero_wait.log == "a a deadline_not_feasible ");
}
