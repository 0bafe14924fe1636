#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <vector>

#include "core/clock.hpp"

namespace dragonflywell::policy {

struct caller_limiter_options {
    /// What the requests of all callers may make the process hold. The default is no limit.
    std::size_t budget_bytes{std::numeric_limits<std::size_t>::max()};
    std::size_t max_connections{std::numeric_limits<std::size_t>::max()};
    /// Whether a running request may make way for a new connection. Only where its run has no effect.
    bool may_close_running{false};
};

/// Time until which a body must have arrived. A caller may be slow for as long as its request has, and at least for the
/// time of a header, since a link that loses packets stands still for seconds. `own_time` is counted from the head.
[[nodiscard]] steady_time get_body_deadline(steady_time head_began_at, duration header_time,
                                            std::optional<duration> own_time);

/// Time until which a caller must have read a complete response: the time for a piece, and what a link with a tenth of
/// the smallest host's capacity needs. A caller that reads a byte now and then does not hold a response for ever.
[[nodiscard]] steady_time get_response_deadline(steady_time began_at, duration piece_time, std::size_t bytes);

/// Knows what each connection of a caller makes the process hold and decides which connections are closed when memory
/// or descriptors run short. Used on one event loop.
///
/// Complete requests are never closed, unless the options say so. Of the others, those that hold much come before small
/// ones, those that have stopped growing before others, then of the large ones the slowest, then the oldest.
class caller_limiter {
public:
    using connection_id = std::uint64_t;

    /// A connection that is closed counts as nothing from the decision on.
    struct decision {
        bool is_admitted{true};
        std::vector<connection_id> to_close;
    };

    /// What each connection holds besides its buffers: its socket, its timers and the frames of its coroutines.
    static constexpr std::size_t connection_bytes = 8UL * 1024;
    /// A request that holds no more than this is small.
    static constexpr std::size_t small_request_bytes = 64UL * 1024;
    /// A request that has not grown for this long has stopped growing. Ordinary callers send a request at once; one
    /// that loses a packet continues after 0.2 to 0.4 s.
    static constexpr duration stall_time = std::chrono::milliseconds(500);

    explicit caller_limiter(caller_limiter_options options) : m_options(options) {}

    /// Adds a connection that waits for its first request. It is not added if it is not admitted.
    [[nodiscard]] decision add(connection_id id, steady_time now);
    void remove(connection_id id);

    /// A request has begun with its first byte.
    void begin_request(connection_id id, steady_time now);
    /// The request has received that many bytes so far, and makes the process hold `held_bytes`. If it is not admitted,
    /// nothing has changed and the request must be refused.
    [[nodiscard]] decision resize(connection_id id, std::size_t received_bytes, std::size_t held_bytes,
                                  steady_time now);
    /// The request is complete and makes the process hold `held_bytes` while it runs.
    [[nodiscard]] decision begin_run(connection_id id, std::size_t held_bytes, steady_time now);
    /// The request has ended; the connection waits for the next one.
    void begin_idle(connection_id id, steady_time now);

    [[nodiscard]] std::size_t get_held_bytes() const noexcept { return m_held_bytes; }
    [[nodiscard]] std::size_t get_connections() const noexcept { return m_connections.size(); }

private:
    enum class phase : std::uint8_t { idle, receiving, running };

    struct connection {
        phase state{phase::idle};
        steady_time began_at{};
        steady_time grew_at{};
        std::size_t received_bytes{0};
        std::size_t held_bytes{connection_bytes};

        [[nodiscard]] bool is_small() const noexcept { return held_bytes <= small_request_bytes + connection_bytes; }
    };
    using connection_map = std::map<connection_id, connection>;

    [[nodiscard]] decision make_room(connection_map::iterator own, std::size_t held_bytes, steady_time now);
    /// Returns the connections that may be closed, the first to be closed first.
    [[nodiscard]] std::vector<connection_map::iterator> rank_for_memory(connection_id own, steady_time now);
    [[nodiscard]] bool is_only_large(connection_id own) const;
    void close(connection_map::iterator chosen, decision& decided);

    caller_limiter_options m_options;
    connection_map m_connections;
    std::size_t m_held_bytes{0};
};

} // namespace dragonflywell::policy
