#include "coordination/claim.hpp"

#include <charconv>
#include <fmt/format.h>
#include <initializer_list>

#include "core/error.hpp"
#include "core/hash.hpp"
#include "core/json.hpp"

namespace dragonflywell::coordination {

namespace {

constexpr std::size_t word_digits = 16;
constexpr int hexadecimal = 16;
constexpr std::size_t longest_content_type = 100;

std::uint64_t parse_word(std::string_view digits) {
    std::uint64_t word = 0;
    const char* const end = digits.data() + digits.size();
    const auto [position, fault] = std::from_chars(digits.data(), end, word, hexadecimal);
    if (fault != std::errc() || position != end) {
        throw malformed_message_error("claim identifier is not hexadecimal");
    }
    return word;
}

/// Joins texts so that no two different lists give the same result.
std::string join_unambiguously(std::initializer_list<std::string_view> texts) {
    std::string joined;
    for (const std::string_view text : texts) {
        joined += fmt::format("{}:{}", text.size(), text);
    }
    return joined;
}

/// Returns whether the text can be a JSON string, which must be UTF-8.
bool is_text(std::string_view text) {
    try {
        static_cast<void>(json::parse(boost::json::serialize(boost::json::value(text))));
        return true;
    } catch (const malformed_message_error&) {
        return false;
    }
}

} // namespace

claim_id make_claim_id(const organisation_name& organisation, std::string_view idempotency_key) {
    const std::string digest = get_sha256_hex(join_unambiguously({organisation.value(), idempotency_key}));
    return parse_claim_id(std::string_view(digest).substr(0, 2 * word_digits));
}

std::string format_claim_id(const claim_id& id) {
    return fmt::format("{:016x}{:016x}", id.high, id.low);
}

claim_id parse_claim_id(std::string_view text) {
    if (text.size() != 2 * word_digits) {
        throw malformed_message_error("claim identifier has not 32 digits");
    }
    return {.high = parse_word(text.substr(0, word_digits)), .low = parse_word(text.substr(word_digits))};
}

std::uint64_t get_request_digest(std::string_view method, std::string_view target, std::string_view body) {
    const std::string digest = get_sha256_hex(join_unambiguously({method, target, body}));
    return parse_word(std::string_view(digest).substr(0, word_digits));
}

recorded_response make_recorded_response(unsigned status, std::string_view content_type, std::string_view body,
                                         std::size_t limit_bytes) {
    recorded_response answer{.status = status, .content_type = {}, .body = {}};
    if (body.size() <= limit_bytes && content_type.size() <= longest_content_type && is_text(body) &&
        is_text(content_type)) {
        answer.content_type = content_type;
        answer.body = std::string(body);
    }
    return answer;
}

} // namespace dragonflywell::coordination
