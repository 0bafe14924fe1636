#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "core/clock.hpp"
#include "core/identifiers.hpp"
#include "servers/http_types.hpp"

namespace dragonflywell::servers {

/// One part of a prompt. Requests may share parts; an engine that has a part and all parts before it in its cache does
/// not prefill them again.
struct prompt_part {
    std::uint64_t id{};
    std::uint32_t tokens{};

    friend bool operator==(const prompt_part&, const prompt_part&) = default;
};

/// Parameters of a generation.
struct generation_parameters {
    model_name model;
    std::uint32_t prompt_tokens{};
    /// Maximum number of tokens in the response.
    std::uint32_t max_output_tokens{};
    /// Estimate by the caller of the number of tokens in the response, if it gives one.
    std::optional<std::uint32_t> expected_output_tokens;
    /// In the order of the prompt.
    std::vector<prompt_part> parts;
};

/// A caller's request, decoded from the protocol of the caller.
struct caller_request {
    /// Identifies the request in logs and at the backend server.
    std::string id;
    http::verb method{http::verb::get};
    /// Path and query as sent by the caller.
    std::string target;
    /// Lower case, without port.
    std::string host;
    /// API key; empty when the request has none.
    std::string key;
    /// How long the caller is willing to wait, if the request says so.
    std::optional<duration> caller_timeout;
    std::optional<generation_parameters> generation;
    /// Id of the last event that the caller received from an interrupted stream; empty for a new stream.
    std::string last_event_id;
    /// Headers to forward to the backend server, in order.
    std::vector<std::pair<std::string, std::string>> forwarded_headers;
    std::string body;

    /// Returns the target without its query.
    [[nodiscard]] std::string_view get_path() const noexcept {
        const std::string_view all = target;
        return all.substr(0, all.find('?'));
    }
};

} // namespace dragonflywell::servers
