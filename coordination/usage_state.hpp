#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/identifiers.hpp"

namespace dragonflywell::coordination {

/// Number of a billing window.
using usage_window_number = std::int64_t;
using usage_counts = std::map<organisation_name, std::uint64_t>;

/// The usage counters of one incarnation of a host for its newest windows. A later record replaces an earlier one.
struct usage_record {
    std::map<usage_window_number, usage_counts> windows;
    /// The newest window that is complete. The counters of it and of all earlier windows do not change any more.
    usage_window_number closed{};

    friend bool operator==(const usage_record&, const usage_record&) = default;
};

[[nodiscard]] std::string encode_usage_record(const usage_record& record);
/// Throws `malformed_message_error`.
[[nodiscard]] usage_record decode_usage_record(std::string_view text);

/// The usage of one window as it is reported, whichever host reports it.
struct window_usage {
    usage_window_number window{};
    usage_counts counts;

    friend bool operator==(const window_usage&, const window_usage&) = default;
};

/// The state of reporting to the platform. The host that reports writes the usage of a window here before it sends the
/// report, so that every repetition and every later reporter sends the same numbers.
struct report_state {
    /// The newest window whose usage was written here.
    std::optional<usage_window_number> last;
    /// Usage of windows whose report is not confirmed yet, oldest first.
    std::vector<window_usage> pending;
    /// Era of the store in which the state was written. In a later era, newer states may be lost.
    std::uint64_t era{};
    /// The newest window whose usage was already in the state that this one replaces.
    std::optional<usage_window_number> settled;

    friend bool operator==(const report_state&, const report_state&) = default;
};

[[nodiscard]] std::string encode_report_state(const report_state& state);
/// Throws `malformed_message_error`.
[[nodiscard]] report_state decode_report_state(std::string_view text);

/// Return the key under which an incarnation of a host stores its usage, and the key under which another host stores a
/// copy of it.
[[nodiscard]] std::string make_usage_key(std::string_view host, std::uint64_t incarnation);
[[nodiscard]] std::string make_usage_copy_key(std::string_view host, std::uint64_t incarnation);
/// Returns the part of such a key that identifies the incarnation of the host.
[[nodiscard]] std::string_view get_usage_owner(std::string_view key);

/// Merges two records of the same incarnation. Counters only grow, so the greater value is the later one.
[[nodiscard]] usage_record merge_usage_records(const usage_record& left, const usage_record& right);

/// Adds up the usage of one window over all records.
[[nodiscard]] window_usage sum_window(const std::vector<usage_record>& records, usage_window_number window);

} // namespace dragonflywell::coordination
