#pragma once

#include <cstdint>

namespace dragonflywell::standin {

/// How an engine's answer goes wrong.
enum class engine_fault_kind {
    none,
    /// The connection ends and the stream is lost.
    disconnect,
    /// The engine dies: the connection ends and no other one is taken.
    crash,
    /// The connection stays silent; the stream can be resumed over another.
    hang,
    /// An event is no JSON.
    malformed_event,
    /// An event belongs to another stream.
    wrong_stream,
    /// A token comes twice.
    duplicate_token,
    /// A token is left out.
    missing_token,
    /// More tokens come than were asked for.
    extra_tokens,
    /// The request is answered with status 422.
    reject,
    /// The request is answered with status 503.
    busy,
};

struct engine_fault {
    engine_fault_kind kind{engine_fault_kind::none};
    /// Tokens that are generated before it shows.
    std::uint64_t after_tokens{};
    /// How many answers it concerns.
    std::uint64_t count{1};
};

} // namespace dragonflywell::standin
