#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "core/clock.hpp"
#include "core/endpoint.hpp"
#include "core/identifiers.hpp"
#include "servers/caller_request.hpp"
#include "servers/exchange_history.hpp"
#include "servers/http_types.hpp"

namespace dragonflywell::servers {

/// Where an engine can fetch the KV cache of a prompt that another engine has prefilled.
struct kv_cache_source {
    backend_server_name server;
    endpoint engine;
    std::string handle;
};

/// One attempt to send a request to a backend server.
struct dispatch {
    backend_server_name server;
    endpoint address;
    /// Time left until the deadline of the request.
    duration time_left{};
    /// Empty for a public route.
    organisation_name organisation;
    /// The engine only prefills the prompt; another engine generates from its KV cache.
    bool is_prefill_only{false};
    std::optional<kv_cache_source> kv_cache;
    /// An engine from whose prefix cache the beginning of the prompt is fetched before the prefill.
    std::optional<endpoint> prefix_source;
    /// Scheduling priority at the server, 0 (first) to 9 (last); without a value the server decides.
    std::optional<std::uint32_t> urgency;
    /// Id of the last event that the caller has received; empty when it has none.
    std::string last_event_id;
};

/// Meaning of the header of a response.
enum class response_kind : std::uint8_t {
    /// The server ran the request, with or without success; the response goes to the caller.
    answered,
    /// The server has not run the request and will not: it is full, or the deadline has passed.
    not_run,
    /// Another server than the intended one responded, and the request was not run.
    wrong_server,
    /// The response does not show whether the request ran, and must not go to the caller.
    invalid,
};

/// What a server says of itself in the header of a response.
struct server_notice {
    /// The server is about to leave and wants no further requests.
    bool is_leaving{false};
    /// The server refused the request and named a time for which it wants none from this host.
    bool asks_for_pause{false};
    /// That time; nothing if it is no number of seconds.
    std::optional<duration> pause;
    /// The server names how many requests a second it takes from all hosts together.
    bool names_limit{false};
    /// That number; nothing if it is no number. It may be out of range.
    std::optional<double> limit;
    /// The response belongs to a request, whether the server ran it or not. Only then, the server would have named a
    /// limit if it had one.
    bool is_of_request{false};
};

/// The KV cache of a prompt as announced by the engine that prefilled it.
struct kv_cache_info {
    std::string handle;
    std::uint64_t tokens{};
};

/// Encodes requests to backend servers and decodes their responses. Thread safe.
class backend_codec {
public:
    backend_codec() = default;
    backend_codec(const backend_codec&) = delete;
    backend_codec& operator=(const backend_codec&) = delete;
    backend_codec(backend_codec&&) = delete;
    backend_codec& operator=(backend_codec&&) = delete;
    virtual ~backend_codec() = default;

    /// Returns the HTTP request that is sent to the server.
    [[nodiscard]] virtual http_request make_request(const caller_request& request, const dispatch& attempt) const = 0;

    /// Returns to which request a response belongs. The result refers to the header.
    [[nodiscard]] virtual response_owner find_owner(const http::response_header<>& head) const = 0;

    /// Classifies a response. Precondition: it belongs to the request.
    [[nodiscard]] virtual response_kind classify(const http::response_header<>& head) const = 0;

    /// Decodes what the server says of itself.
    [[nodiscard]] virtual server_notice decode_notice(const http::response_header<>& head) const = 0;

    /// Decodes the response to a prefill-only dispatch. Throws `malformed_message_error`.
    [[nodiscard]] virtual kv_cache_info decode_prefill_response(std::string_view body) const = 0;

    /// Returns the request that releases the KV cache of a prompt.
    [[nodiscard]] virtual http_request make_release_request(const kv_cache_source& kv_cache) const = 0;
};

} // namespace dragonflywell::servers
