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

/// A platform, an engine, a plain service and one daemon or more, all on free ports.
class small_deployment {
public:
    explicit small_deployment(std::size_t hosts = 1) : m_log({.server = platform.get_endpoint()}) {
        publish(make_entries());
        for (std::size_t host = 0; host < hosts; ++host) {
            add_host();
        }
    }

    /// Starts another daemon and returns its index.
    std::size_t add_host() {
        m_daemons.push_back(std::make_unique<daemon::daemon>(make_settings(m_daemons.size() + 1)));
        m_daemons.back()->start();
        while (!m_daemons.back()->is_ready()) {
            std::this_thread::yield();
        }
        return m_daemons.size() - 1;
    }

    daemon::daemon& get_host(std::size_t host) { return *m_daemons.at(host); }

    /// Publishes changed entries on top of those in force; an empty text removes an entry.
    void change(const std::string& path, const std::string& text) {
        fleet::manifest_entries entries;
        std::vector<std::string> removed;
        if (text.empty()) {
            removed.push_back(path);
        } else {
            entries[path] = text;
        }
        publish(entries, removed);
    }

    http::response<http::string_body> call(http::verb method, const std::string& target, const std::string& body,
                                           const std::string& key, const std::string& idempotency_key = "",
                                           std::size_t host = 0) {
        boost::asio::io_context context;
        boost::beast::tcp_stream stream(context);
        stream.connect({boost::asio::ip::make_address("127.0.0.1"), m_daemons.at(host)->get_caller_port()});
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
        http::write(stream, request);
        boost::beast::flat_buffer buffer;
        http::response<http::string_body> response;
        http::read(stream, buffer, response);
        return response;
    }

    running_standin<standin::engine_standin> engine{
        standin::engine_standin_options{.model = "m", .generated_token_time = std::chrono::microseconds(100)}};
    running_standin<standin::service_standin> service;
    running_standin<standin::platform_standin> platform;

private:
    daemon::daemon_settings make_settings(std::size_t number) {
        return daemon::parse_daemon_settings(
            fmt::format("[host]\nname = \"h{}\"\nzone = \"a\"\n[listen]\ncallers = \"127.0.0.1:0\"\n"
                        "operators = \"127.0.0.1:0\"\n[platform]\nlog = \"{}\"\n[configuration]\npoll_ms = 10\n"
                        "[log]\nlevel = \"error\"\n",
                        number, format_endpoint(platform.get_endpoint())),
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

    void publish(const fleet::manifest_entries& entries, const std::vector<std::string>& removed = {}) {
        coordination::folded_stream stream(m_log, std::string(coordination::configuration_stream),
                                           {.host = "operator", .incarnation = ++m_operators});
        coordination::configuration_fold fold;
        stream.add_observer(fold);
        stream.poll();
        coordination::publish_configuration(stream, {.set = entries, .removed = removed}, fold.get()->version);
    }

    dragonflywell::platform::http_log m_log;
    std::uint64_t m_operators{0};
    std::vector<std::unique_ptr<daemon::daemon>> m_daemons;
};

} // namespace dragonflywell::testing
