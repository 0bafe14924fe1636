#include "servers/backend_exchange.hpp"

#include <algorithm>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/write.hpp>
#include <charconv>

#include "servers/request_encoding.hpp"

namespace dragonflywell::servers {

namespace {

constexpr std::size_t piece_bytes = 16 * 1024;
constexpr std::uint32_t header_limit_bytes = 64 * 1024;
constexpr unsigned min_status = 100;
constexpr unsigned min_final_status = 200;
/// Limit on the bytes of interim responses and of responses to other requests that are skipped.
constexpr std::size_t max_skipped_bytes = 4UL * 1024 * 1024;
constexpr duration drain_timeout = std::chrono::milliseconds(20);

/// Returns the time that the server announces to keep the connection open between requests.
std::optional<duration> get_keep_alive_time(const http::response_header<>& head) {
    constexpr std::string_view name = "timeout=";
    const auto field = head.find(http::field::keep_alive);
    if (field == head.end()) {
        return std::nullopt;
    }
    const std::string_view value(field->value().data(), field->value().size());
    const std::size_t position = value.find(name);
    if (position == std::string_view::npos) {
        return std::nullopt;
    }
    std::uint32_t seconds = 0;
    const char* first = value.data() + position + name.size();
    const auto [end, fault] = std::from_chars(first, value.data() + value.size(), seconds);
    return fault == std::errc() ? std::optional<duration>(std::chrono::seconds(seconds)) : std::nullopt;
}

/// The named statuses of the HTTP library are only a part of those that servers may send, so that these functions use
/// the number.
bool is_interim(const http::response_header<>& head) {
    return head.result_int() >= min_status && head.result_int() < min_final_status;
}

bool has_valid_status(const http::response_header<>& head) {
    return head.result_int() >= min_status;
}

} // namespace

std::string_view get_name(connection_use use) noexcept {
    switch (use) {
    case connection_use::opened:
        return "opened";
    case connection_use::reused:
        return "reused";
    case connection_use::none:
        break;
    }
    return "none";
}

backend_exchange::backend_exchange(backend_connection_pool& pool, endpoint server, exchange_options options)
    : m_pool(&pool), m_server(std::move(server)), m_options(std::move(options)), m_piece(piece_bytes, '\0') {}

asio::awaitable<void> backend_exchange::start(const http_request& request) {
    if (!is_sendable(request)) {
        throw exchange_failed_error("the request contains what cannot stand in its header", exchange_phase::before_send,
                                    policy::retry_reason::connect_failed);
    }
    co_await connect();
    if (m_options.may_send && !m_options.may_send()) {
        throw exchange_failed_error(
            "the backend server left the server list, or the caller left, before the request was sent",
            exchange_phase::before_send, policy::retry_reason::server_left);
    }
    send(request);
    co_await read_own_head(request.method() == http::verb::head);
    if (m_options.on_response_head) {
        m_options.on_response_head(m_parser->get());
    }
    if (!m_options.accepts_unframed_response && !m_parser->is_done() && m_parser->need_eof()) {
        throw exchange_failed_error("response has neither a length nor chunked encoding", exchange_phase::after_send,
                                    policy::retry_reason::malformed_answer);
    }
}

asio::awaitable<void> backend_exchange::connect() {
    error_code fault;
    if (m_options.may_reuse_connection) {
        m_connection = m_pool->take_idle(m_server, co_await asio::this_coro::executor, get_request_id_to_match());
    }
    if (m_connection == nullptr) {
        m_connection = co_await m_pool->connect(m_server, get_time_left(), fault);
    }
    if (fault) {
        fail(fault, exchange_phase::before_send, "connecting to the backend server failed");
    }
    if (m_is_cancelled) {
        fail(asio::error::operation_aborted, exchange_phase::before_send, "exchange was cancelled while connecting");
    }
}

asio::awaitable<void> backend_exchange::read_own_head(bool is_head_request) {
    std::size_t head_bytes = co_await read_head(is_head_request);
    while (m_options.matching) {
        const response_owner owner = m_options.matching->find_owner(m_parser->get());
        const response_match match = m_connection->history.match(m_options.matching->request_id, owner);
        if (match == response_match::own ||
            (match == response_match::ambiguous && m_options.matching->accepts_copies)) {
            co_return;
        }
        if (match == response_match::ambiguous) {
            throw exchange_failed_error("response on a reused connection does not name its request",
                                        exchange_phase::after_send, policy::retry_reason::crossed_answer);
        }
        count_skipped_bytes(head_bytes);
        ++m_skipped_responses;
        co_await skip_foreign_response();
        head_bytes = co_await read_head(is_head_request);
    }
}

std::optional<std::string_view> backend_exchange::get_request_id_to_match() const {
    if (!m_options.matching || m_options.matching->accepts_copies) {
        return std::nullopt;
    }
    return m_options.matching->request_id;
}

void backend_exchange::send(const http_request& request) {
    m_connection_use = m_connection->history.is_empty() ? connection_use::opened : connection_use::reused;
    m_connection->history.record(m_options.matching ? m_options.matching->request_id : std::string());
    m_connection->outgoing = encode_request(request);
    m_connection->is_sending = true;
    m_connection->send_fault = {};
    m_is_sent = true;
    // The write is not awaited, because the response may arrive before the server has read a long body.
    asio::async_write(m_connection->stream.socket(), asio::buffer(m_connection->outgoing),
                      [connection = m_connection](const error_code& fault, std::size_t /*sent*/) {
                          connection->is_sending = false;
                          connection->send_fault = fault;
                          connection->send_end.cancel();
                      });
}

asio::awaitable<std::size_t> backend_exchange::read_head(bool is_head_request) {
    m_parser.emplace();
    m_parser->body_limit(boost::none);
    m_parser->header_limit(header_limit_bytes);
    m_parser->skip(is_head_request);
    error_code fault;
    std::size_t head_bytes = 0;
    do {
        if (m_parser->is_header_done()) {
            // An interim response such as 100 is followed by the final one.
            m_parser.emplace();
            m_parser->body_limit(boost::none);
            m_parser->header_limit(header_limit_bytes);
            m_parser->skip(is_head_request);
        }
        set_progress_timeout();
        head_bytes = co_await read_response_head(*m_connection, *m_parser, fault);
        if (fault) {
            fail(fault, exchange_phase::after_send, "reading the response header failed");
        }
        m_progressed_at = m_pool->get_time().now();
        if (!has_valid_status(m_parser->get())) {
            throw exchange_failed_error("the status of the response is out of range", exchange_phase::after_send,
                                        policy::retry_reason::malformed_answer);
        }
        if (is_interim(m_parser->get())) {
            count_skipped_bytes(head_bytes);
        }
    } while (is_interim(m_parser->get()));
    co_return head_bytes;
}

asio::awaitable<void> backend_exchange::skip_foreign_response() {
    if (m_parser->need_eof() && !m_parser->is_done()) {
        throw exchange_failed_error("response to another request has no length, so it cannot be skipped",
                                    exchange_phase::after_send, policy::retry_reason::crossed_answer);
    }
    while (!m_parser->is_done()) {
        count_skipped_bytes(co_await read_piece());
    }
}

void backend_exchange::count_skipped_bytes(std::size_t count) {
    m_skipped_bytes += count;
    if (m_skipped_bytes > max_skipped_bytes) {
        throw exchange_failed_error("too many bytes arrived before the response to this request",
                                    exchange_phase::after_send, policy::retry_reason::malformed_answer);
    }
}

asio::awaitable<std::size_t> backend_exchange::read_piece() {
    auto& body = m_parser->get().body();
    body.data = m_piece.data();
    body.size = m_piece.size();
    set_progress_timeout();
    error_code fault;
    co_await http::async_read_some(m_connection->stream, m_connection->buffer, *m_parser, store_error(fault));
    if (fault && fault != http::error::need_buffer) {
        fail(fault, exchange_phase::after_send, "reading the response body failed");
    }
    // The end of a connection that was closed here does not complete a response.
    if (m_is_cancelled && (m_parser->need_eof() || !m_parser->is_done())) {
        fail(asio::error::operation_aborted, exchange_phase::after_send, "exchange was cancelled");
    }
    const bool is_ended_by_connection = m_parser->is_done() && m_parser->need_eof();
    if (is_ended_by_connection) {
        co_await require_request_sent();
    }
    co_return m_piece.size() - body.size;
}

asio::awaitable<void> backend_exchange::require_request_sent() {
    if (m_connection->is_sending) {
        m_connection->send_end.expires_after(get_time_limit());
        error_code ignored;
        co_await m_connection->send_end.async_wait(store_error(ignored));
    }
    if (m_is_cancelled) {
        fail(asio::error::operation_aborted, exchange_phase::after_send, "exchange was cancelled");
    }
    if (m_connection->is_sending) {
        m_connection->stream.close();
        fail(beast::error::timeout, exchange_phase::after_send, "the server did not read the request");
    }
    if (m_connection->send_fault) {
        fail(m_connection->send_fault, exchange_phase::after_send, "the connection broke before the request was sent");
    }
}

asio::awaitable<std::string_view> backend_exchange::read_some() {
    while (!m_parser->is_done()) {
        const std::size_t received = co_await read_piece();
        m_received_bytes += received;
        m_progressed_at = m_pool->get_time().now();
        if (received > 0) {
            co_return std::string_view(m_piece.data(), received);
        }
    }
    return_connection();
    co_return std::string_view();
}

void backend_exchange::return_connection() {
    const bool is_clean = m_connection != nullptr && m_parser->get().keep_alive() && !m_connection->is_sending &&
                          !m_connection->send_fault && m_connection->buffer.size() == 0;
    if (is_clean) {
        m_connection->keep_alive_timeout = get_keep_alive_time(m_parser->get());
        m_pool->put_idle(m_server, std::move(m_connection));
    }
    m_connection.reset();
}

asio::awaitable<std::string> backend_exchange::read_rest(std::size_t limit_bytes) {
    std::string rest;
    m_buffered = std::make_unique<byte_budget::share>(m_pool->get_buffer_budget(), unbudgeted_response_bytes);
    std::string_view piece = co_await read_some();
    while (!piece.empty()) {
        const std::size_t needed = rest.size() + piece.size();
        std::size_t capacity = rest.capacity();
        if (needed > capacity) {
            // What the text holds is counted, not its length.
            const std::size_t most = needed <= unbudgeted_response_bytes ? unbudgeted_response_bytes : limit_bytes;
            capacity = std::max(needed, std::min(2 * capacity, most));
        }
        if (needed > limit_bytes || !m_buffered->resize(capacity)) {
            throw exchange_failed_error("response is too large", exchange_phase::after_send,
                                        policy::retry_reason::malformed_answer);
        }
        rest.reserve(capacity);
        rest += piece;
        piece = co_await read_some();
    }
    co_return rest;
}

asio::awaitable<void> backend_exchange::drain() {
    m_options.progress_timeout = std::min(m_options.progress_timeout, drain_timeout);
    try {
        co_await read_some();
    } catch (const exchange_failed_error&) {
        // The response is complete; only its connection is not reused.
    }
}

void backend_exchange::cancel() {
    m_is_cancelled = true;
    if (m_connection != nullptr) {
        m_connection->stream.cancel();
        error_code ignored;
        m_connection->stream.socket().shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
    }
}

void backend_exchange::set_time_limits(duration progress_timeout, steady_time deadline) {
    m_options.progress_timeout = progress_timeout;
    m_options.deadline = deadline;
}

void backend_exchange::set_progress_timeout() {
    m_connection->stream.expires_after(get_time_limit());
}

duration backend_exchange::get_time_limit() const {
    return std::clamp(get_time_left(), duration::zero(), m_options.progress_timeout);
}

duration backend_exchange::get_time_left() const {
    return m_options.deadline - m_pool->get_time().now();
}

void backend_exchange::fail(const error_code& fault, exchange_phase phase, const char* operation) const {
    const bool was_reused = m_connection != nullptr && m_connection->is_reused;
    policy::retry_reason reason =
        was_reused ? policy::retry_reason::stale_connection : policy::retry_reason::broken_answer;
    if (phase == exchange_phase::before_send) {
        reason = policy::retry_reason::connect_failed;
    } else if (fault == beast::error::timeout) {
        reason = policy::retry_reason::silent_backend_server;
    }
    throw exchange_failed_error(std::string(operation) + ": " + fault.message(), phase, reason);
}

} // namespace dragonflywell::servers
