#pragma once

#include <boost/asio/io_context.hpp>
#include <map>
#include <set>
#include <string>

#include "servers/http_server.hpp"
#include "soak/evidence.hpp"
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
class troubled_store final : public servers::http_handler {
public:
    servers::asio::awaitable<void> handle(servers::http_request request, servers::caller_channel& caller) override;
    void on_malformed(servers::http::status /*status*/) override {}

    standin::store_standin inner;
    store_state state{store_state::well};

private:
    std::uint64_t m_calls{0};
};

/// Takes usage reports, and checks who gives them.
class report_taker final : public servers::http_handler {
public:
    explicit report_taker(evidence& seen) : m_seen(&seen) {}

    servers::asio::awaitable<void> handle(servers::http_request request, servers::caller_channel& caller) override;
    void on_malformed(servers::http::status /*status*/) override {}

    bool is_away{false};

private:
    evidence* m_seen;
    std::uint64_t m_newest_fence{0};
};

/// The platform beside the backend servers: store, report interface, and the operator who writes configurations.
/// Used on one event loop.
class soak_platform {
public:
    soak_platform(boost::asio::io_context& loop, evidence& seen);

    void start();

    /// Writes a new configuration: the same routes and organisations, and those keys in force.
    void publish(const std::map<std::string, std::set<std::string>>& keys);
    /// Writes the entry of a backend server; an empty one removes it.
    void put_server(const std::string& id, const std::string& entry);

    [[nodiscard]] endpoint get_store_endpoint() const;
    [[nodiscard]] endpoint get_reports_endpoint() const;

    troubled_store store;
    report_taker reports;

private:
    servers::http_server m_store_server;
    servers::http_server m_reports_server;
    std::uint64_t m_version{0};
};

} // namespace dragonflywell::soak
