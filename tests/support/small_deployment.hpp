#pragma once

#include <fmt/format.h>
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

/// A platform, an engine, a plain service and one daemon, all on free ports.
class small_deployment {
public:
    small_deployment() : m_log({.server = m_platform.get_endpoint()}), m_daemon(make_settings()) {
        publish(make_entries());
        m_daemon.start();
        while (!m_daemon.is_ready()) {
            std::this_thread::yield();
        }
    }

    http::response<http::string_body> call(http::verb method, const std::string& target, const std::string& body,
                                           const std::string& key) {
        boost::asio::io_context context;
        boost::beast::tcp_stream stream(context);
        stream.connect({boost::asio::ip::make_address("127.0.0.1"), m_daemon.get_caller_port()});
        http::request<http::string_body> request(method, target, 11);
        request.set(http::field::host, "localhost");
        if (!key.empty()) {
            request.set(http::field::authorization, "Bearer " + key);
        }
        request.body() = body;
        request.prepare_payload();
        http::write(stream, request);
        boost::beast::flat_buffer buffer;
        http::response<http::string_body> response;
        http::read(stream, buffer, response);
        return response;
    }

    running_standin<standin::engine_standin> engine{
        standin::engine_standin_options{.model = "m", .generated_token_time = std::chrono::microseconds(100)}};
    running_standin<standin::service_standin> service;

private:
    daemon::daemon_settings make_settings() {
        return daemon::parse_daemon_settings(
            fmt::format("[host]\nname = \"h1\"\nzone = \"a\"\n[listen]\ncallers = \"127.0.0.1:0\"\n"
                        "operators = \"127.0.0.1:0\"\n[platform]\nlog = \"{}\"\n[configuration]\npoll_ms = 10\n"
                        "[log]\nlevel = \"error\"\n",
                        format_endpoint(m_platform.get_endpoint())),
            "test.toml");
    }

    [[nodiscard]] fleet::manifest_entries make_entries() const {
        return fleet::get_manifest_entries(fmt::format(
            R"({{"zones":{{"a":{{"region":"r"}}}},"organisations":{{"rovers":{{}}}},
                "keys":{{"k1":{{"organisation":"rovers","salt":"s","sha256":"{}"}}}},"models":{{"m":{{"version":"1"}}}},
                "routes":{{"r1":{{"service":"app","path_prefix":"/maps","methods":["GET"],"idempotent":true}},
                           "r2":{{"service":"app","path_prefix":"/subscriptions","methods":["POST"]}},
                           "r3":{{"service":"app","path_prefix":"/public","methods":["GET"],"open":true}}}},
                "backend_servers":{{"e1":{{"zone":"a","address":"{}","model":"m"}},
                                    "s1":{{"zone":"a","address":"{}","service":"app"}}}}}})",
            get_sha256_hex("ssecret"), format_endpoint(engine.get_endpoint()),
            format_endpoint(service.get_endpoint())));
    }

    void publish(const fleet::manifest_entries& entries) {
        coordination::folded_stream stream(m_log, std::string(coordination::configuration_stream),
                                           {.host = "operator", .incarnation = 1});
        coordination::publish_configuration(stream, {.set = entries, .removed = {}}, {});
    }

    running_standin<standin::platform_standin> m_platform;
    platform::http_log m_log;
    daemon::daemon m_daemon;
};

} // namespace dragonflywell::testing
