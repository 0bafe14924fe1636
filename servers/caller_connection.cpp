#include "servers/caller_connection.hpp"

#include <algorithm>
#include <array>
#include <boost/asio/post.hpp>

#include "servers/caller_disconnect_monitor.hpp"
#include "servers/scoped_count.hpp"
#include "servers/tcp_caller_channel.hpp"

namespace dragonflywell::servers {

using asio::ip::tcp;

namespace {

/// An idle connection keeps only a small buffer.
constexpr std::size_t first_piece_bytes = 512;
constexpr std::size_t chunk_buffer_bytes = 8UL * 1024;
constexpr std::size_t first_body_bytes = 16UL * 1024;
/// Bytes of a parsed field besides its text: its node, the allocator's overhead, and its copy for the backend server.
constexpr std::size_t field_bytes = 192;
/// Bytes of an entry of a list in a field, such as a prompt part, once it is decoded, with its copies while the request
/// runs.
constexpr std::size_t list_entry_bytes = 40;
/// A body that runs is held as the request, as the message to a backend server, and as the bytes being sent; the
/// latter again where the same request is sent to a second server.
constexpr std::size_t copies_of_running_body = 4;

/// The entry of a connection in the table during its lifetime.
class table_entry {
public:
    table_entry(caller_table& table, caller_connection& connection)
        : m_table(&table), m_connection(&connection), m_is_added(table.add(connection)) {}
    table_entry(const table_entry&) = delete;
    table_entry& operator=(const table_entry&) = delete;
    table_entry(table_entry&&) = delete;
    table_entry& operator=(table_entry&&) = delete;
    ~table_entry() {
        if (m_is_added) {
            m_table->remove(*m_connection);
        }
    }

    [[nodiscard]] bool is_added() const noexcept { return m_is_added; }

private:
    caller_table* m_table;
    caller_connection* m_connection;
    bool m_is_added;
};

std::string_view get_text(const beast::flat_buffer& buffer) {
    const auto data = buffer.data();
    return {static_cast<const char*>(data.data()), data.size()};
}

/// Returns what a parsed head holds, with the copies of its fields for a backend server.
std::size_t get_held_bytes(std::string_view head) {
    constexpr std::size_t copies = 2;
    const auto fields = static_cast<std::size_t>(std::count(head.begin(), head.end(), '\n'));
    const auto entries = static_cast<std::size_t>(std::count(head.begin(), head.end(), ','));
    return fields * field_bytes + entries * list_entry_bytes + copies * head.size();
}

} // namespace

caller_connection::caller_connection(connection_context& context, caller_table& table, tcp::socket socket)
    : m_context(&context), m_table(&table), m_stream(std::move(socket)) {}

asio::awaitable<void> caller_connection::serve() {
    const scoped_count open_connection(m_context->open_connections);
    const table_entry entry(*m_table, *this);
    if (!entry.is_added()) {
        co_return;
    }
    while (co_await wait_for_request()) {
        // A request is active from its first byte on, so that a graceful stop waits for the rest of it.
        const scoped_count active_request(m_context->active_requests);
        m_table->begin_request(*this);
        const bool is_reusable = co_await serve_one();
        if (!is_reusable) {
            break;
        }
        m_table->begin_idle(*this);
    }
    error_code ignored;
    m_stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
}

void caller_connection::cancel_if_idle() {
    if (m_is_idle) {
        m_stream.cancel();
    }
}

void caller_connection::close_for_limit() {
    m_is_closed = true;
    m_stream.close();
}

asio::awaitable<bool> caller_connection::wait_for_request() {
    if (m_buffer.size() > 0) {
        co_return true;
    }
    error_code unavailable;
    if (m_context->is_stopping && m_stream.socket().available(unavailable) == 0) {
        co_return false;
    }
    m_buffer.shrink_to_fit();
    m_stream.expires_after(m_context->limits->idle_timeout);
    error_code fault;
    m_is_idle = true;
    const std::size_t received =
        co_await m_stream.async_read_some(m_buffer.prepare(first_piece_bytes), store_error(fault));
    m_is_idle = false;
    m_buffer.commit(received);
    if (m_is_closed) {
        co_return false;
    }
    // A request that arrives just when idle connections are cancelled is still handled.
    error_code ignored;
    co_return received > 0 || (fault == asio::error::operation_aborted && m_stream.socket().available(ignored) > 0);
}

asio::awaitable<bool> caller_connection::serve_one() {
    m_head_began_at = std::chrono::steady_clock::now();
    http_request request;
    // The parser and the body are gone when a refusal is sent, because a caller may take its time to read it.
    const read_result result = co_await read_request(request);
    if (result == read_result::complete) {
        co_return co_await handle(std::move(request));
    }
    if (result == read_result::refused) {
        co_await send_refusal();
    }
    co_return false;
}

asio::awaitable<caller_connection::read_result> caller_connection::read_request(http_request& request) {
    head_parser parser;
    std::string body;
    read_result result = co_await read_head(parser);
    if (result == read_result::complete && !parser.is_done()) {
        result = co_await read_body(parser, body);
    }
    if (result != read_result::complete) {
        co_return result;
    }
    const std::size_t held = m_buffer.capacity() + m_head_bytes + copies_of_running_body * body.capacity();
    if (!m_table->begin_run(*this, held)) {
        co_return refuse_for_room();
    }
    request.base() = std::move(parser.get().base());
    request.body() = std::move(body);
    co_return read_result::complete;
}

asio::awaitable<bool> caller_connection::handle(http_request request) {
    caller_disconnect_monitor monitor(m_stream.socket());
    const caller_channel_options options{.io_timeout = m_context->limits->io_timeout,
                                         .keep_alive = request.keep_alive(),
                                         .is_head_request = request.method() == http::verb::head,
                                         .head_time = m_head_began_at};
    tcp_caller_channel channel(m_stream, monitor, m_context->is_closing, options);
    try {
        co_await m_context->handler->handle(std::move(request), channel);
    } catch (const caller_disconnected_error& disconnect) {
        if (channel.is_too_slow()) {
            m_table->record(caller_limit_reason::slow_reader);
        }
        m_context->log->debug("{}", disconnect.what());
        co_return false;
    } catch (const std::exception& unexpected) {
        m_context->log->error("request handler failed; the connection is closed: {}", unexpected.what());
        co_return false;
    }
    co_return channel.is_reusable();
}

asio::awaitable<bool> caller_connection::hold(std::size_t received, std::size_t held) {
    const std::uint64_t closed_before = m_table->get_closed();
    const bool has_room = m_table->resize(*this, received, held);
    if (m_table->get_closed() != closed_before) {
        const asio::any_io_executor executor = m_stream.get_executor();
        co_await asio::post(executor, asio::use_awaitable);
    }
    co_return has_room && !m_is_closed;
}

asio::awaitable<caller_connection::read_result> caller_connection::receive_head() {
    const caller_limits& limits = *m_context->limits;
    m_buffer.max_size(std::max<std::size_t>(limits.header_limit_bytes + first_piece_bytes, m_buffer.size()));
    m_stream.expires_at(m_head_began_at + limits.io_timeout);
    while (get_text(m_buffer).find("\r\n\r\n") == std::string_view::npos) {
        if (m_buffer.size() >= limits.header_limit_bytes) {
            co_return refuse_fault(http::error::header_limit, caller_limit_reason::slow_header);
        }
        const std::size_t wanted = std::min(std::max(first_piece_bytes, m_buffer.capacity() - m_buffer.size()),
                                            m_buffer.max_size() - m_buffer.size());
        error_code fault;
        const std::size_t received = co_await m_stream.async_read_some(m_buffer.prepare(wanted), store_error(fault));
        m_buffer.commit(received);
        if (m_is_closed) {
            co_return read_result::closed;
        }
        if (fault) {
            co_return refuse_fault(fault, caller_limit_reason::slow_header);
        }
        const bool has_room = co_await hold(m_buffer.size(), m_buffer.capacity());
        if (!has_room) {
            co_return refuse_for_room();
        }
    }
    co_return read_result::complete;
}

asio::awaitable<caller_connection::read_result> caller_connection::read_head(head_parser& parser) {
    const read_result received = co_await receive_head();
    if (received != read_result::complete) {
        co_return received;
    }
    // A parsed head holds much more than its bytes, so it is counted before it is parsed.
    const std::string_view text = get_text(m_buffer);
    const std::string_view head = text.substr(0, text.find("\r\n\r\n"));
    m_head_bytes = get_held_bytes(head);
    const bool has_room = co_await hold(m_buffer.size(), m_buffer.capacity() + m_head_bytes);
    if (!has_room) {
        co_return refuse_for_room();
    }
    parser.header_limit(m_context->limits->header_limit_bytes);
    parser.body_limit(m_context->limits->body_limit_bytes);
    error_code fault;
    while (!parser.is_header_done() && !fault) {
        m_buffer.consume(parser.put(m_buffer.data(), fault));
    }
    if (fault) {
        co_return refuse_fault(fault, caller_limit_reason::slow_header);
    }
    co_return read_result::complete;
}

asio::awaitable<caller_connection::read_result> caller_connection::read_body(head_parser& parser, std::string& body) {
    head_check check = m_context->handler->check_head(parser.get().base());
    if (check.refusal) {
        m_table->record(caller_limit_reason::refused_by_head);
        m_refusal = std::move(check.refusal);
        co_return read_result::refused;
    }
    m_stream.expires_at(policy::get_body_deadline(m_head_began_at, m_context->limits->io_timeout, check.time_limit));
    const auto length = parser.content_length();
    if (length) {
        co_return co_await read_sized_body(*length, body);
    }
    co_return co_await read_chunked_body(parser, body);
}

asio::awaitable<bool> caller_connection::grow(std::string& body, std::size_t received, std::size_t max_bytes) {
    const std::size_t wanted = std::min(std::max(first_body_bytes, 2 * received), max_bytes);
    const bool has_room = co_await hold(received, m_buffer.capacity() + m_head_bytes + wanted);
    if (has_room) {
        body.resize(wanted);
    }
    co_return has_room;
}

asio::awaitable<caller_connection::read_result> caller_connection::read_sized_body(std::uint64_t length,
                                                                                   std::string& body) {
    std::size_t received = 0;
    while (received < length) {
        if (received == body.size()) {
            const bool has_room = co_await grow(body, received, length);
            if (!has_room) {
                co_return refuse_for_room();
            }
        }
        const std::size_t buffered = std::min(m_buffer.size(), body.size() - received);
        if (buffered > 0) {
            asio::buffer_copy(asio::buffer(body.data() + received, buffered), m_buffer.data());
            m_buffer.consume(buffered);
            received += buffered;
            continue;
        }
        error_code fault;
        const asio::mutable_buffer rest(body.data() + received, body.size() - received);
        received += co_await m_stream.async_read_some(rest, store_error(fault));
        if (m_is_closed) {
            co_return read_result::closed;
        }
        if (fault) {
            co_return refuse_fault(fault, caller_limit_reason::slow_body);
        }
    }
    co_return read_result::complete;
}

asio::awaitable<caller_connection::read_result> caller_connection::read_chunked_body(head_parser& parser,
                                                                                     std::string& body) {
    // One byte more than permitted, so that the parser sees a body that is too large.
    const std::size_t max_bytes = m_context->limits->body_limit_bytes + 1;
    std::size_t received = 0;
    parser.eager(true);
    m_buffer.max_size(std::max(m_buffer.size(), std::max(m_buffer.max_size(), chunk_buffer_bytes)));
    m_buffer.reserve(std::min(m_buffer.max_size(), chunk_buffer_bytes));
    while (!parser.is_done()) {
        if (received == body.size()) {
            const bool has_room = co_await grow(body, received, max_bytes);
            if (!has_room) {
                co_return refuse_for_room();
            }
        }
        parser.get().body().data = body.data() + received;
        parser.get().body().size = body.size() - received;
        error_code fault;
        co_await http::async_read_some(m_stream, m_buffer, parser, store_error(fault));
        if (m_is_closed) {
            co_return read_result::closed;
        }
        received = body.size() - parser.get().body().size;
        if (fault && fault != http::error::need_buffer) {
            co_return refuse_fault(fault, caller_limit_reason::slow_body);
        }
    }
    body.resize(received);
    co_return read_result::complete;
}

caller_connection::read_result caller_connection::refuse_fault(error_code read_fault, caller_limit_reason if_slow) {
    const bool is_too_slow = read_fault == beast::error::timeout;
    const bool is_http = read_fault.category() == make_error_code(http::error::bad_method).category();
    if ((!is_http && !is_too_slow) || read_fault == http::error::end_of_stream ||
        read_fault == http::error::partial_message) {
        return read_result::closed;
    }
    http::status status = http::status::bad_request;
    if (is_too_slow) {
        m_table->record(if_slow);
        status = http::status::request_timeout;
    }
    if (read_fault == http::error::header_limit) {
        status = http::status::request_header_fields_too_large;
    }
    if (read_fault == http::error::body_limit) {
        status = http::status::payload_too_large;
    }
    const std::string message = read_fault.message();
    return refuse(status, "malformed_request", message);
}

caller_connection::read_result caller_connection::refuse_for_room() {
    if (m_is_closed) {
        return read_result::closed;
    }
    return refuse(http::status::service_unavailable, "queue_full", "this host has no room for the request");
}

caller_connection::read_result caller_connection::refuse(http::status status, std::string_view code,
                                                         std::string_view message) {
    m_context->handler->on_malformed(status);
    http_response response(status, 11);
    response.set(http::field::content_type, "application/json");
    response.set("x-dragonflywell-outcome", "not_run");
    if (status == http::status::service_unavailable) {
        response.set(http::field::retry_after, "1");
    }
    response.body() = R"({"error":{"code":")" + std::string(code) + R"(","outcome":"not_run","message":")" +
                      std::string(message) + "\"}}";
    m_refusal = std::move(response);
    return read_result::refused;
}

asio::awaitable<void> caller_connection::send_refusal() {
    // What the request held has been freed.
    static_cast<void>(m_table->resize(*this, 0, 0));
    http_response response = std::move(*m_refusal);
    response.keep_alive(false);
    response.prepare_payload();
    m_stream.expires_after(m_context->limits->io_timeout);
    error_code ignored;
    co_await http::async_write(m_stream, response, store_error(ignored));
    co_await drain_input();
}

asio::awaitable<void> caller_connection::drain_input() {
    constexpr std::size_t drain_limit_bytes = 1024UL * 1024;
    constexpr std::size_t drain_piece_bytes = 4UL * 1024;
    error_code fault;
    m_buffer.clear();
    m_buffer.shrink_to_fit();
    m_stream.socket().shutdown(tcp::socket::shutdown_send, fault);
    m_stream.expires_after(std::chrono::seconds(1));
    std::array<char, drain_piece_bytes> piece{};
    std::size_t drained = 0;
    while (!fault && drained < drain_limit_bytes) {
        drained += co_await m_stream.async_read_some(asio::buffer(piece), store_error(fault));
    }
}

} // namespace dragonflywell::servers
