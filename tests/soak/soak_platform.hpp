#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "servers/http_server.hpp"
#include "soak/invariant_checker.hpp"
#include "standin/store_standin.hpp"

namespace dragonflywell::soak {

/// Fault of the store.
enum class store_state : std::uint8_t {
    healthy,
    /// Calls are refused with status 503 and have no effect.
    busy,
    /// Calls get no response and have no effect.
    unresponsive,
    slow,
    /// Some writes take effect but get no response.
    loses_responses,
};

/// Injects faults in front of the store stand-in.
class faulty_store final : public servers::http_handler {
public:
    servers::asio::awaitable<void> handle(servers::http_request request, servers::caller_channel& caller) override;
    void on_malformed(servers::http::status /*status*/) override {}

    standin::store_standin inner;
    store_state state{store_state::healthy};
    /// Whether no call has an effect or gets a response.
    bool is_away{false};

private:
    std::uint64_t m_calls{0};
};

/// Receives usage reports and checks their fencing tokens.
class usage_report_receiver final : public servers::http_handler {
public:
    explicit usage_report_receiver(invariant_checker& checker) : m_checker(&checker) {}

    servers::asio::awaitable<void> handle(servers::http_request request, servers::caller_channel& caller) override;
    void on_malformed(servers::http::status /*status*/) override {}

    bool is_unavailable{false};

private:
    invariant_checker* m_checker;
    std::uint64_t m_newest_fence{0};
};

/// The platform without the backend servers: the store, the interface for usage reports, and the operator who writes
/// configurations. Not thread safe: it is used on one event loop.
class soak_platform {
public:
    soak_platform(boost::asio::io_context& loop, invariant_checker& checker);

    void start();

    /// Publishes a new configuration with the same routes and organisations and the given valid keys.
    void publish(const std::map<std::string, std::set<std::string>>& keys);
    /// Calls `notify` with each version that the store has acknowledged.
    void set_on_published(std::function<void(std::uint64_t)> notify) { m_on_published = std::move(notify); }
    /// Makes the store unavailable until `finish_restore` lets it return from its copy.
    void begin_restore();
    void finish_restore();
    /// Writes the configurations again that the restore has lost: all, or only the newest one.
    void rewrite_configurations(bool is_newest_only);
    /// Writes the newest entries of the backend servers again, as far as the restore has lost them.
    void rewrite_servers();
    /// Writes the entry of a backend server to the store. An empty entry removes the server.
    void put_server(const std::string& id, const std::string& entry);

    [[nodiscard]] endpoint get_store_endpoint() const;
    [[nodiscard]] endpoint get_reports_endpoint() const;

    faulty_store store;
    usage_report_receiver reports;

private:
    /// Puts entries of another writer into the lists, where they stand during the whole run.
    void put_odd_entries();
    servers::http_server m_store_server;
    servers::http_server m_reports_server;
    void write_configuration(const std::string& document);

    std::uint64_t m_version{0};
    std::function<void(std::uint64_t)> m_on_published{[](std::uint64_t) {}};
    /// All configurations that the operator's topic contains once what was lost is written again.
    std::vector<std::string> m_configurations;
    std::map<std::string, std::string> m_entries;
    /// Whether the operator writes nothing new, because the store is away or lacks older versions.
    bool m_is_restoring{false};
};

} // namespace dragonflywell::soak
