#include "soak/soak_server.hpp"

#include <boost/json.hpp>
#include <fmt/format.h>

#include "servers/sleep.hpp"

namespace dragonflywell::soak {

using servers::http_request;
using standin::raw_connection;

namespace {

constexpr duration event_interval = std::chrono::milliseconds(25);
constexpr duration long_event_interval = std::chrono::seconds(1);
/// Time limit after which a draining server must get no request, and a tolerance for a slow test machine.
constexpr duration drain_bound = std::chrono::seconds(2);
constexpr duration drain_margin = std::chrono::milliseconds(500);
/// The limit is checked only when no unplanned fault has begun or ended for this long.
constexpr duration settle_time = std::chrono::seconds(3);

std::string get(const http_request& request, const std::string& name) {
    return std::string(request[name]);
}

std::string make_response(const http_request& request, unsigned status, const std::string& headers,
                          const std::string& body) {
    return fmt::format("HTTP/1.1 {} X\r\nDragonflywell-Attempt-Id: {}\r\n{}Content-Length: {}\r\n\r\n{}", status,
                       get(request, "Dragonflywell-Attempt-Id"), headers, body.size(), body);
}

std::string make_seal(const std::string& id) {
    return fmt::format("Dragonflywell-Server-Seal: seal-of-{}\r\n", id);
}

request_kind get_kind(const http_request& request) {
    const std::string_view target(request.target().data(), request.target().size());
    if (target.starts_with("/safe/")) {
        return request_kind::idempotent;
    }
    if (target.starts_with("/once/")) {
        return request_kind::at_most_once;
    }
    if (target.starts_with("/long/")) {
        return request_kind::long_stream;
    }
    return target.starts_with("/gen/") ? request_kind::stream : request_kind::resumable_stream;
}

std::string make_chunk(const std::string& bytes) {
    return fmt::format("{:x}\r\n{}\r\n", bytes.size(), bytes);
}

} // namespace

soak_server::soak_server(asio::io_context& loop, soak_platform& platform, invariant_checker& checker,
                         prompt_handles& prompts, std::mt19937_64& random, soak_server_options options)
    : link(loop, {}), m_loop(&loop), m_platform(&platform), m_checker(&checker), m_prompts(&prompts), m_random(&random),
      m_options(std::move(options)) {}

void soak_server::start() {
    m_server =
        std::make_unique<standin::raw_server>(*m_loop, [this](const http_request& request, raw_connection& connection) {
            return respond(request, connection);
        });
    link.set_target(m_server->get_endpoint());
    m_started_at_ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
            .count();
    m_orders = 0;
    m_newest_fence = 0;
    m_draining_since.reset();
    write_entry();
}

void soak_server::crash() {
    m_server.reset();
}

void soak_server::drain() {
    m_draining_since = std::chrono::steady_clock::now();
    write_entry();
}

void soak_server::leave() {
    m_platform->put_server(m_options.id, "");
}

void soak_server::write_entry() const {
    boost::json::object entry{{"service", m_options.service},
                              {"addr", format_endpoint(link.get_endpoint())},
                              {"zone", m_options.zone},
                              {"version", "1"},
                              {"slots", 16},
                              {"state", is_draining() ? "draining" : "ready"},
                              {"coldRemainingMs", 0},
                              {"seq", 1},
                              {"born", m_started_at_ms}};
    if (!m_options.stage.empty()) {
        entry["stage"] = m_options.stage;
    }
    m_platform->put_server(m_options.id, boost::json::serialize(entry));
}

bool soak_server::draw_bool(double share) {
    return std::uniform_real_distribution<double>(0, 1)(*m_random) < share;
}

std::int64_t soak_server::get_window() const {
    return std::chrono::system_clock::now().time_since_epoch() / m_options.usage_window;
}

std::string soak_server::get_notice() const {
    return is_draining() ? "Server-Leaving: 1\r\n" : "";
}

void soak_server::check_drained() const {
    if (!m_draining_since || !m_checker->is_settled(settle_time)) {
        return;
    }
    const duration since = std::chrono::steady_clock::now() - *m_draining_since;
    if (since > drain_bound + drain_margin) {
        m_checker->add_violation(fmt::format("{} gets a request {:.2f} s after it began to drain", m_options.id,
                                             std::chrono::duration<double>(since).count()));
    }
}

asio::awaitable<void> soak_server::respond(const http_request& request, raw_connection& connection) {
    const std::string target(request.target());
    const std::string expected = get(request, "Dragonflywell-Expect-Instance");
    if (!expected.empty() && expected != m_options.id) {
        std::string bytes = make_response(request, 421, "Dragonflywell-Not-Executed: 1\r\n", "");
        co_await connection.write(std::move(bytes));
        co_return;
    }
    if (target == "/-/order") {
        co_await handle_order(request, connection);
        co_return;
    }
    if (request.method() == servers::http::verb::delete_ || target.starts_with("/-/") || target == "/health") {
        const std::string report =
            fmt::format(R"({{"stage":"{}","busy":false,"seq":{},"queued":0,"running":0}})", m_options.stage, m_orders);
        std::string bytes = make_response(request, 200, "", report);
        co_await connection.write(std::move(bytes));
        co_return;
    }
    check_drained();
    co_await run(request, connection);
}

asio::awaitable<void> soak_server::run(const http_request& request, raw_connection& connection) {
    const std::string id = get(request, "Dragonflywell-Attempt-Id");
    if (!get(request, "Api-Key").empty()) {
        m_checker->add_violation(fmt::format("{} received the API key of {}", m_options.id, id));
    }
    if (draw_bool(fault_fraction / 2)) {
        std::string bytes = make_response(request, 503, get_notice() + "Dragonflywell-Not-Executed: 1\r\n", "");
        co_await connection.write(std::move(bytes));
        co_return;
    }
    if (get(request, "Dragonflywell-Stage") == "prefill") {
        const std::string handle = fmt::format("{}-{}", m_options.id, ++m_handles);
        (*m_prompts)[handle] = id;
        const std::string body = fmt::format(R"({{"kvHandle":"{}","tokens":100,"version":1}})", handle);
        std::string bytes = make_response(request, 200, get_notice(), body);
        co_await connection.write(std::move(bytes));
        co_return;
    }
    const std::string source = get(request, "Dragonflywell-Kv-Source");
    if (!source.empty()) {
        const auto prompt = m_prompts->find(source.substr(source.find('/') + 1));
        if (prompt == m_prompts->end()) {
            std::string bytes = make_response(request, 503, get_notice() + "Dragonflywell-Not-Executed: 1\r\n", "");
            co_await connection.write(std::move(bytes));
            co_return;
        }
        if (prompt->second != id) {
            m_checker->add_violation(fmt::format("{} is decoded from the KV cache of {}", id, prompt->second));
        }
        m_prompts->erase(prompt);
    }
    const std::string organisation = get(request, "Dragonflywell-Tenant");
    m_checker->add_run(id, organisation);
    const request_kind kind = get_kind(request);
    const bool is_stream = kind != request_kind::idempotent && kind != request_kind::at_most_once;
    if (!is_stream) {
        m_checker->add_start(id, organisation, get_window());
    }
    if (draw_bool(fault_fraction / 2)) {
        connection.reset();
        co_return;
    }
    if (is_stream) {
        co_await send_stream(request, kind == request_kind::long_stream ? long_event_interval : event_interval,
                             connection);
        co_return;
    }
    constexpr int min_length_ms = 2;
    constexpr int max_length_ms = 40;
    const int length_ms = std::uniform_int_distribution<int>(min_length_ms, max_length_ms)(*m_random);
    co_await servers::sleep_for(std::chrono::milliseconds(length_ms));
    std::string bytes = make_response(request, 200, get_notice() + make_seal(id), make_expected_body(kind, id));
    if (draw_bool(fault_fraction / 2)) {
        // An additional response that belongs to no request.
        bytes += make_response(request, 200, make_seal("nobody"), "nobody's");
    }
    co_await connection.write(std::move(bytes));
}

asio::awaitable<void> soak_server::send_stream(const http_request& request, duration interval,
                                               raw_connection& connection) {
    const std::string id = get(request, "Dragonflywell-Attempt-Id");
    const std::string last = get(request, "Last-Event-Id");
    const int first = last.empty() ? 1 : std::stoi(last) + 1;
    std::string head = fmt::format("HTTP/1.1 200 OK\r\nDragonflywell-Attempt-Id: {}\r\n{}"
                                   "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
                                   id, get_notice() + make_seal(id));
    co_await connection.write(std::move(head));
    for (int number = first; number <= events_per_stream; ++number) {
        if (draw_bool(fault_fraction / events_per_stream)) {
            std::string part = make_chunk("id: 99\nda");
            co_await connection.write(std::move(part));
            connection.reset();
            co_return;
        }
        m_checker->add_start(id, get(request, "Dragonflywell-Tenant"), get_window());
        std::string event = make_chunk(make_expected_event(id, number));
        co_await connection.write(std::move(event));
        co_await servers::sleep_for(interval);
    }
    std::string end = "0\r\n\r\n";
    co_await connection.write(std::move(end));
}

asio::awaitable<void> soak_server::handle_order(const http_request& request, raw_connection& connection) {
    const boost::json::value order = boost::json::parse(request.body());
    const auto fence = order.at("fence").to_number<std::uint64_t>();
    unsigned status = 202;
    if (fence < m_newest_fence) {
        status = 412;
    } else if (order.at("precondition").to_number<std::uint64_t>() != m_orders) {
        status = 409;
    } else {
        m_checker->add_fence(fmt::format("{} since {}", m_options.id, m_started_at_ms), fence,
                             std::string(order.at("holder").as_string()));
        m_newest_fence = fence;
        ++m_orders;
        m_options.stage = std::string(order.at("stage").as_string());
        write_entry();
    }
    std::string bytes = make_response(request, status, "", "{}");
    co_await connection.write(std::move(bytes));
}

} // namespace dragonflywell::soak
