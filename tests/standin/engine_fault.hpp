#pragma once

#include <cstdint>

namespace dragonflywell::standin {

/// Faults that an engine's response can have.
enum class engine_fault_kind {
    none,
    /// The engine closes the connection, and the stream cannot be resumed.
    disconnect,
    /// The engine crashes: it closes the connection and its listener.
    crash,
    /// The engine sends nothing more on the connection. The stream can be resumed over another connection.
    hang,
    /// An event is not valid JSON.
    malformed_event,
    /// An event has the id of another stream.
    wrong_stream,
    /// A token is sent twice.
    duplicate_token,
    /// A token is left out.
    missing_token,
    /// More tokens are sent than were requested.
    extra_tokens,
    /// The engine responds with status 422.
    reject,
    /// The engine responds with status 503.
    busy,
};

struct engine_fault {
    engine_fault_kind kind{engine_fault_kind::none};
    /// Number of tokens that are generated before the fault occurs.
    std::uint64_t after_tokens{};
    /// Number of responses that have the fault.
    std::uint64_t count{1};
};

} // namespace dragonflywell::standin
