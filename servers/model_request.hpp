#pragma once

#include <boost/json.hpp>
#include <cstdint>
#include <string>

#include "core/identifiers.hpp"
#include "policy/quarantine.hpp"
#include "servers/http_types.hpp"

namespace dragonflywell::servers {

/// Which of the two shapes that model callers use a request has.
enum class completion_shape { chat, text };

/// A caller's request to a model, checked.
struct model_request {
    completion_shape shape{};
    model_name model;
    bool is_streaming{false};
    std::uint64_t max_tokens{};
    std::uint64_t estimated_prompt_tokens{};
    /// The same for each sending of the same body.
    policy::request_fingerprint fingerprint{};
    /// The caller's document as it goes to an engine, always asking for a stream.
    boost::json::object document;
};

/// Throws `request_refused` that names the missing or wrong field. Thread safe.
[[nodiscard]] model_request parse_model_request(const http_request& request);

} // namespace dragonflywell::servers
