#include "daemon/operator_handler.hpp"

#include <boost/json.hpp>

namespace dragonflywell::daemon {

namespace {

servers::http_response make_response(servers::http::status status, std::string_view content_type, std::string body) {
    servers::http_response response(status, 11);
    response.set(servers::http::field::content_type, content_type);
    response.body() = std::move(body);
    return response;
}

} // namespace

operator_handler::operator_handler(metrics_registry& metrics, servers::entry_context& context,
                                   const rcu_cell<fleet_status>& fleet, host_name host, std::function<bool()> is_ready)
    : m_metrics(&metrics), m_context(&context), m_fleet(&fleet), m_host(std::move(host)),
      m_is_ready(std::move(is_ready)) {}

servers::asio::awaitable<void> operator_handler::handle(servers::http_request request,
                                                        servers::caller_channel& caller) {
    co_await caller.send(answer(request));
}

servers::http_response operator_handler::answer(const servers::http_request& request) const {
    const std::string target(request.target());
    if (target == "/healthz") {
        return make_response(servers::http::status::ok, "text/plain", "ok\n");
    }
    if (target == "/readyz") {
        return m_is_ready() ? make_response(servers::http::status::ok, "text/plain", "ready\n")
                            : make_response(servers::http::status::service_unavailable, "text/plain", "not ready\n");
    }
    if (target == "/metrics") {
        return make_response(servers::http::status::ok, "text/plain; version=0.0.4", m_metrics->get_text());
    }
    if (target == "/status") {
        return make_response(servers::http::status::ok, "application/json", get_status());
    }
    return make_response(servers::http::status::not_found, "text/plain", "not found\n");
}

std::string operator_handler::get_status() const {
    const std::shared_ptr<const servers::active_manifest> manifest = m_context->manifest.get();
    boost::json::object status{
        {"host", m_host.value()}, {"zone", m_context->own_zone.value()}, {"ready", m_is_ready()}};
    if (manifest != nullptr) {
        status["configuration_version"] = manifest->version;
        status["backend_servers"] = manifest->content.backend_servers.size();
        status["organisations"] = manifest->content.organisations.size();
    }
    if (const std::shared_ptr<const fleet_status> fleet = m_fleet->get()) {
        status["fleet"] = encode_fleet_status(*fleet);
    }
    return boost::json::serialize(status);
}

} // namespace dragonflywell::daemon
