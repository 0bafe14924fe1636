#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/folded_stream.hpp"
#include "core/identifiers.hpp"

namespace dragonflywell::coordination {

inline constexpr std::string_view usage_stream = "usage";
inline constexpr std::string_view usage_counters_type = "usage.counters";

/// Number of a billing window: wall time divided by the window's length.
using window_number = std::uint64_t;

/// What one organisation used, as a sum that only grows.
struct usage_totals {
    std::uint64_t requests{};
    std::uint64_t prompt_tokens{};
    std::uint64_t completion_tokens{};

    usage_totals& operator+=(const usage_totals& other) noexcept;
    friend bool operator==(const usage_totals&, const usage_totals&) = default;
};

/// Returns the larger figure of each kind. Merging is idempotent, so copies and duplicates do no harm.
[[nodiscard]] usage_totals merge_usage_totals(const usage_totals& left, const usage_totals& right) noexcept;

/// Whose use in which window.
struct usage_key {
    organisation_name organisation;
    window_number window{};
    /// The earlier window that the use belongs to, when that one was closed already.
    std::optional<window_number> late_from{};

    friend auto operator<=>(const usage_key&, const usage_key&) = default;
};

using usage_table = std::map<usage_key, usage_totals>;

/// Cumulative counters of this incarnation. Thread safe.
class usage_meter {
public:
    void add(const usage_key& key, const usage_totals& amount);

    /// Returns the counters that changed since the last call that succeeded, with their cumulative values.
    [[nodiscard]] usage_table get_unflushed() const;

    /// Marks the figures as written to the log. Counters that have grown since stay unflushed.
    void mark_flushed(const usage_table& written);

    [[nodiscard]] usage_table get_all() const;

    /// Returns what this incarnation has counted for one organisation and window.
    [[nodiscard]] usage_totals get(const usage_key& key) const;

    /// Adds nothing to this window and those before it from now on: later use of them goes, marked as late, into the
    /// window after it.
    void close(window_number through);

    /// Forgets the counters of closed windows. Precondition: the log holds all of them and the close.
    void forget(window_number through);

private:
    mutable std::mutex m_mutex;
    std::optional<window_number> m_closed_through;
    usage_table m_counters;
    usage_table m_flushed;
};

/// Cumulative counters of one incarnation, as one record carries them.
struct usage_report_part {
    writer_id owner;
    usage_table counters;
    /// Set when the owner has closed this window and those before it, with these counters as the last.
    std::optional<window_number> closed_through;
};

/// Returns the log record that carries cumulative counters of one incarnation.
[[nodiscard]] record_draft make_usage_record(const writer_id& owner, const usage_table& counters,
                                             std::optional<window_number> closed_through = {});

/// Throws `malformed_message_error`.
[[nodiscard]] usage_report_part parse_usage_record(const boost::json::object& body);

/// Folds the counters of all incarnations. Not thread safe.
class usage_fold final : public record_observer {
public:
    void on_record(log_offset offset, const record& value) override;

    /// Returns the sum over all incarnations.
    [[nodiscard]] usage_table get_totals() const;

private:
    std::map<writer_id, usage_table> m_counters;
};

} // namespace dragonflywell::coordination
