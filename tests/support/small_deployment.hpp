#pragma once

#include <fmt/format.h>
#include <functional>
#include <string>
#include <thread>

#include "coordination/configuration.hpp"
#include "core/hash.hpp"
#include "daemon/daemon.hpp"
#include "fleet/manifest.hpp"
#include "platform/http_log.hpp"
#include "standin/engine_standin.hpp"
#include "standin/platform_standin.hpp"
#include "standin/service_standin.hpp"
#include "support/running_standin.hpp"

namespace dragonflywell::testing {

namespace http = boost::beast::http;

/// A platform, an engine, a plain service and one or more daemons, all on free ports.
class small_deployment {
public:
    /// `more_settings` holds further sections of the settings file of the daemon.
    explicit small_deployment(std::string more_settings = "[stop]\nnotice_ms = 0\n", std::size_t hosts = 1)
        : m_more_settings(std::move(more_settings)), m_log({.server = platform.get_endpoint()}) {
        publish(make_entries());
        for (std::size_t host = 0; host < hosts; ++host) {
            add_host();
        }
    }
    explicit small_deployment(std::size_t hosts) : small_deployment("[stop]\nnotice_ms = 0\n", hosts) {}

    /// Starts another daemon.
    void add_host() {
        m_daemons.push_back(std::make_unique<daemon::daemon>(make_settings(m_daemons.size() + 1)));
        m_daemons.back()->start();
        while (!m_daemons.back()->is_ready()) {
            std::this_thread::yield();
        }
    }

    /// Publishes one changed manifest entry; an empty text removes the entry.
    void change(const std::string& path, const std::string& text) {
        if (text.empty()) {
            publish({}, {path});
        } else {
            publish({{path, text}}, {});
        }
    }

    http::response<http::string_body> call(http::verb method, const std::string& target, const std::string& body,
                                           const std::string& key, const std::string& idempotency_key = "",
                                           std::size_t host = 0) {
        boost::asio::io_context context;
        boost::beast::tcp_stream stream = connect(context, host);
        return exchange(stream, method, target, body, key, idempotency_key);
    }

    /// Sends a request and closes the connection once `is_time` returns true, without waiting for the response.
    void call_and_leave(const std::string& target, const std::string& body, const std::string& key,
                        const std::function<bool()>& is_time) {
        boost::asio::io_context context;
        boost::beast::tcp_stream stream = connect(context);
        http::write(stream, make_request(http::verb::post, target, body, key));
        while (!is_time()) {
            std::this_thread::yield();
        }
    }

    [[nodiscard]] boost::beast::tcp_stream connect(boost::asio::io_context& context, std::size_t host = 0) const {
        boost::beast::tcp_stream stream(context);
        stream.connect({boost::asio::ip::make_address("127.0.0.1"), m_daemons.at(host)->get_caller_port()});
        return stream;
    }

    [[nodiscard]] endpoint get_caller_endpoint() const {
        return {.address = "127.0.0.1", .port = m_daemons.front()->get_caller_port()};
    }

    static http::response<http::string_body> exchange(boost::beast::tcp_stream& stream, http::verb method,
                                                      const std::string& target, const std::string& body,
                                                      const std::string& key, const std::string& idempotency_key = "") {
        http::write(stream, make_request(method, target, body, key, idempotency_key));
        boost::beast::flat_buffer buffer;
        http::response<http::string_body> response;
        http::read(stream, buffer, response);
        return response;
    }

    /// Returns the metrics text of the listener for operators.
    [[nodiscard]] std::string get_metrics() const {
        boost::asio::io_context context;
        boost::beast::tcp_stream stream = connect_to_operators(context);
        return exchange(stream, http::verb::get, "/metrics", "", "").body();
    }

    /// Waits until the metrics contain the text. It asks over one connection: a connection for each look would leave
    /// thousands a second in TIME_WAIT, and they would take the ephemeral ports of all tests of the machine.
    void wait_for_metric(const std::string& text) const {
        boost::asio::io_context context;
        boost::beast::tcp_stream stream = connect_to_operators(context);
        while (exchange(stream, http::verb::get, "/metrics", "", "").body().find(text) == std::string::npos) {
            std::this_thread::yield();
        }
    }

    [[nodiscard]] coordination::usage_table get_usage() const { return m_daemons.front()->get_usage(); }
    [[nodiscard]] bool is_ready() const { return m_daemons.front()->is_ready(); }
    void stop() { m_daemons.front()->stop(); }
    void end_notice() { m_daemons.front()->end_notice(); }

    running_standin<standin::engine_standin> engine{
        standin::engine_standin_options{.model = "m", .generated_token_time = std::chrono::microseconds(100)}};
    running_standin<standin::service_standin> service;
    running_standin<standin::platform_standin> platform;
    /// Receives the usage reports.
    running_standin<standin::platform_standin> reporting;

private:
    [[nodiscard]] boost::beast::tcp_stream connect_to_operators(boost::asio::io_context& context) const {
        boost::beast::tcp_stream stream(context);
        stream.connect({boost::asio::ip::make_address("127.0.0.1"), m_daemons.front()->get_operator_port()});
        return stream;
    }

    static http::request<http::string_body> make_request(http::verb method, const std::string& target,
                                                         const std::string& body, const std::string& key,
                                                         const std::string& idempotency_key = "") {
        http::request<http::string_body> request(method, target, 11);
        request.set(http::field::host, "localhost");
        if (!key.empty()) {
            request.set(http::field::authorization, "Bearer " + key);
        }
        if (!idempotency_key.empty()) {
            request.set("idempotency-key", idempotency_key);
        }
        request.body() = body;
        request.prepare_payload();
        return request;
    }

    daemon::daemon_settings make_settings(std::size_t number) {
        return daemon::parse_daemon_settings(
            fmt::format(
                "[host]\nname = \"h{}\"\nzone = \"a\"\n[listen]\ncallers = \"127.0.0.1:0\"\n"
                "operators = \"127.0.0.1:0\"\n[platform]\nlog = \"{}\"\nusage = \"{}\"\n[configuration]\npoll_ms = 10\n"
                "[log]\nlevel = \"error\"\n{}",
                number, format_endpoint(platform.get_endpoint()), format_endpoint(reporting.get_endpoint()),
                m_more_settings),
            "test.toml");
    }

    [[nodiscard]] fleet::manifest_entries make_entries() const {
        return fleet::get_manifest_entries(fmt::format(
            R"({{"zones":{{"a":{{"region":"r"}}}},"organisations":{{"rovers":{{}}}},
                "keys":{{"k1":{{"organisation":"rovers","salt":"s","sha256":"{}"}}}},"models":{{"m":{{"version":"1"}}}},
                "routes":{{"r1":{{"service":"app","path_prefix":"/maps","methods":["GET"],"idempotent":true}},
                           "r2":{{"service":"app","path_prefix":"/subscriptions","methods":["POST"]}},
                           "r3":{{"service":"app","path_prefix":"/public","methods":["GET"],"open":true}},
                           "r4":{{"service":"gone","path_prefix":"/unreachable","methods":["GET"],"idempotent":true}}}},
                "backend_servers":{{"e1":{{"zone":"a","address":"{}","model":"m"}},
                                    "s1":{{"zone":"a","address":"{}","service":"app"}},
                                    "s2":{{"zone":"a","address":"127.0.0.1:1","service":"gone"}}}}}})",
            get_sha256_hex("ssecret"), format_endpoint(engine.get_endpoint()),
            format_endpoint(service.get_endpoint())));
    }

    void publish(const fleet::manifest_entries& entries, const std::vector<std::string>& removed = {}) {
        coordination::folded_stream stream(m_log, std::string(coordination::configuration_stream),
                                           {.host = "operator", .incarnation = ++m_operators});
        coordination::configuration_fold fold;
        stream.add_observer(fold);
        stream.poll();
        coordination::publish_configuration(stream, {.set = entries, .removed = removed}, fold.get()->version);
    }

    std::string m_more_settings;
    dragonflywell::platform::http_log m_log;
    std::uint64_t m_operators{0};
    std::vector<std::unique_ptr<daemon::daemon>> m_daemons;
};

} // namespace dragonflywell::testing
