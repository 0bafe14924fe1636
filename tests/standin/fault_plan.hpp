#pragma once

#include <cstdint>
#include <memory>
#include <mutex>
#include <string>

#include "servers/http_handler.hpp"

namespace dragonflywell::standin {

/// Faults that a stand-in shows for its next requests.
enum class fault_kind { none, slow, drop_answer, hang, refuse };

struct fault_plan {
    fault_kind kind{fault_kind::none};
    /// Number of requests that have the fault.
    std::uint64_t count{};
    std::uint64_t delay_milliseconds{};
};

/// Injects faults in front of another handler. `POST /fault {"kind", "count", "delay_milliseconds"}` sets the plan.
/// Thread safe.
class faulty_handler final : public servers::http_handler {
public:
    /// Precondition: `inner` outlives this handler.
    explicit faulty_handler(servers::http_handler& inner) : m_inner(&inner) {}

    servers::asio::awaitable<void> handle(servers::http_request request, servers::caller_channel& caller) override;
    void on_malformed(servers::http::status status) override { m_inner->on_malformed(status); }

    void set_plan(const fault_plan& plan);

private:
    [[nodiscard]] fault_plan take_fault();

    servers::http_handler* m_inner;
    std::mutex m_mutex;
    fault_plan m_plan;
};

[[nodiscard]] servers::http_response make_json_response(unsigned status, std::string body);

} // namespace dragonflywell::standin
