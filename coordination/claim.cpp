#include "coordination/claim.hpp"

#include <charconv>
#include <fmt/format.h>
#include <initializer_list>

#include "core/error.hpp"
#include "core/hash.hpp"
#include "core/json.hpp"

namespace dragonflywell::coordination {

namespace {

constexpr std::size_t digits_per_word = 16;
constexpr int hexadecimal = 16;
constexpr std::size_t max_content_type_bytes = 100;

std::uint64_t parse_word(std::string_view digits) {
    std::uint64_t word = 0;
    const char* const end = digits.data() + digits.size();
    const auto [position, fault] = std::from_chars(digits.data(), end, word, hexadecimal);
    if (fault != std::errc() || position != end) {
        throw malformed_message_error("claim identifier must consist of hexadecimal digits");
    }
    return word;
}

/// Concatenates texts, each with its length in front, so that different lists never give the same result.
std::string join_with_lengths(std::initializer_list<std::string_view> texts) {
    std::string joined;
    for (const std::string_view text : texts) {
        joined += fmt::format("{}:{}", text.size(), text);
    }
    return joined;
}

/// Returns whether the text is valid UTF-8, so that it can be stored as a JSON string.
bool is_valid_utf8(std::string_view text) {
    try {
        static_cast<void>(json::parse(boost::json::serialize(boost::json::value(text))));
        return true;
    } catch (const malformed_message_error&) {
        return false;
    }
}

} // namespace

claim_id make_claim_id(const organisation_name& organisation, std::string_view idempotency_key) {
    const std::string digest = get_sha256_hex(join_with_lengths({organisation.value(), idempotency_key}));
    return parse_claim_id(std::string_view(digest).substr(0, 2 * digits_per_word));
}

std::string format_claim_id(const claim_id& id) {
    return fmt::format("{:016x}{:016x}", id.high, id.low);
}

claim_id parse_claim_id(std::string_view text) {
    if (text.size() != 2 * digits_per_word) {
        throw malformed_message_error("claim identifier must have 32 digits");
    }
    return {.high = parse_word(text.substr(0, digits_per_word)), .low = parse_word(text.substr(digits_per_word))};
}

std::uint64_t get_request_digest(std::string_view method, std::string_view target, std::string_view body) {
    const std::string digest = get_sha256_hex(join_with_lengths({method, target, body}));
    return parse_word(std::string_view(digest).substr(0, digits_per_word));
}

recorded_response make_recorded_response(unsigned status, std::string_view content_type, std::string_view body,
                                         std::size_t limit_bytes) {
    recorded_response answer{.status = status, .content_type = {}, .body = {}};
    if (body.size() <= limit_bytes && content_type.size() <= max_content_type_bytes && is_valid_utf8(body) &&
        is_valid_utf8(content_type)) {
        answer.content_type = content_type;
        answer.body = std::string(body);
    }
    return answer;
}

} // namespace dragonflywell::coordination
