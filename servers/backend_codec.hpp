#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "core/clock.hpp"
#include "core/endpoint.hpp"
#include "core/identifiers.hpp"
#include "servers/caller_request.hpp"
#include "servers/http_types.hpp"

namespace dragonflywell::servers {

/// Where an engine finds the memory of a prompt that another one has read.
struct kv_cache_source {
    endpoint engine;
    std::string handle;
};

/// One sending of a call to a backend server.
struct dispatch {
    backend_server_name server;
    endpoint address;
    /// What is left of the caller's time.
    duration time_left{};
    /// Empty for a public route.
    organisation_name organisation;
    /// The prompt is only read, for another engine to generate from.
    bool is_prefill_only{false};
    std::optional<kv_cache_source> kv_cache;
    /// An engine from whose cache the beginning of the prompt is fetched before it is read.
    std::optional<endpoint> fetch_from;
    /// 0 is first, 9 last. Nothing leaves it to the server.
    std::optional<std::uint32_t> urgency;
    /// The last event that the caller has; empty where it has none.
    std::string last_event_id;
};

/// What the head of an answer says.
enum class response_kind : std::uint8_t {
    /// The server ran the request, to a good end or not; its answer is for the caller.
    answered,
    /// The server ran nothing and never will: it is full, or the time was up.
    not_run,
    /// The server that answers is not the one that was meant. Nothing was run.
    wrong_server,
    /// Says nothing of whether the request ran, and is not an answer for the caller.
    invalid,
};

/// The memory of a prompt, as the engine that read it announces it.
struct kv_cache_info {
    std::string handle;
    std::uint64_t tokens{};
};

/// How calls are written to backend servers, and how their answers are read. Thread safe.
class backend_codec {
public:
    backend_codec() = default;
    backend_codec(const backend_codec&) = delete;
    backend_codec& operator=(const backend_codec&) = delete;
    backend_codec(backend_codec&&) = delete;
    backend_codec& operator=(backend_codec&&) = delete;
    virtual ~backend_codec() = default;

    /// Returns the request as it goes to the server.
    [[nodiscard]] virtual http_request make_request(const caller_request& request, const dispatch& sending) const = 0;

    /// Returns whether an answer belongs to this request rather than to an earlier one of the same connection.
    [[nodiscard]] virtual bool is_response_to(const caller_request& request,
                                              const http::response_header<>& head) const = 0;

    /// Classifies an answer. Precondition: `is_response_to`.
    [[nodiscard]] virtual response_kind classify(const http::response_header<>& head) const = 0;

    /// Reads the answer to a dispatch that only reads the prompt. Throws `malformed_message_error`.
    [[nodiscard]] virtual kv_cache_info decode_prefill_response(std::string_view body) const = 0;

    /// Returns the request that frees the memory of a prompt.
    [[nodiscard]] virtual http_request make_release_request(const kv_cache_source& memory) const = 0;
};

} // namespace dragonflywell::servers
