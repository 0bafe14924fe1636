#pragma once

#include <cstdint>

namespace dragonflywell::standin {

/// How an engine's answer goes wrong.
enum class engine_fault_kind {
    none,
    /// The connection ends and the stream is lost.
    break_off,
    /// The engine dies: the connection ends and no other one is taken.
    die,
    /// The connection stays silent; the stream can be resumed over another.
    silent,
    /// An event is no JSON.
    garbage,
    /// An event belongs to another stream.
    crossed,
    /// A token comes twice.
    repeated,
    /// A token is left out.
    gap,
    /// More tokens come than were asked for.
    overrun,
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
