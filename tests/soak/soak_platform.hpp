#pragma once

#include <boost/asio/io_context.hpp>
#include <map>
#include <set>
#include <string>

#include "servers/http_server.hpp"
#include "soak/invariant_checker.hpp"
#include "standin/store_standin.hpp"

namespace dragonflywell::soak {

/// How the store answers.
enum class store_state : std::uint8_t {
    well,
    /// Nothing is done, and it says so.
    busy,
    /// Nothing is done or answered.
    silent,
    slow,
    /// Some writes are done and not answered.
    loses_answers,
};

/// Puts the store's troubles before the stand-in.
class faulty_store final : public servers::http_handler {
public:
    servers::asio::awaitable<void> handle(servers::http_request request, servers::caller_channel& caller) override;
    void on_malformed(servers::http::status /*status*/) override {}

    standin::store_standin inner;
    store_state state{store_state::well};

private:
    std::uint64_t m_calls{0};
};

/// Takes usage reports, and checks who gives them.
class usage_report_receiver final : public servers::http_handler {
public:
    explicit usage_report_receiver(invariant_checker& seen) : m_seen(&seen) {}

    servers::asio::awaitable<void> handle(servers::http_request request, servers::caller_channel& caller) override;
    void on_malformed(servers::http::status /*status*/) override {}

    bool is_away{false};

private:
    invariant_checker* m_seen;
    std::uint64_t m_newest_fence{0};
};

/// The platform beside the backend servers: store, report interface, and the operator who writes configurations.
/// Used on one event loop.
class soak_platform {
public:
    soak_platform(boost::asio::io_context& loop, invariant_checker& seen);

    void start();

    /// Writes a new configuration: the same routes and organisations, and those keys in force.
    void publish(const std::map<std::string, std::set<std::string>>& keys);
    /// Writes the entry of a backend server; an empty one removes it.
    void put_server(const std::string& id, const std::string& entry);

    [[nodiscard]] endpoint get_store_endpoint() const;
    [[nodiscard]] endpoint get_reports_endpoint() const;

    faulty_store store;
    usage_report_receiver reports;

private:
    servers::http_server m_store_server;
    servers::http_server m_reports_server;
    std::uint64_t m_version{0};
};

} // namespace dragonflywell::soak
