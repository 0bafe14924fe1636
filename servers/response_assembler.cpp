#include "servers/response_assembler.hpp"

#include <charconv>
#include <fmt/format.h>
#include <optional>

#include "core/json.hpp"

namespace dragonflywell::servers {

namespace {

constexpr std::string_view end_of_stream = "[DONE]";

std::string get_added_text(const boost::json::object& choice, completion_shape shape) {
    if (shape == completion_shape::text) {
        return json::get_string_or(choice, "text", "");
    }
    const boost::json::value* delta = choice.if_contains("delta");
    if (delta == nullptr) {
        return "";
    }
    const boost::json::object& object = json::as_object(*delta, "delta");
    const boost::json::value* content = object.if_contains("content");
    return content == nullptr || content->is_null() ? "" : json::get_string(object, "content");
}

std::string get_finish_reason(const boost::json::object& choice) {
    const boost::json::value* reason = choice.if_contains("finish_reason");
    return reason != nullptr && reason->is_string() ? std::string(reason->get_string()) : "";
}

/// Returns the token position in the id of the event, or nothing when the event has no id.
std::optional<std::uint64_t> get_position(const std::string& id) {
    if (id.empty()) {
        return std::nullopt;
    }
    std::uint64_t position = 0;
    const char* end = id.data() + id.size();
    const auto [parsed, fault] = std::from_chars(id.data(), end, position);
    if (fault != std::errc{} || parsed != end) {
        throw malformed_message_error(fmt::format("event id \"{}\" is not a token position", id));
    }
    return position;
}

} // namespace

event_action response_assembler::add(const server_sent_event& event) {
    if (m_is_complete) {
        return event_action::drop;
    }
    if (event.data == end_of_stream) {
        return end();
    }
    const boost::json::value document = json::parse(event.data);
    const boost::json::object& chunk = json::as_object(document, "engine event");
    check_stream_id(chunk);
    return add_chunk(event, chunk);
}

event_action response_assembler::add_chunk(const server_sent_event& event, const boost::json::object& chunk) {
    const boost::json::value* usage = chunk.if_contains("usage");
    std::uint64_t prompt_tokens = m_prompt_tokens;
    if (prompt_tokens == 0 && usage != nullptr && usage->is_object()) {
        prompt_tokens = json::get_unsigned(usage->get_object(), "prompt_tokens");
    }
    const boost::json::array& choices = json::get_array(chunk, "choices");
    if (choices.empty()) {
        m_prompt_tokens = prompt_tokens;
        return event_action::forward;
    }
    const boost::json::object& choice = json::as_object(choices.front(), "choice");
    const std::string added = get_added_text(choice, m_shape);
    const std::optional<std::uint64_t> position = get_position(event.id);
    const bool is_token = position.has_value() || !added.empty();
    if (position.value_or(m_tokens) > m_tokens) {
        throw malformed_message_error(
            fmt::format("event for position {} arrived, but the next expected position is {}", *position, m_tokens));
    }
    const bool is_duplicate = position.value_or(m_tokens) < m_tokens;
    const bool is_excess = is_token && m_tokens >= m_max_tokens;
    if (is_duplicate || is_excess) {
        return event_action::drop;
    }
    m_prompt_tokens = prompt_tokens;
    m_text += added;
    m_tokens += is_token ? 1 : 0;
    if (std::string reason = get_finish_reason(choice); !reason.empty()) {
        m_finish_reason = std::move(reason);
    }
    return event_action::forward;
}

event_action response_assembler::end() {
    if (m_finish_reason.empty() && m_tokens < m_max_tokens) {
        throw malformed_message_error(
            "engine ended the stream without a finish reason before the requested number of tokens");
    }
    if (m_finish_reason.empty()) {
        m_finish_reason = "length";
    }
    m_is_complete = true;
    return event_action::end;
}

void response_assembler::check_stream_id(const boost::json::object& chunk) const {
    const std::string id = json::get_string_or(chunk, "id", m_stream_id);
    // Engines add a prefix such as "cmpl-" to the id that they receive.
    if (!id.ends_with(m_stream_id)) {
        throw mismatched_response_error(
            fmt::format("event of stream \"{}\" arrived on stream \"{}\"", id, m_stream_id));
    }
}

std::string response_assembler::make_document(const model_name& model) const {
    const bool is_chat = m_shape == completion_shape::chat;
    boost::json::object choice{{"index", 0}, {"finish_reason", m_finish_reason}};
    if (is_chat) {
        choice["message"] = {{"role", "assistant"}, {"content", m_text}};
    } else {
        choice["text"] = m_text;
    }
    boost::json::object document{{"id", m_stream_id},
                                 {"object", is_chat ? "chat.completion" : "text_completion"},
                                 {"model", model.value()},
                                 {"choices", boost::json::array{std::move(choice)}}};
    document["usage"] = {{"prompt_tokens", m_prompt_tokens},
                         {"completion_tokens", m_tokens},
                         {"total_tokens", m_prompt_tokens + m_tokens}};
    return boost::json::serialize(document);
}

} // namespace dragonflywell::servers
