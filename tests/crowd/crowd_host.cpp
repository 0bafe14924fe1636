#include "crowd/crowd_host.hpp"

#include <boost/asio/ip/udp.hpp>
#include <boost/asio/write.hpp>
#include <boost/json.hpp>
#include <cstdlib>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <stdexcept>
#include <unistd.h>

#include "support/event_loop.hpp"
#include "support/free_address.hpp"
#include "support/serving_fixture.hpp"

namespace dragonflywell::testing {

namespace {

constexpr unsigned status_ok = 200;
constexpr int max_start_attempts = 300;
constexpr std::size_t large_answer_bytes = 2UL * 1024 * 1024;

/// The times are long, so that a slow machine does not end the callers before they have sent all.
constexpr std::string_view configuration = R"({"version":1,
"routes":[{"name":"safe","host":"host.example","pathPrefix":"/safe/","kind":"safe","attempts":2,"timeoutMs":20000,
"targetLatencyMs":500,"priority":0,"service":"app"},
{"name":"gen","host":"host.example","pathPrefix":"/gen/","kind":"stream","attempts":1,"timeoutMs":20000,
"targetLatencyMs":500,"targetGapMs":300,"priority":0,"service":"llm"}],
"services":[{"name":"app","healthPath":"/health","maxConns":200},
{"name":"llm","healthPath":"/health","maxConns":400,"engine":{"slots":64,"kvCapacity":1000000,"kvTokenBytes":100,
"linkMbps":1000,"kvHoldS":5,"switchS":1,"stride":1}}],
"tenants":[{"name":"org","apiKeys":["secret"]}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":20000,"idleTimeoutMs":60000}})";

/// Answers a request for a long response with one, and others with two bytes.
boost::asio::awaitable<void> answer(const servers::http_request& request, standin::raw_connection& connection) {
    const bool is_large = request.target() == "/safe/large";
    std::string body = is_large ? std::string(large_answer_bytes, 'a') : std::string("ok");
    std::string bytes = serving_fixture::make_answer(request, status_ok, body);
    co_await connection.write(std::move(bytes));
}

/// Streams events until the connection ends or a bound is reached that no reader in these tests takes.
boost::asio::awaitable<void> stream(const servers::http_request& request, standin::raw_connection& connection) {
    constexpr int pieces = 400;
    constexpr std::size_t event_bytes = 10'000;
    std::string head = serving_fixture::make_stream_head(request);
    co_await connection.write(std::move(head));
    for (int number = 1; number <= pieces; ++number) {
        std::string event =
            serving_fixture::make_chunk(fmt::format("id: {}\ndata: {}\n\n", number, std::string(event_bytes, 'a')));
        co_await connection.write(std::move(event));
    }
    std::string end = "0\r\n\r\n";
    co_await connection.write(std::move(end));
}

} // namespace

crowd_host::crowd_host(const std::map<std::string, std::string>& environment)
    : m_callers(find_free_address<asio::ip::tcp>(m_backend_loop)),
      m_ready(find_free_address<asio::ip::tcp>(m_backend_loop)),
      m_metrics(find_free_address<asio::ip::tcp>(m_backend_loop)), m_instance(m_backend_loop, answer),
      m_prefill_engine(m_backend_loop, serving_fixture::read_prompts()), m_decode_engine(m_backend_loop, stream) {
    std::string folder = (std::filesystem::temp_directory_path() / "crowd-XXXXXX").string();
    if (::mkdtemp(folder.data()) == nullptr) {
        throw std::runtime_error("cannot create a folder for the settings");
    }
    m_folder = folder;
    m_store.handler.put("keyed.op", "config", std::string(configuration));
    add_server("s1", "app", m_instance.get_endpoint(), "");
    add_server("p1", "llm", m_prefill_engine.get_endpoint(), "prefill");
    add_server("d1", "llm", m_decode_engine.get_endpoint(), "decode");
    write_settings(m_folder + "/host.toml");
    m_backend_thread.start();
    for (const auto& [name, value] : environment) {
        ::setenv(name.c_str(), value.c_str(), 1);
    }
    m_process = std::make_unique<soak::child_process>(
        std::vector<std::string>{CROWD_DAEMON, "--config", m_folder + "/host.toml"}, m_folder + "/log");
    for (const auto& [name, value] : environment) {
        ::unsetenv(name.c_str());
    }
    for (int attempt = 0; ask_ready() != status_ok; ++attempt) {
        if (attempt == max_start_attempts || !is_running()) {
            throw std::runtime_error("the daemon does not become ready; see " + m_folder);
        }
        // Gives the daemon time to listen; the test asserts nothing about how long that takes.
        ::usleep(20'000);
    }
}

crowd_host::~crowd_host() {
    m_process.reset();
    std::error_code ignored;
    std::filesystem::remove_all(m_folder, ignored);
}

void crowd_host::add_server(const std::string& name, const std::string& service, const endpoint& address,
                            const std::string& stage) {
    boost::json::object entry{{"service", service},
                              {"addr", format_endpoint(address)},
                              {"zone", "z"},
                              {"version", "1"},
                              {"slots", 64},
                              {"state", "ready"},
                              {"coldRemainingMs", 0},
                              {"seq", 1},
                              {"born", 1}};
    if (!stage.empty()) {
        entry["role"] = stage;
        entry["stage"] = stage;
    }
    m_store.handler.put("keyed.servers", name, boost::json::serialize(entry));
}

void crowd_host::write_settings(const std::string& path) {
    const endpoint hosts = find_free_address<asio::ip::udp>(m_backend_loop);
    std::ofstream(path) << fmt::format(R"([host]
name = "h1"
zone = "z"
address = "127.0.0.1"
is_first_start = true
[listen]
callers = "{}"
ready = "{}"
metrics = "{}"
hosts = "{}"
[store]
address = "{}"
[orders]
duties = []
[bounds]
server_heartbeat_ms = 1200
contact_ms = 3000
drain_ms = 2000
stop_s = 8
configuration_ms = 2000
lease_ms = 3000
repeats_per_request = 0.2
repeats_besides = 50
repeats_window_s = 10
usage_window_s = 60
usage_due_s = 120
)",
                                       format_endpoint(m_callers), format_endpoint(m_ready), format_endpoint(m_metrics),
                                       format_endpoint(hosts), format_endpoint(m_store.get_endpoint()));
}

std::size_t crowd_host::get_peak_memory_kb() const {
    std::ifstream status(fmt::format("/proc/{}/status", m_process->get_id()));
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with("VmHWM:")) {
            return std::stoul(line.substr(line.find(':') + 1));
        }
    }
    throw std::runtime_error("the daemon has no memory statistics");
}

void crowd_host::wait_until_quiet() const {
    constexpr int max_steps = 40;
    constexpr unsigned step_microseconds = 250'000;
    std::size_t before = 0;
    for (int step = 0; step < max_steps && before != get_peak_memory_kb(); ++step) {
        before = get_peak_memory_kb();
        ::usleep(step_microseconds);
    }
}

std::size_t crowd_host::get_open_descriptors() const {
    const std::filesystem::directory_iterator open(fmt::format("/proc/{}/fd", m_process->get_id()));
    return static_cast<std::size_t>(std::distance(begin(open), end(open)));
}

unsigned crowd_host::ask(const std::string& body) const {
    servers::http_request request(http::verb::post, "/safe/x", 11);
    for (const auto& [name, value] : serving_fixture::get_headers()) {
        request.insert(name, value);
    }
    request.body() = body;
    request.prepare_payload();
    return ask_address(m_callers, std::move(request)).first;
}

unsigned crowd_host::ask_ready() const {
    return ask_address(m_ready, servers::http_request(http::verb::get, "/", 11)).first;
}

std::string crowd_host::get_metrics() const {
    return ask_address(m_metrics, servers::http_request(http::verb::get, "/metrics", 11)).second;
}

std::pair<unsigned, std::string> ask_address(const endpoint& address, servers::http_request request) {
    constexpr auto patience = std::chrono::seconds(10);
    serving_fixture::answer got;
    asio::io_context loop(1);
    run_until_done(loop, [&]() -> asio::awaitable<void> {
        servers::beast::tcp_stream stream(loop);
        stream.expires_after(patience);
        servers::error_code fault;
        const asio::ip::tcp::endpoint target(asio::ip::make_address(address.address), address.port);
        co_await stream.async_connect(target, servers::store_error(fault));
        if (fault) {
            co_return;
        }
        co_await http::async_write(stream, request, servers::store_error(fault));
        servers::beast::flat_buffer buffer;
        http::response_parser<http::string_body> parser;
        parser.body_limit(boost::none);
        co_await http::async_read(stream, buffer, parser, servers::store_error(fault));
        if (!fault) {
            got.status = parser.get().result_int();
            got.body = parser.get().body();
        }
    });
    return {got.status, got.body};
}

} // namespace dragonflywell::testing
