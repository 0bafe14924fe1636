#include "demo/platform_demo.hpp"

#include <fmt/format.h>
#include <ostream>

#include "servers/sleep.hpp"
#include "support/event_loop.hpp"

namespace dragonflywell::demo {

using servers::store_error;
using servers::http::verb;
using soak::request_kind;
using std::chrono::milliseconds;
using std::chrono::seconds;
namespace asio = soak::asio;

namespace {

constexpr duration usage_window = seconds(2);
/// After this time a changed configuration has taken effect everywhere, and a draining server gets no further requests.
constexpr duration settle_time = milliseconds(2500);
constexpr duration start_timeout = seconds(15);
constexpr duration poll_interval = milliseconds(100);
constexpr duration response_timeout = seconds(5);
constexpr int request_count = 20;
constexpr unsigned status_ok = 200;
constexpr unsigned status_unauthorized = 401;
constexpr std::size_t first_instance = 2;

std::string get_first_line(const std::string& text) {
    return text.substr(0, text.find('\n'));
}

} // namespace

platform_demo::platform_demo(platform_demo_options options, std::ostream& out)
    : m_options(std::move(options)), m_out(&out), m_checker(m_time), m_platform(m_loop, m_checker) {}

bool platform_demo::run() {
    testing::run_until_done(m_loop, [this] { return run_steps(); });
    for (const std::string& violation : m_checker.get_violations()) {
        expect(false, violation);
    }
    return m_is_successful;
}

asio::awaitable<void> platform_demo::run_steps() {
    co_await start();
    co_await show_requests();
    co_await show_refused_key();
    co_await show_revoked_key();
    co_await show_drained_server();
    co_await show_killed_host();
    co_await show_usage();
    co_await stop();
}

asio::awaitable<void> platform_demo::start() {
    print_step("A store, two engines and two instances of a service in two availability zones; three daemons");
    m_platform.start();
    add_server("llm", "z1", "prefill");
    add_server("llm", "z2", "decode");
    add_server("app", "z1", "");
    add_server("app", "z2", "");
    m_keys = {{"rovers", {"rovers-key"}}, {"surveyors", {"surveyors-key"}}};
    m_platform.publish(m_keys);
    for (const char* zone : {"z1", "z2", "z1"}) {
        soak::soak_host_options options{.name = fmt::format("entry-{}", m_hosts.size()),
                                        .zone = zone,
                                        .program = m_options.daemon,
                                        .folder = m_options.folder,
                                        .store = m_platform.get_store_endpoint(),
                                        .reports = m_platform.get_reports_endpoint(),
                                        .usage_window = usage_window};
        m_hosts.push_back(std::make_unique<soak::soak_host>(m_loop, m_checker, std::move(options)));
        m_hosts.back()->start();
    }
    for (const std::unique_ptr<soak::soak_host>& host : m_hosts) {
        co_await wait_until_ready(*host);
    }
}

asio::awaitable<void> platform_demo::show_requests() {
    print_step("A read, a request that may run at most once, and a stream");
    const test_request read{.route = "safe", .kind = request_kind::idempotent, .key = "rovers-key"};
    const test_request order{.route = "once", .kind = request_kind::at_most_once, .key = "surveyors-key"};
    const test_request stream{.route = "gen", .kind = request_kind::stream, .key = "rovers-key"};
    for (const test_request& wanted : {read, order, stream}) {
        const test_response received = co_await send_request(*m_hosts[m_number % m_hosts.size()], wanted);
        *m_out << fmt::format("   {}: {} {}\n", wanted.route, received.status, get_first_line(received.body));
        expect(received.status == status_ok, "the request is served");
    }
}

asio::awaitable<void> platform_demo::show_refused_key() {
    print_step("A key that is not in the configuration");
    const test_request read{.route = "safe", .kind = request_kind::idempotent, .key = "wrong"};
    const test_response received = co_await send_request(*m_hosts[0], read);
    *m_out << fmt::format("   {} {}\n", received.status, received.body);
    expect(received.status == status_unauthorized, "it is refused");
}

asio::awaitable<void> platform_demo::show_revoked_key() {
    print_step("A key is revoked: every host refuses it within the time limit");
    m_keys["surveyors"] = {"surveyors-second-key"};
    m_platform.publish(m_keys);
    co_await servers::sleep_for(settle_time);
    const test_request read{.route = "safe", .kind = request_kind::idempotent, .key = "surveyors-key"};
    for (const std::unique_ptr<soak::soak_host>& host : m_hosts) {
        const test_response received = co_await send_request(*host, read);
        *m_out << fmt::format("   {}: {}\n", host->get_name(), received.status);
        expect(received.status == status_unauthorized, "it is refused");
    }
}

asio::awaitable<void> platform_demo::show_drained_server() {
    print_step("A backend server drains: after the time limit it gets no request, and no request is lost");
    m_servers[first_instance]->drain();
    co_await servers::sleep_for(settle_time);
    const test_request read{.route = "safe", .kind = request_kind::idempotent, .key = "rovers-key"};
    const int served = co_await send_requests(*m_hosts[0], read, request_count);
    m_servers[first_instance]->leave();
    m_servers[first_instance]->crash();
    *m_out << fmt::format("   {} of {} reads served by the other backend server\n", served, request_count);
    expect(served == request_count, "all reads are served");
    expect(m_checker.get_violations().empty(), "the draining backend server gets no request");
}

asio::awaitable<void> platform_demo::show_killed_host() {
    print_step("A host is killed and started again");
    m_checker.record_unplanned_fault();
    m_hosts[0]->kill();
    const test_request stream{.route = "resume", .kind = request_kind::resumable_stream, .key = "rovers-key"};
    const int served = co_await send_requests(*m_hosts[1], stream, request_count);
    *m_out << fmt::format("   meanwhile {} of {} streams served through {}\n", served, request_count,
                          m_hosts[1]->get_name());
    expect(served == request_count, "all streams are served");
    m_hosts[0]->start();
    co_await wait_until_ready(*m_hosts[0]);
    const test_request read{.route = "safe", .kind = request_kind::idempotent, .key = "rovers-key"};
    const test_response received = co_await send_request(*m_hosts[0], read);
    *m_out << fmt::format("   {} again: {}\n", m_hosts[0]->get_name(), received.status);
    expect(received.status == status_ok, "it serves again");
}

asio::awaitable<void> platform_demo::show_usage() {
    print_step("One host at a time reports usage, once per window");
    constexpr int windows = 3;
    const std::size_t before = m_checker.get_reports();
    const steady_time last = m_time.now() + start_timeout;
    while (m_checker.get_reports() < before + windows && m_time.now() < last) {
        co_await servers::sleep_for(poll_interval);
    }
    *m_out << fmt::format("   {} windows reported, {} requests served\n", m_checker.get_reports(),
                          m_checker.get_served());
    expect(m_checker.get_reports() >= before + windows, "windows are reported");
}

asio::awaitable<void> platform_demo::stop() {
    print_step("All daemons are stopped");
    for (const std::unique_ptr<soak::soak_host>& host : m_hosts) {
        host->terminate();
    }
    const steady_time last = m_time.now() + start_timeout;
    for (const std::unique_ptr<soak::soak_host>& host : m_hosts) {
        while (host->is_running() && m_time.now() < last) {
            co_await servers::sleep_for(poll_interval);
        }
        expect(!host->is_running(), host->get_name() + " ends without being killed");
    }
    *m_out << "   ended\n";
}

asio::awaitable<platform_demo::test_response> platform_demo::send_request(soak::soak_host& host, test_request wanted) {
    const bool is_read = wanted.kind == request_kind::idempotent;
    const std::string id = fmt::format("demo-{}", ++m_number);
    servers::http_request request(is_read ? verb::get : verb::post, fmt::format("/{}/{}", wanted.route, id), 11);
    request.set("Host", "soak.example");
    request.set("Dragonflywell-Attempt-Id", id);
    request.set("Dragonflywell-Deadline-Ms", "4000");
    request.set("Api-Key", wanted.key);
    if (wanted.kind == request_kind::stream || wanted.kind == request_kind::resumable_stream) {
        request.set("Dragonflywell-Model", "m");
        request.set("Dragonflywell-Token-Count", "100,6");
        request.set("Dragonflywell-Prompt-Prefix", "a1:60,b2:40");
    }
    request.prepare_payload();
    m_checker.add_request(id, wanted.kind, wanted.key.substr(0, wanted.key.find('-')), false);
    servers::beast::tcp_stream stream(m_loop);
    stream.expires_after(response_timeout);
    const asio::ip::tcp::endpoint address(asio::ip::make_address("127.0.0.1"), host.get_callers().port);
    servers::error_code fault;
    servers::http::response<servers::http::string_body> response;
    co_await stream.async_connect(address, store_error(fault));
    if (!fault) {
        co_await servers::http::async_write(stream, request, store_error(fault));
    }
    servers::beast::flat_buffer buffer;
    if (!fault) {
        co_await servers::http::async_read(stream, buffer, response, store_error(fault));
    }
    if (fault) {
        co_return test_response{};
    }
    const bool is_own = response.body() == soak::make_expected_body(wanted.kind, id);
    if (response.result() == servers::http::status::ok) {
        m_checker.add_served(id);
        expect(is_own, "the response is complete and belongs to the request");
    }
    co_return test_response{.status = response.result_int(), .body = response.body()};
}

asio::awaitable<int> platform_demo::send_requests(soak::soak_host& host, test_request wanted, int count) {
    int served = 0;
    for (int number = 0; number < count; ++number) {
        const test_response received = co_await send_request(host, wanted);
        served += received.status == status_ok ? 1 : 0;
    }
    co_return served;
}

asio::awaitable<bool> platform_demo::is_ready(soak::soak_host& host) {
    servers::beast::tcp_stream stream(m_loop);
    stream.expires_after(response_timeout);
    const asio::ip::tcp::endpoint address(asio::ip::make_address("127.0.0.1"), host.get_ready().port);
    servers::error_code fault;
    co_await stream.async_connect(address, store_error(fault));
    const servers::http_request test_request(verb::get, "/-/ready", 11);
    if (!fault) {
        co_await servers::http::async_write(stream, test_request, store_error(fault));
    }
    servers::beast::flat_buffer buffer;
    servers::http::response<servers::http::string_body> response;
    if (!fault) {
        co_await servers::http::async_read(stream, buffer, response, store_error(fault));
    }
    co_return !fault && response.result() == servers::http::status::ok;
}

asio::awaitable<void> platform_demo::wait_until_ready(soak::soak_host& host) {
    const steady_time last = m_time.now() + start_timeout;
    bool ready = co_await is_ready(host);
    while (!ready && m_time.now() < last) {
        co_await servers::sleep_for(poll_interval);
        ready = co_await is_ready(host);
    }
    expect(ready, host.get_name() + " is ready");
}

void platform_demo::add_server(const std::string& service, const std::string& zone, const std::string& stage) {
    soak::soak_server_options options{.id = fmt::format("s{}", m_servers.size()),
                                      .service = service,
                                      .zone = zone,
                                      .stage = stage,
                                      .usage_window = usage_window};
    m_servers.push_back(
        std::make_unique<soak::soak_server>(m_loop, m_platform, m_checker, m_prompts, m_random, std::move(options)));
    m_servers.back()->start();
}

void platform_demo::print_step(const std::string& line) {
    *m_out << "== " << line << std::endl;
}

void platform_demo::expect(bool holds, const std::string& what) {
    if (!holds) {
        m_is_successful = false;
        *m_out << "   FAILED: " << what << std::endl;
    }
}

} // namespace dragonflywell::demo
