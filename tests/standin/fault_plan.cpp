#include "standin/fault_plan.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>

#include "core/json.hpp"

namespace dragonflywell::standin {

namespace {

namespace asio = servers::asio;

constexpr std::chrono::hours hang_time{1};

/// Discards a response.
class discarding_channel final : public servers::caller_channel {
public:
    asio::awaitable<void> send(servers::http_response /*response*/) override { co_return; }
    asio::awaitable<void> start_stream(servers::stream_head /*head*/) override { co_return; }
    asio::awaitable<void> send_chunk(std::string_view /*data*/) override { co_return; }
    asio::awaitable<void> finish_stream() override { co_return; }
    void abort_stream() override {}
    [[nodiscard]] bool is_started() const noexcept override { return false; }
};

asio::awaitable<void> wait(std::chrono::milliseconds time) {
    asio::steady_timer timer(co_await asio::this_coro::executor, time);
    co_await timer.async_wait(asio::use_awaitable);
}

fault_kind parse_kind(const std::string& name) {
    if (name == "slow") {
        return fault_kind::slow;
    }
    if (name == "drop_answer") {
        return fault_kind::drop_answer;
    }
    if (name == "silent") {
        return fault_kind::hang;
    }
    return name == "refuse" ? fault_kind::refuse : fault_kind::none;
}

} // namespace

servers::http_response make_json_response(unsigned status, std::string body) {
    servers::http_response response(servers::http::status(status), 11);
    response.set(servers::http::field::content_type, "application/json");
    response.body() = std::move(body);
    return response;
}

asio::awaitable<void> faulty_handler::handle(servers::http_request request, servers::caller_channel& caller) {
    if (request.target() == "/fault") {
        const boost::json::value document = json::parse(request.body());
        const boost::json::object& object = document.as_object();
        set_plan({.kind = parse_kind(json::get_string(object, "kind")),
                  .count = json::get_unsigned_or(object, "count", 1),
                  .delay_milliseconds = json::get_unsigned_or(object, "delay_milliseconds", 0)});
        co_await caller.send(make_json_response(200, "{}"));
        co_return;
    }
    const fault_plan fault = take_fault();
    switch (fault.kind) {
    case fault_kind::none:
        break;
    case fault_kind::slow:
        co_await wait(std::chrono::milliseconds(fault.delay_milliseconds));
        break;
    case fault_kind::drop_answer: {
        discarding_channel discarded;
        co_await m_inner->handle(std::move(request), discarded);
        throw servers::caller_disconnected_error("the response is dropped, as the fault plan requires");
    }
    case fault_kind::hang:
        co_await wait(hang_time);
        break;
    case fault_kind::refuse:
        co_await caller.send(make_json_response(503, "{}"));
        co_return;
    }
    co_await m_inner->handle(std::move(request), caller);
}

void faulty_handler::set_plan(const fault_plan& plan) {
    const std::scoped_lock lock(m_mutex);
    m_plan = plan;
}

fault_plan faulty_handler::take_fault() {
    const std::scoped_lock lock(m_mutex);
    if (m_plan.count == 0) {
        return {};
    }
    --m_plan.count;
    return m_plan;
}

} // namespace dragonflywell::standin
