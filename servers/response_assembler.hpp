#pragma once

#include <cstdint>
#include <string>

#include "core/error.hpp"
#include "servers/event_stream_parser.hpp"
#include "servers/model_request.hpp"

namespace dragonflywell::servers {

/// An event that carries the stream id of another request.
class mismatched_response_error : public error {
public:
    using error::error;
};

/// What is to be done with an event of an engine.
enum class event_action {
    /// It goes to the caller.
    forward,
    /// The caller has it already, or it lies beyond what was asked for.
    drop,
    /// It ends the answer, which is whole.
    end,
};

/// Puts the answer to one request together from the events of one or several attempts, by position. Not thread safe.
class response_assembler {
public:
    response_assembler(completion_shape shape, std::uint64_t max_tokens) noexcept
        : m_shape(shape), m_most_tokens(max_tokens) {}

    /// Starts an attempt; events that carry a stream id must carry this one.
    void start_attempt(std::string stream_id) { m_stream_id = std::move(stream_id); }

    /// Checks an event and takes up what it adds.
    /// Throws `malformed_message_error` for what is no event or leaves a position out, `mismatched_response_error` for
    /// an event of another request; the answer so far stays as it was.
    [[nodiscard]] event_action add(const server_sent_event& event);

    [[nodiscard]] const std::string& get_text() const noexcept { return m_text; }
    [[nodiscard]] std::uint64_t get_tokens() const noexcept { return m_tokens; }
    [[nodiscard]] std::uint64_t get_prompt_tokens() const noexcept { return m_prompt_tokens; }
    [[nodiscard]] bool is_complete() const noexcept { return m_is_complete; }

    /// Returns the answer as one document. Precondition: `is_complete()`.
    [[nodiscard]] std::string make_document(const model_name& model) const;

private:
    [[nodiscard]] event_action add_chunk(const server_sent_event& event, const boost::json::object& chunk);
    [[nodiscard]] event_action end();
    void check_stream(const boost::json::object& chunk) const;

    completion_shape m_shape;
    std::uint64_t m_most_tokens;
    std::string m_stream_id;
    std::string m_text;
    std::uint64_t m_tokens{0};
    std::uint64_t m_prompt_tokens{0};
    std::string m_finish_reason;
    bool m_is_complete{false};
};

} // namespace dragonflywell::servers
