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

/// One life of a process: a replaced or restarted host gets a new incarnation.
struct writer_id {
    std::string host;
    std::uint64_t incarnation{};

    friend auto operator<=>(const writer_id&, const writer_id&) = default;
};

/// Proof of authority: the offset of the claim that won the lease of `scope`.
struct fencing_token {
    std::string scope;
    log_offset number{};

    friend auto operator<=>(const fencing_token&, const fencing_token&) = default;
};

/// Compare-and-swap on a subject: the record is valid only while `supersedes` is the newest valid offset of it.
struct record_condition {
    std::string subject;
    /// Absent when the subject must not have a valid record yet.
    std::optional<log_offset> supersedes;

    friend bool operator==(const record_condition&, const record_condition&) = default;
};

/// One message in the log. The pair of writer and sequence identifies it, however often it was appended.
struct record {
    writer_id writer;
    std::uint64_t sequence{};
    std::optional<record_condition> condition;
    std::optional<fencing_token> fence;
    std::string type;
    boost::json::object body;
};

/// Returns whether a value survives encoding without change. The JSON library reads fractions with an error in the last
/// digit, so whatever must stay the same however often it is written again holds whole numbers only. Thread safe.
[[nodiscard]] bool has_no_fractions(const boost::json::value& value);

/// Thread safe.
[[nodiscard]] std::string encode_record(const record& value);

/// Throws `malformed_message_error`. Thread safe.
[[nodiscard]] record decode_record(std::string_view data);

} // namespace dragonflywell::coordination
