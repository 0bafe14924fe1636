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

/// What one life of a host's process has counted in its newest windows. A later record replaces the earlier one.
struct usage_record {
    std::map<usage_window_number, usage_counts> windows;
    /// The newest window that is over and counted to its end; windows up to it do not change any more.
    usage_window_number closed{};

    friend bool operator==(const usage_record&, const usage_record&) = default;
};

[[nodiscard]] std::string encode_usage_record(const usage_record& record);
/// Throws `malformed_message_error`.
[[nodiscard]] usage_record decode_usage_record(std::string_view text);

/// A window's figures as they are reported, by whoever reports them.
struct window_usage {
    usage_window_number window{};
    usage_counts counts;

    friend bool operator==(const window_usage&, const window_usage&) = default;
};

/// What the holders of the duty have fixed: figures are written here before they are reported, so that every resend and
/// every later holder reports the same.
struct report_state {
    /// The newest window whose figures are fixed.
    std::optional<usage_window_number> last;
    /// Figures that are fixed and whose report is not known to have arrived, oldest first.
    std::vector<window_usage> pending;

    friend bool operator==(const report_state&, const report_state&) = default;
};

[[nodiscard]] std::string encode_report_state(const report_state& book);
/// Throws `malformed_message_error`.
[[nodiscard]] report_state decode_report_state(std::string_view text);

/// Returns the key under which a life of a host's process records its usage, and that of a copy by another host.
[[nodiscard]] std::string make_usage_key(std::string_view host, std::uint64_t incarnation);
[[nodiscard]] std::string make_usage_copy_key(std::string_view host, std::uint64_t incarnation);
/// Returns the part of such a key that names the life of the host.
[[nodiscard]] std::string_view get_usage_owner(std::string_view key);

/// Puts two records of the same life of a host together: counts only grow, so that the greater one is the later one.
[[nodiscard]] usage_record merge_usage_records(const usage_record& left, const usage_record& right);

/// Adds up the figures of one window over lives of hosts.
[[nodiscard]] window_usage sum_window(const std::vector<usage_record>& records, usage_window_number window);

} // namespace dragonflywell::coordination
