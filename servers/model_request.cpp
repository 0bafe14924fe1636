#include "servers/model_request.hpp"

#include "core/error.hpp"
#include "core/hash.hpp"
#include "core/json.hpp"
#include "servers/request_refused.hpp"

namespace dragonflywell::servers {

namespace {

constexpr std::uint64_t default_max_tokens = 256;
constexpr std::uint64_t max_permitted_tokens = 1000000;
constexpr std::uint64_t bytes_per_prompt_token = 4;

void require_prompt(const boost::json::object& document, completion_shape shape) {
    if (shape == completion_shape::text) {
        static_cast<void>(json::get_string(document, "prompt"));
        return;
    }
    if (json::get_array(document, "messages").empty()) {
        throw malformed_message_error("key \"messages\" must not be empty");
    }
}

model_request parse(const http_request& request) {
    const boost::json::value root = json::parse(request.body());
    model_request result;
    result.shape = request.target().starts_with("/v1/chat/") ? completion_shape::chat : completion_shape::text;
    result.document = json::as_object(root, "request");
    result.model = model_name(json::get_string(result.document, "model"));
    require_prompt(result.document, result.shape);
    result.is_streaming = json::get_bool_or(result.document, "stream", false);
    result.max_tokens = json::get_unsigned_or(result.document, "max_tokens", default_max_tokens);
    if (result.max_tokens == 0 || result.max_tokens > max_permitted_tokens) {
        throw malformed_message_error("key \"max_tokens\" must be from 1 to 1000000");
    }
    result.estimated_prompt_tokens = request.body().size() / bytes_per_prompt_token + 1;
    result.fingerprint = get_stable_hash(request.body());
    result.document["max_tokens"] = result.max_tokens;
    result.document["stream"] = true;
    return result;
}

} // namespace

model_request parse_model_request(const http_request& request) {
    try {
        return parse(request);
    } catch (const malformed_message_error& fault) {
        throw request_refused(policy::refusal_reason::malformed_request, policy::request_outcome::not_run,
                              fault.what());
    }
}

} // namespace dragonflywell::servers
