#include "daemon/fleet_controller.hpp"

#include "core/log_event.hpp"
#include "servers/pause.hpp"

namespace dragonflywell::daemon {

namespace {

constexpr duration tick = std::chrono::milliseconds(500);
/// How long an order that was not accepted, or was followed by too few servers, rests before it is sent again.
constexpr duration repeat_after = std::chrono::seconds(3);

std::string_view get_answer_name(platform::duty_answer answer) {
    switch (answer) {
    case platform::duty_answer::accepted:
        return "accepted";
    case platform::duty_answer::superseded:
        return "superseded";
    case platform::duty_answer::refused:
        return "refused";
    case platform::duty_answer::not_available:
        return "not_available";
    case platform::duty_answer::unknown:
        break;
    }
    return "unknown";
}

} // namespace

fleet_controller::fleet_controller(platform::cloud_client& cloud, lease_keeper& lease, servers::serving_state& state,
                                   std::string host)
    : m_cloud(&cloud), m_lease(&lease), m_state(&state), m_host(std::move(host)), m_log(get_logger("fleet")) {}

servers::asio::awaitable<void> fleet_controller::run() {
    for (;;) {
        co_await servers::pause(tick);
        const std::optional<std::uint64_t> fence = m_lease->get_fence();
        if (fence != m_fence) {
            m_fence = fence;
            m_orders.clear();
        }
        if (fence && m_state->get_view() != nullptr) {
            co_await control(*fence);
        }
    }
}

servers::asio::awaitable<void> fleet_controller::control(std::uint64_t fence) {
    const std::shared_ptr<const fleet::serving_view> view = m_state->get_view();
    for (const fleet::service_description& service : view->get_configuration().services) {
        if (!service.scaling) {
            continue;
        }
        const std::map<zone_name, policy::zone_wish> wishes =
            policy::plan_servers(*service.scaling, get_present(service.name));
        for (const auto& [zone, wish] : wishes) {
            const subject cheap{.service = service.name, .zone = zone, .is_cheap = true};
            if (wish.cheap > 0) {
                co_await order(fence, cheap, wish.cheap);
            }
        }
    }
}

std::map<zone_name, policy::zone_wish> fleet_controller::get_present(const service_name& service) {
    std::map<zone_name, policy::zone_wish> present;
    for (const auto& [id, server] : m_state->directory.get_servers()) {
        if (server.record.service != service) {
            continue;
        }
        policy::zone_wish& zone = present[server.record.zone];
        if (!server.record.is_draining) {
            ++(server.record.is_cheap ? zone.cheap : zone.regular);
        }
    }
    return present;
}

servers::asio::awaitable<void> fleet_controller::order(std::uint64_t fence, subject what, std::uint32_t wanted) {
    const steady_time now = m_state->time.now();
    const auto before = m_orders.find(what);
    if (before != m_orders.end()) {
        const bool is_same = before->second.wanted == wanted;
        const bool is_resting = now - before->second.sent_at < repeat_after;
        if (is_same && (before->second.is_accepted || is_resting)) {
            co_return;
        }
    }
    if (m_lease->get_fence() != fence) {
        co_return;
    }
    const platform::duty_authority authority{.holder = m_host, .fence = fence};
    const platform::server_order message{
        .service = what.service, .zone = what.zone, .wanted = wanted, .is_cheap = what.is_cheap};
    const platform::duty_answer answer = co_await m_cloud->order_servers(authority, message);
    m_orders[what] = {.wanted = wanted, .is_accepted = answer == platform::duty_answer::accepted, .sent_at = now};
    log_event("servers_ordered")
        .add("service", what.service.value())
        .add("zone", what.zone.value())
        .add("cheap", what.is_cheap)
        .add("wanted", wanted)
        .add("fence", fence)
        .add("answer", get_answer_name(answer))
        .write(*m_log, spdlog::level::info);
    if (answer == platform::duty_answer::superseded) {
        m_lease->on_superseded();
    }
}

} // namespace dragonflywell::daemon
