#include "standin/engine_standin.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <cstdlib>
#include <fmt/format.h>

#include "core/hash.hpp"
#include "core/json.hpp"
#include "servers/event_stream_parser.hpp"
#include "standin/fault_plan.hpp"

namespace dragonflywell::standin {

namespace asio = servers::asio;

namespace {

constexpr std::uint64_t prompt_tag_count = 1000;
constexpr std::size_t cached_prompt_limit = 64;
constexpr std::string_view streams_path = "/v1/streams/";
constexpr std::string_view resume_query = "?from=";
constexpr std::chrono::hours hang_time{1};
constexpr std::string_view crash_marker = "crash-the-engine";

class running_request {
public:
    explicit running_request(std::atomic<std::uint64_t>& running) : m_running(&running) { ++*m_running; }
    running_request(const running_request&) = delete;
    running_request& operator=(const running_request&) = delete;
    running_request(running_request&&) = delete;
    running_request& operator=(running_request&&) = delete;
    ~running_request() { --*m_running; }

private:
    std::atomic<std::uint64_t>* m_running;
};

std::string get_prompt(const boost::json::object& document) {
    if (document.contains("prompt")) {
        return json::get_string(document, "prompt");
    }
    std::string prompt;
    for (const boost::json::value& message : json::get_array(document, "messages")) {
        prompt += json::get_string_or(message.as_object(), "content", "") + "\n";
    }
    return prompt;
}

std::uint64_t count_prompt_tokens(const std::string& prompt) {
    return prompt.size() / 4 + 1;
}

std::string make_chunk(const std::string& id, bool is_chat, const std::string& text, bool is_last,
                       std::uint64_t prompt_tokens, std::uint64_t tokens) {
    boost::json::object choice{{"index", 0}};
    if (is_chat) {
        choice["delta"] = {{"content", text}};
    } else {
        choice["text"] = text;
    }
    if (is_last) {
        choice["finish_reason"] = "length";
    }
    boost::json::object chunk{{"id", "cmpl-" + id},
                              {"object", is_chat ? "chat.completion.chunk" : "text_completion"},
                              {"choices", boost::json::array{std::move(choice)}}};
    chunk["usage"] = {{"prompt_tokens", prompt_tokens}, {"completion_tokens", tokens}};
    return boost::json::serialize(chunk);
}

} // namespace

std::string get_generated_text(const std::string& prompt, std::uint64_t position) {
    return fmt::format("{}-{} ", get_stable_hash(prompt) % prompt_tag_count, position);
}

engine_standin::engine_standin(engine_standin_options options)
    : m_options(std::move(options)), m_role(m_options.role) {}

asio::awaitable<void> engine_standin::handle(servers::http_request request, servers::caller_channel& caller) {
    if (m_has_crashed) {
        throw servers::caller_disconnected_error("the engine has crashed");
    }
    if (request.count(servers::http::field::authorization) != 0) {
        ++m_keys_seen;
    }
    const std::string target(request.target());
    if (target == "/v1/chat/completions" || target == "/v1/completions") {
        co_await complete(request, caller);
    } else if (target == "/orders") {
        co_await caller.send(handle_order(request.body()));
    } else if (target == "/load") {
        co_await caller.send(report_load());
    } else if (target.starts_with(streams_path) && request.method() == servers::http::verb::get) {
        co_await resume(target, caller);
    } else if (target.starts_with(streams_path) && request.method() == servers::http::verb::delete_) {
        cancel(target.substr(streams_path.size()));
        co_await caller.send(make_json_response(200, "{}"));
    } else {
        co_await caller.send(make_json_response(404, "{}"));
    }
}

asio::awaitable<void> engine_standin::complete(const servers::http_request& request, servers::caller_channel& caller) {
    const boost::json::value root = json::parse(request.body());
    const boost::json::object& document = root.as_object();
    const std::string prompt = get_prompt(document);
    if (prompt.find(crash_marker) != std::string::npos) {
        std::_Exit(1);
    }
    const engine_fault fault = take_fault();
    if (fault.kind == engine_fault_kind::reject || fault.kind == engine_fault_kind::busy) {
        const unsigned status = fault.kind == engine_fault_kind::reject ? 422 : 503;
        co_await caller.send(make_json_response(status, R"({"error":"refused as planned"})"));
        co_return;
    }
    ++m_starts;
    const running_request running(m_running);
    const std::string id(request["x-request-id"]);
    const known_stream stream{.prompt = prompt,
                              .is_chat = request.target().starts_with("/v1/chat/"),
                              .max_tokens = json::get_unsigned_or(document, "max_tokens", 16)};
    asio::steady_timer timer(co_await asio::this_coro::executor);
    const std::uint64_t uncached_tokens = is_cached(prompt) ? 1 : count_prompt_tokens(prompt);
    timer.expires_after(scale_by_load(m_options.prompt_token_time * uncached_tokens));
    co_await timer.async_wait(asio::use_awaitable);
    {
        const std::scoped_lock lock(m_mutex);
        m_streams[id] = stream;
    }
    const std::uint64_t first = json::get_unsigned_or(document, "continue_position", 0);
    co_await generate(id, stream, first, fault, caller);
}

asio::awaitable<void> engine_standin::resume(const std::string& target, servers::caller_channel& caller) {
    const std::size_t query = target.find(resume_query);
    const std::string id = target.substr(streams_path.size(), query - streams_path.size());
    std::optional<known_stream> stream;
    {
        const std::scoped_lock lock(m_mutex);
        if (const auto found = m_streams.find(id); found != m_streams.end() && !m_cancelled.contains(id)) {
            stream = found->second;
        }
    }
    if (!stream || query == std::string::npos) {
        co_await caller.send(make_json_response(404, "{}"));
        co_return;
    }
    ++m_resumptions;
    const running_request running(m_running);
    const std::uint64_t first = std::stoull(target.substr(query + resume_query.size()));
    co_await generate(id, *stream, first, take_fault(), caller);
}

asio::awaitable<void> engine_standin::generate(const std::string& id, known_stream stream, std::uint64_t first,
                                               engine_fault fault, servers::caller_channel& caller) {
    co_await caller.start_stream(servers::make_stream_head("text/event-stream"));
    asio::steady_timer timer(co_await asio::this_coro::executor);
    const std::uint64_t prompt_tokens = count_prompt_tokens(stream.prompt);
    const std::uint64_t end = stream.max_tokens + (fault.kind == engine_fault_kind::extra_tokens ? 3 : 0);
    for (std::uint64_t position = first; position < end; ++position) {
        const bool is_faulty = position - first == fault.after_tokens;
        if (is_faulty && fault.kind == engine_fault_kind::disconnect) {
            cancel(id);
            throw servers::caller_disconnected_error("the engine closes the connection, as the fault plan requires");
        }
        if (is_faulty && fault.kind == engine_fault_kind::crash) {
            co_await crash();
            throw servers::caller_disconnected_error("the engine crashes, as the fault plan requires");
        }
        if (is_faulty && fault.kind == engine_fault_kind::hang) {
            timer.expires_after(hang_time);
            co_await timer.async_wait(asio::use_awaitable);
        }
        if (is_faulty && fault.kind == engine_fault_kind::missing_token) {
            continue;
        }
        timer.expires_after(scale_by_load(m_options.generated_token_time));
        co_await timer.async_wait(asio::use_awaitable);
        const std::string event_id = is_faulty && fault.kind == engine_fault_kind::wrong_stream ? "another" : id;
        std::string data = make_chunk(event_id, stream.is_chat, get_generated_text(stream.prompt, position),
                                      position + 1 == stream.max_tokens, prompt_tokens, position + 1);
        if (is_faulty && fault.kind == engine_fault_kind::malformed_event) {
            data = "{\"choices\":[";
        }
        const std::string event = servers::format_event({.id = std::to_string(position), .data = data});
        co_await caller.send_chunk(event);
        if (is_faulty && fault.kind == engine_fault_kind::duplicate_token) {
            co_await caller.send_chunk(event);
        }
    }
    const std::string last_event = servers::format_event({.id = {}, .data = "[DONE]"});
    co_await caller.send_chunk(last_event);
    co_await caller.finish_stream();
}

asio::awaitable<void> engine_standin::crash() {
    m_has_crashed = true;
    m_on_crash();
    // The listener closes on the event loop. It closes before the connection ends, so that the next connection is
    // refused.
    const asio::any_io_executor executor = co_await asio::this_coro::executor;
    co_await asio::post(executor, asio::use_awaitable);
}

void engine_standin::set_fault(const engine_fault& fault) {
    const std::scoped_lock lock(m_mutex);
    m_fault = fault;
}

engine_fault engine_standin::take_fault() {
    const std::scoped_lock lock(m_mutex);
    if (m_fault.count == 0) {
        return {};
    }
    --m_fault.count;
    return m_fault;
}

void engine_standin::cancel(const std::string& id) {
    const std::scoped_lock lock(m_mutex);
    m_cancelled.insert(id);
}

std::size_t engine_standin::get_cancelled() {
    const std::scoped_lock lock(m_mutex);
    return m_cancelled.size();
}

servers::http_response engine_standin::handle_order(const std::string& body) {
    const boost::json::value root = json::parse(body);
    const boost::json::object& order = root.as_object();
    const std::uint64_t fence = json::get_unsigned(order, "fence");
    const std::string key = json::get_string(order, "idempotency_key");
    const std::scoped_lock lock(m_mutex);
    if (m_options.checks_fencing && fence < m_newest_fence) {
        return make_json_response(409, R"({"error":"old fencing number"})");
    }
    m_newest_fence = std::max(m_newest_fence, fence);
    const bool is_new = m_applied_orders.try_emplace(key, body).second;
    if (is_new && json::get_string(order, "kind") == "role") {
        m_role = json::get_string(order, "role");
        m_cached_prompts.clear();
    }
    return make_json_response(200, boost::json::serialize(boost::json::object{{"applied", key}, {"role", m_role}}));
}

servers::http_response engine_standin::report_load() {
    const std::scoped_lock lock(m_mutex);
    return make_json_response(200, boost::json::serialize(boost::json::object{
                                       {"running", m_running.load()}, {"role", m_role}, {"model", m_options.model}}));
}

bool engine_standin::is_cached(const std::string& prompt) {
    const std::scoped_lock lock(m_mutex);
    if (m_cached_prompts.size() >= cached_prompt_limit) {
        m_cached_prompts.clear();
    }
    return !m_cached_prompts.insert(prompt).second;
}

std::chrono::microseconds engine_standin::scale_by_load(std::chrono::microseconds time) const {
    const std::uint64_t batches = (m_running + m_options.full_speed_requests - 1) / m_options.full_speed_requests;
    return time * std::max<std::uint64_t>(batches, 1);
}

} // namespace dragonflywell::standin
