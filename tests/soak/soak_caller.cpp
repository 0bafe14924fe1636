#include "soak/soak_caller.hpp"

#include <boost/asio/this_coro.hpp>
#include <boost/asio/write.hpp>
#include <fmt/format.h>

#include "servers/sleep.hpp"

namespace dragonflywell::soak {

using asio::ip::tcp;
using servers::error_code;
using servers::store_error;
using servers::http::verb;

namespace {

constexpr int deadline_ms = 3000;
/// Longer than a stop of a host.
constexpr int long_deadline_ms = 15000;
/// A caller closes its connection when a response is not complete this long after the deadline of its request.
constexpr duration response_margin = std::chrono::milliseconds(1500);
constexpr duration connect_timeout = std::chrono::seconds(1);
/// Longest time after the publication of a configuration during which requests may still be handled by the previous
/// one.
constexpr duration configuration_bound = std::chrono::seconds(2);

constexpr unsigned status_ok = 200;
constexpr unsigned status_unauthorized = 401;
constexpr unsigned status_not_found = 404;
constexpr unsigned status_too_many = 429;
constexpr unsigned status_unavailable = 503;

int get_deadline_ms(request_kind kind) {
    return kind == request_kind::long_stream ? long_deadline_ms : deadline_ms;
}

std::string_view get_route(request_kind kind) {
    switch (kind) {
    case request_kind::idempotent:
        return "safe";
    case request_kind::at_most_once:
        return "once";
    case request_kind::stream:
        return "gen";
    case request_kind::long_stream:
        return "long";
    case request_kind::resumable_stream:
        break;
    }
    return "resume";
}

servers::http_request make_request(const std::string& id, request_kind kind, const std::string& key) {
    const bool is_read = kind == request_kind::idempotent;
    servers::http_request request(is_read ? verb::get : verb::post, fmt::format("/{}/{}", get_route(kind), id), 11);
    request.set("Host", "soak.example");
    request.set("Dragonflywell-Attempt-Id", id);
    request.set("Dragonflywell-Deadline-Ms", std::to_string(get_deadline_ms(kind)));
    request.set("Api-Key", key);
    if (kind != request_kind::idempotent && kind != request_kind::at_most_once) {
        request.set("Dragonflywell-Model", "m");
        request.set("Dragonflywell-Token-Count", "100,6");
        request.set("Dragonflywell-Prompt-Prefix", "a1:60,b2:40");
    }
    if (!is_read) {
        request.body() = "body of " + id;
    }
    request.prepare_payload();
    return request;
}

/// Cancels the pending operations of the socket when the timer expires.
void cancel_on_timeout(asio::steady_timer& timer, const std::shared_ptr<tcp::socket>& socket,
                       const std::shared_ptr<bool>& is_expired) {
    timer.async_wait([socket, is_expired](const error_code& fault) {
        if (!fault) {
            *is_expired = true;
            error_code ignored;
            socket->cancel(ignored);
        }
    });
}

} // namespace

asio::awaitable<void> soak_caller::run() {
    constexpr double kinds = 4;
    while (!m_context->is_over) {
        const double spread = std::uniform_real_distribution<double>(0.2, 1.8)(*m_context->random);
        co_await servers::sleep_for(std::chrono::duration_cast<duration>(m_options.request_interval * spread));
        if (!co_await connect()) {
            continue;
        }
        const auto kind =
            static_cast<request_kind>(std::uniform_real_distribution<double>(0, kinds)(*m_context->random));
        const bool is_owed = !m_context->revoked_at->contains(m_options.key);
        const response received = co_await send_checked(kind, is_owed);
        // Some connections are kept until the process has ended, even if the host announces that it closes them.
        constexpr int kept_connection_interval = 3;
        const bool keeps = received.is_whole && (!received.closes || m_number % kept_connection_interval == 0);
        if (!keeps) {
            m_socket.reset();
        }
    }
}

asio::awaitable<void> soak_caller::run_late(soak_host& host, duration delay, bool is_new_connection) {
    const steady_time begin_at = std::chrono::steady_clock::now() + delay;
    if (!is_new_connection) {
        const bool is_connected = co_await connect_to(host);
        if (is_connected) {
            static_cast<void>(co_await send_checked(request_kind::idempotent, false));
        }
    }
    co_await servers::sleep_for(begin_at - std::chrono::steady_clock::now());
    if (is_new_connection) {
        co_await connect_to(host);
    }
    if (!m_socket) {
        co_return;
    }
    static_cast<void>(co_await send_checked(request_kind::long_stream, false));
}

asio::awaitable<soak_caller::response> soak_caller::send_checked(request_kind kind, bool is_owed) {
    const std::string id = fmt::format("{}-{}", m_options.name, ++m_number);
    const steady_time sent_at = std::chrono::steady_clock::now();
    m_context->checker->add_request(id, kind, m_options.organisation, is_owed);
    response received = co_await send_request(id, kind);
    check(id, kind, received, sent_at);
    co_return received;
}

soak_host* soak_caller::choose_host() const {
    std::vector<soak_host*> ready;
    for (const std::unique_ptr<soak_host>& host : *m_context->hosts) {
        if (host->is_ready) {
            ready.push_back(host.get());
        }
    }
    if (ready.empty()) {
        return nullptr;
    }
    return ready[std::uniform_int_distribution<std::size_t>(0, ready.size() - 1)(*m_context->random)];
}

asio::awaitable<bool> soak_caller::connect() {
    if (m_socket && m_host->get_start_count() == m_host_start_count) {
        co_return true;
    }
    soak_host* host = choose_host();
    if (host == nullptr) {
        co_return false;
    }
    co_return co_await connect_to(*host);
}

asio::awaitable<bool> soak_caller::connect_to(soak_host& host) {
    m_host = &host;
    m_host_start_count = m_host->get_start_count();
    m_socket = std::make_shared<tcp::socket>(co_await asio::this_coro::executor);
    asio::steady_timer timer(m_socket->get_executor(), connect_timeout);
    cancel_on_timeout(timer, m_socket, std::make_shared<bool>());
    error_code fault;
    const endpoint& address = m_host->get_callers();
    const tcp::endpoint remote(asio::ip::make_address(address.address), address.port);
    co_await m_socket->async_connect(remote, store_error(fault));
    timer.cancel();
    if (fault) {
        m_socket.reset();
    }
    co_return !fault;
}

asio::awaitable<soak_caller::response> soak_caller::send_request(const std::string& id, request_kind kind) {
    response received;
    asio::steady_timer timer(m_socket->get_executor(),
                             std::chrono::milliseconds(get_deadline_ms(kind)) + response_margin);
    const auto is_expired = std::make_shared<bool>(false);
    cancel_on_timeout(timer, m_socket, is_expired);
    const servers::http_request request = make_request(id, kind, m_options.key);
    error_code fault;
    co_await servers::http::async_write(*m_socket, request, store_error(fault));
    received.is_connected = !fault;
    servers::beast::flat_buffer buffer;
    servers::http::response_parser<servers::http::string_body> parser;
    if (!fault) {
        co_await servers::http::async_read(*m_socket, buffer, parser, store_error(fault));
    }
    timer.cancel();
    received.is_whole = !fault;
    received.is_timed_out = *is_expired;
    if (parser.is_header_done()) {
        received.status = parser.get().result_int();
        received.seal = std::string(parser.get()["Dragonflywell-Server-Seal"]);
        received.closes = !parser.keep_alive();
    }
    received.body = parser.get().body();
    co_return received;
}

void soak_caller::check(const std::string& id, request_kind kind, const response& received, steady_time sent_at) {
    if (!received.is_whole) {
        check_cut(id, received);
        return;
    }
    switch (received.status) {
    case status_ok:
        check_success(id, kind, received, sent_at);
        break;
    case status_too_many:
    case status_unavailable:
        if (received.seal.empty()) {
            m_context->checker->add_not_run_guarantee(id);
        }
        break;
    case status_unauthorized:
        if (!m_context->revoked_at->contains(m_options.key)) {
            m_context->checker->add_violation(fmt::format("{} is refused with 401, although its key is valid", id));
        }
        break;
    case status_not_found:
        m_context->checker->add_violation(fmt::format("{} is refused with 404, although its route exists", id));
        break;
    default:
        break;
    }
}

void soak_caller::check_success(const std::string& id, request_kind kind, const response& received,
                                steady_time sent_at) {
    m_context->checker->add_served(id);
    if (received.seal != "seal-of-" + id || received.body != make_expected_body(kind, id)) {
        m_context->checker->add_violation(
            fmt::format("{} gets a response that is incomplete or belongs to another request: seal {}, {} bytes", id,
                        received.seal, received.body.size()));
    }
    const auto revoked = m_context->revoked_at->find(m_options.key);
    const bool must_be_refused = revoked != m_context->revoked_at->end() &&
                                 sent_at > revoked->second + configuration_bound && m_context->is_planned_only();
    if (must_be_refused) {
        m_context->checker->add_violation(fmt::format("{} is served with a revoked key", id));
    }
}

void soak_caller::check_cut(const std::string& id, const response& received) {
    // A host may close a persistent connection just as the request is written. Such a request was not cut off.
    if (!received.is_connected || (received.status == 0 && !m_context->checker->has_run(id))) {
        return;
    }
    if (m_context->is_planned_only() && !received.is_timed_out) {
        m_context->checker->add_violation(
            fmt::format("the response to {} is cut off by a planned operation at {}", id, m_host->get_name()));
    }
}

} // namespace dragonflywell::soak
