#pragma once

#include <boost/json.hpp>
#include <cstdint>
#include <string>

#include "core/identifiers.hpp"
#include "policy/quarantine.hpp"
#include "servers/http_types.hpp"

namespace dragonflywell::servers {

/// Which of the two completion APIs a request uses.
enum class completion_shape { chat, text };

/// A caller's validated request to a model.
struct model_request {
    completion_shape shape{};
    model_name model;
    bool is_streaming{false};
    std::uint64_t max_tokens{};
    std::uint64_t estimated_prompt_tokens{};
    /// Hash of the body, the same each time that the body is sent.
    policy::request_fingerprint fingerprint{};
    /// The document that is sent to an engine; it always requests a stream.
    boost::json::object document;
};

/// Parses a request. Throws `request_refused` with the missing or invalid field. Thread safe.
[[nodiscard]] model_request parse_model_request(const http_request& request);

} // namespace dragonflywell::servers
