#pragma once

#include <cstdint>
#include <string>

#include "core/error.hpp"
#include "servers/event_stream_parser.hpp"
#include "servers/model_request.hpp"

namespace dragonflywell::servers {

/// Thrown for an event that carries the stream id of another request.
class mismatched_response_error : public error {
public:
    using error::error;
};

/// What to do with an event of an engine.
enum class event_action {
    /// Forward it to the caller.
    forward,
    /// Drop it: the caller already has it, or it exceeds the requested number of tokens.
    drop,
    /// It ends the response, which is complete.
    end,
};

/// Assembles the response to one request from the events of one or several attempts, by token position. Not thread
/// safe.
class response_assembler {
public:
    response_assembler(completion_shape shape, std::uint64_t max_tokens) noexcept
        : m_shape(shape), m_max_tokens(max_tokens) {}

    /// Starts an attempt. Events that carry a stream id must carry this one.
    void start_attempt(std::string stream_id) { m_stream_id = std::move(stream_id); }

    /// Checks an event and adds its content to the response. Throws `malformed_message_error` for an event that is
    /// malformed or skips a position, and `mismatched_response_error` for an event of another request; the response so
    /// far is unchanged then.
    [[nodiscard]] event_action add(const server_sent_event& event);

    [[nodiscard]] const std::string& get_text() const noexcept { return m_text; }
    [[nodiscard]] std::uint64_t get_tokens() const noexcept { return m_tokens; }
    [[nodiscard]] std::uint64_t get_prompt_tokens() const noexcept { return m_prompt_tokens; }
    [[nodiscard]] bool is_complete() const noexcept { return m_is_complete; }

    /// Returns the response as one JSON document. Precondition: `is_complete()`.
    [[nodiscard]] std::string make_document(const model_name& model) const;

private:
    [[nodiscard]] event_action add_chunk(const server_sent_event& event, const boost::json::object& chunk);
    [[nodiscard]] event_action end();
    void check_stream_id(const boost::json::object& chunk) const;

    completion_shape m_shape;
    std::uint64_t m_max_tokens;
    std::string m_stream_id;
    std::string m_text;
    std::uint64_t m_tokens{0};
    std::uint64_t m_prompt_tokens{0};
    std::string m_finish_reason;
    bool m_is_complete{false};
};

} // namespace dragonflywell::servers
