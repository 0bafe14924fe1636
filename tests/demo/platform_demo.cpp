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
/// Within this a changed configuration is in force, and a leaving server gets no further request.
constexpr duration bound = milliseconds(2500);
constexpr duration start_patience = seconds(15);
constexpr duration poll_interval = milliseconds(100);
constexpr duration answer_patience = seconds(5);
constexpr int many = 20;
constexpr unsigned status_ok = 200;
constexpr unsigned status_unauthorized = 401;
constexpr std::size_t first_instance = 2;

std::string get_first_line(const std::string& text) {
    return text.substr(0, text.find('\n'));
}

} // namespace

platform_demo::platform_demo(platform_demo_options options, std::ostream& out)
    : m_options(std::move(options)), m_out(&out), m_seen(m_time), m_platform(m_loop, m_seen) {}

bool platform_demo::run() {
    testing::run_until_done(m_loop, [this] { return play(); });
    for (const std::string& violation : m_seen.get_violations()) {
        expect(false, violation);
    }
    return m_holds;
}

asio::awaitable<void> platform_demo::play() {
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
    tell("A store, two engines and two instances of a service in two availability zones; three daemons");
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
        m_hosts.push_back(std::make_unique<soak::soak_host>(m_loop, m_seen, std::move(options)));
        m_hosts.back()->start();
    }
    for (const std::unique_ptr<soak::soak_host>& host : m_hosts) {
        co_await wait_until_ready(*host);
    }
}

asio::awaitable<void> platform_demo::show_requests() {
    tell("A read, an order that may run once at most, and a stream");
    const question read{.route = "safe", .kind = request_kind::idempotent, .key = "rovers-key"};
    const question order{.route = "once", .kind = request_kind::at_most_once, .key = "surveyors-key"};
    const question stream{.route = "gen", .kind = request_kind::stream, .key = "rovers-key"};
    for (const question& wanted : {read, order, stream}) {
        const answer got = co_await ask(*m_hosts[m_number % m_hosts.size()], wanted);
        *m_out << fmt::format("   {}: {} {}\n", wanted.route, got.status, get_first_line(got.body));
        expect(got.status == status_ok, "the request is served");
    }
}

asio::awaitable<void> platform_demo::show_refused_key() {
    tell("A key that no configuration holds");
    const question read{.route = "safe", .kind = request_kind::idempotent, .key = "wrong"};
    const answer got = co_await ask(*m_hosts[0], read);
    *m_out << fmt::format("   {} {}\n", got.status, got.body);
    expect(got.status == status_unauthorized, "it is refused");
}

asio::awaitable<void> platform_demo::show_revoked_key() {
    tell("A key is revoked: it stops working at every host within its bound");
    m_keys["surveyors"] = {"surveyors-second-key"};
    m_platform.publish(m_keys);
    co_await servers::sleep_for(bound);
    const question read{.route = "safe", .kind = request_kind::idempotent, .key = "surveyors-key"};
    for (const std::unique_ptr<soak::soak_host>& host : m_hosts) {
        const answer got = co_await ask(*host, read);
        *m_out << fmt::format("   {}: {}\n", host->get_name(), got.status);
        expect(got.status == status_unauthorized, "it is refused");
    }
}

asio::awaitable<void> platform_demo::show_drained_server() {
    tell("A backend server says that it leaves: it gets no request after its bound, and none is lost");
    m_servers[first_instance]->drain();
    co_await servers::sleep_for(bound);
    const question read{.route = "safe", .kind = request_kind::idempotent, .key = "rovers-key"};
    const int served = co_await ask_many(*m_hosts[0], read, many);
    m_servers[first_instance]->leave();
    m_servers[first_instance]->crash();
    *m_out << fmt::format("   {} of {} reads served by the other one\n", served, many);
    expect(served == many, "all reads are served");
    expect(m_seen.get_violations().empty(), "the leaving server got none");
}

asio::awaitable<void> platform_demo::show_killed_host() {
    tell("A host is killed and comes back");
    m_seen.note_disturbance();
    m_hosts[0]->kill();
    const question stream{.route = "resume", .kind = request_kind::resumable_stream, .key = "rovers-key"};
    const int served = co_await ask_many(*m_hosts[1], stream, many);
    *m_out << fmt::format("   meanwhile {} of {} streams served through {}\n", served, many, m_hosts[1]->get_name());
    expect(served == many, "all streams are served");
    m_hosts[0]->start();
    co_await wait_until_ready(*m_hosts[0]);
    const question read{.route = "safe", .kind = request_kind::idempotent, .key = "rovers-key"};
    const answer got = co_await ask(*m_hosts[0], read);
    *m_out << fmt::format("   {} again: {}\n", m_hosts[0]->get_name(), got.status);
    expect(got.status == status_ok, "it serves again");
}

asio::awaitable<void> platform_demo::show_usage() {
    tell("Usage is reported by one host at a time, each window once");
    constexpr int windows = 3;
    const std::size_t before = m_seen.get_reports();
    const steady_time last = m_time.now() + start_patience;
    while (m_seen.get_reports() < before + windows && m_time.now() < last) {
        co_await servers::sleep_for(poll_interval);
    }
    *m_out << fmt::format("   {} windows reported, {} requests served\n", m_seen.get_reports(), m_seen.get_served());
    expect(m_seen.get_reports() >= before + windows, "windows are reported");
}

asio::awaitable<void> platform_demo::stop() {
    tell("All daemons are asked to stop");
    for (const std::unique_ptr<soak::soak_host>& host : m_hosts) {
        host->terminate();
    }
    const steady_time last = m_time.now() + start_patience;
    for (const std::unique_ptr<soak::soak_host>& host : m_hosts) {
        while (host->is_running() && m_time.now() < last) {
            co_await servers::sleep_for(poll_interval);
        }
        expect(!host->is_running(), host->get_name() + " ends by itself");
    }
    *m_out << "   ended\n";
}

asio::awaitable<platform_demo::answer> platform_demo::ask(soak::soak_host& host, question wanted) {
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
    m_seen.add_request(id, wanted.kind, wanted.key.substr(0, wanted.key.find('-')), false);
    servers::beast::tcp_stream stream(m_loop);
    stream.expires_after(answer_patience);
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
        co_return answer{};
    }
    const bool is_own = response.body() == soak::make_expected_body(wanted.kind, id);
    if (response.result() == servers::http::status::ok) {
        m_seen.add_served(id);
        expect(is_own, "the answer is the request's own and whole");
    }
    co_return answer{.status = response.result_int(), .body = response.body()};
}

asio::awaitable<int> platform_demo::ask_many(soak::soak_host& host, question wanted, int count) {
    int served = 0;
    for (int number = 0; number < count; ++number) {
        const answer got = co_await ask(host, wanted);
        served += got.status == status_ok ? 1 : 0;
    }
    co_return served;
}

asio::awaitable<bool> platform_demo::is_ready(soak::soak_host& host) {
    servers::beast::tcp_stream stream(m_loop);
    stream.expires_after(answer_patience);
    const asio::ip::tcp::endpoint address(asio::ip::make_address("127.0.0.1"), host.get_ready().port);
    servers::error_code fault;
    co_await stream.async_connect(address, store_error(fault));
    const servers::http_request question(verb::get, "/-/ready", 11);
    if (!fault) {
        co_await servers::http::async_write(stream, question, store_error(fault));
    }
    servers::beast::flat_buffer buffer;
    servers::http::response<servers::http::string_body> response;
    if (!fault) {
        co_await servers::http::async_read(stream, buffer, response, store_error(fault));
    }
    co_return !fault && response.result() == servers::http::status::ok;
}

asio::awaitable<void> platform_demo::wait_until_ready(soak::soak_host& host) {
    const steady_time last = m_time.now() + start_patience;
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
        std::make_unique<soak::soak_server>(m_loop, m_platform, m_seen, m_prompts, m_random, std::move(options)));
    m_servers.back()->start();
}

void platform_demo::tell(const std::string& line) {
    *m_out << "== " << line << std::endl;
}

void platform_demo::expect(bool holds, const std::string& what) {
    if (!holds) {
        m_holds = false;
        *m_out << "   NOT SO: " << what << std::endl;
    }
}

} // namespace dragonflywell::demo
