#pragma once

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "coordination/append_log.hpp"

namespace dragonflywell::coordination {

/// Identifies one run of a process: a restarted or replaced host gets a new incarnation.
struct writer_id {
    std::string host;
    std::uint64_t incarnation{};

    friend auto operator<=>(const writer_id&, const writer_id&) = default;
};

/// Proof of authority: the offset of the record that acquired the lease of `scope`.
struct fencing_token {
    std::string scope;
    log_offset number{};

    friend auto operator<=>(const fencing_token&, const fencing_token&) = default;
};

/// Compare-and-swap on a subject: the record is valid only if `supersedes` is the offset of the newest valid record of
/// the subject.
struct record_condition {
    std::string subject;
    /// Absent if the subject must not have a valid record yet.
    std::optional<log_offset> supersedes;

    friend bool operator==(const record_condition&, const record_condition&) = default;
};

/// One message in the log. The pair of writer and sequence number identifies it, even if it was appended several times.
struct record {
    writer_id writer;
    std::uint64_t sequence{};
    std::optional<record_condition> condition;
    std::optional<fencing_token> fence;
    std::string type;
    boost::json::object body;
};

/// Returns whether encoding and decoding keeps the value unchanged. The JSON library reads fractions with an error in
/// the last digit, so values that must stay identical when they are written again may contain whole numbers only.
/// Thread safe.
[[nodiscard]] bool has_no_fractions(const boost::json::value& value);

/// Thread safe.
[[nodiscard]] std::string encode_record(const record& value);

/// Throws `malformed_message_error`. Thread safe.
[[nodiscard]] record decode_record(std::string_view data);

} // namespace dragonflywell::coordination
