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
/// A caller leaves when nothing has come some time after its deadline.
constexpr duration patience = std::chrono::milliseconds(deadline_ms + 1500);
constexpr duration connect_patience = std::chrono::seconds(1);
/// From the acceptance of a configuration to the last request that may still be handled by an older one.
constexpr duration configuration_bound = std::chrono::seconds(2);
/// Bounds hold where nothing unplanned has happened for this long.
constexpr duration contact = std::chrono::seconds(3);

constexpr unsigned status_ok = 200;
constexpr unsigned status_unauthorized = 401;
constexpr unsigned status_not_found = 404;
constexpr unsigned status_too_many = 429;
constexpr unsigned status_unavailable = 503;

std::string_view get_route(request_kind kind) {
    switch (kind) {
    case request_kind::idempotent:
        return "safe";
    case request_kind::at_most_once:
        return "once";
    case request_kind::stream:
        return "gen";
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
    request.set("Dragonflywell-Deadline-Ms", std::to_string(deadline_ms));
    request.set("Api-Key", key);
    if (kind == request_kind::stream || kind == request_kind::resumable_stream) {
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

/// Ends what the socket waits for when the time is up.
void cancel_late(asio::steady_timer& timer, const std::shared_ptr<tcp::socket>& socket,
                 const std::shared_ptr<bool>& is_late) {
    timer.async_wait([socket, is_late](const error_code& fault) {
        if (!fault) {
            *is_late = true;
            error_code ignored;
            socket->cancel(ignored);
        }
    });
}

} // namespace

asio::awaitable<void> soak_caller::run() {
    constexpr double kinds = 4;
    while (!m_world->is_over) {
        const double spread = std::uniform_real_distribution<double>(0.2, 1.8)(*m_world->random);
        co_await servers::sleep_for(std::chrono::duration_cast<duration>(m_options.pace * spread));
        if (!co_await connect()) {
            continue;
        }
        const auto kind = static_cast<request_kind>(std::uniform_real_distribution<double>(0, kinds)(*m_world->random));
        const std::string id = fmt::format("{}-{}", m_options.name, ++m_number);
        const steady_time sent_at = std::chrono::steady_clock::now();
        const bool is_owed = !m_world->revoked_at->contains(m_options.key);
        m_world->seen->add_request(id, kind, m_options.organisation, is_owed);
        const answer got = co_await ask(id, kind);
        check(id, kind, got, sent_at);
        // Some of the connections are kept until the process is gone, whatever it says.
        constexpr int stubborn = 3;
        const bool keeps = got.is_whole && (!got.closes || m_number % stubborn == 0);
        if (!keeps) {
            m_socket.reset();
        }
    }
}

soak_host* soak_caller::choose_host() const {
    std::vector<soak_host*> ready;
    for (const std::unique_ptr<soak_host>& host : *m_world->hosts) {
        if (host->is_ready) {
            ready.push_back(host.get());
        }
    }
    if (ready.empty()) {
        return nullptr;
    }
    return ready[std::uniform_int_distribution<std::size_t>(0, ready.size() - 1)(*m_world->random)];
}

asio::awaitable<bool> soak_caller::connect() {
    if (m_socket && m_host->get_life() == m_host_life) {
        co_return true;
    }
    m_host = choose_host();
    if (m_host == nullptr) {
        co_return false;
    }
    m_host_life = m_host->get_life();
    m_socket = std::make_shared<tcp::socket>(co_await asio::this_coro::executor);
    asio::steady_timer timer(m_socket->get_executor(), connect_patience);
    cancel_late(timer, m_socket, std::make_shared<bool>());
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

asio::awaitable<soak_caller::answer> soak_caller::ask(const std::string& id, request_kind kind) {
    answer got;
    asio::steady_timer timer(m_socket->get_executor(), patience);
    const auto is_late = std::make_shared<bool>(false);
    cancel_late(timer, m_socket, is_late);
    const servers::http_request request = make_request(id, kind, m_options.key);
    error_code fault;
    co_await servers::http::async_write(*m_socket, request, store_error(fault));
    got.is_connected = !fault;
    servers::beast::flat_buffer buffer;
    servers::http::response_parser<servers::http::string_body> parser;
    if (!fault) {
        co_await servers::http::async_read(*m_socket, buffer, parser, store_error(fault));
    }
    timer.cancel();
    got.is_whole = !fault;
    got.has_time_run_out = *is_late;
    if (parser.is_header_done()) {
        got.status = parser.get().result_int();
        got.seal = std::string(parser.get()["Dragonflywell-Server-Seal"]);
        got.closes = !parser.keep_alive();
    }
    got.body = parser.get().body();
    co_return got;
}

void soak_caller::check(const std::string& id, request_kind kind, const answer& got, steady_time sent_at) {
    if (!got.is_whole) {
        check_cut(id, got);
        return;
    }
    switch (got.status) {
    case status_ok:
        check_success(id, kind, got, sent_at);
        break;
    case status_too_many:
    case status_unavailable:
        if (got.seal.empty()) {
            m_world->seen->add_promise_not_run(id);
        }
        break;
    case status_unauthorized:
        if (!m_world->revoked_at->contains(m_options.key)) {
            m_world->seen->add_violation(fmt::format("{} is refused with 401, though its key is in force", id));
        }
        break;
    case status_not_found:
        m_world->seen->add_violation(fmt::format("{} is refused with 404, though its route is there", id));
        break;
    default:
        break;
    }
}

void soak_caller::check_success(const std::string& id, request_kind kind, const answer& got, steady_time sent_at) {
    m_world->seen->add_served(id);
    if (got.seal != "seal-of-" + id || got.body != make_expected_body(kind, id)) {
        m_world->seen->add_violation(fmt::format("{} gets an answer that is not its own or not whole: {} with {} bytes",
                                                 id, got.seal, got.body.size()));
    }
    const auto revoked = m_world->revoked_at->find(m_options.key);
    const bool must_be_refused = revoked != m_world->revoked_at->end() &&
                                 sent_at > revoked->second + configuration_bound && m_world->seen->is_calm(contact);
    if (must_be_refused) {
        m_world->seen->add_violation(fmt::format("{} is served under a key that was revoked", id));
    }
}

void soak_caller::check_cut(const std::string& id, const answer& got) {
    // A kept connection may be closed just as the request is written; that is no request that was cut off.
    if (!got.is_connected || got.status == 0) {
        return;
    }
    if (m_world->is_planned_only() && !got.has_time_run_out) {
        m_world->seen->add_violation(fmt::format("{} is cut off by planned work at {}", id, m_host->get_name()));
    }
}

} // namespace dragonflywell::soak
