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

/// One part of a prompt. Requests share parts; an engine that holds a part and all before it need not read it again.
struct prompt_part {
    std::uint64_t id{};
    std::uint32_t tokens{};

    friend bool operator==(const prompt_part&, const prompt_part&) = default;
};

/// What a request asks a model for.
struct generation_parameters {
    model_name model;
    std::uint32_t prompt_tokens{};
    /// Most tokens of the answer.
    std::uint32_t max_output_tokens{};
    /// The caller's estimate of the answer's tokens; nothing where it gives none.
    std::optional<std::uint32_t> expected_output_tokens;
    /// In order of the prompt.
    std::vector<prompt_part> parts;
};

/// A caller's request, decoded from the dialect that the caller speaks.
struct caller_request {
    /// Names the request in logs and at the backend server.
    std::string id;
    http::verb method{http::verb::get};
    /// Path and query, as the caller sent them.
    std::string target;
    /// Lower case, without port.
    std::string host;
    /// Empty where the request carries none.
    std::string key;
    /// How long the caller waits, where it says so.
    std::optional<duration> caller_timeout;
    std::optional<generation_parameters> generation;
    /// The last event of a broken stream that the caller has; empty where it asks for a whole one.
    std::string last_event_id;
    /// Headers that go on to a backend server, in order.
    std::vector<std::pair<std::string, std::string>> forwarded_headers;
    std::string body;

    /// Returns the target without its query.
    [[nodiscard]] std::string_view get_path() const noexcept {
        const std::string_view all = target;
        return all.substr(0, all.find('?'));
    }
};

} // namespace dragonflywell::servers
