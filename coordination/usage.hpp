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

/// Number of a billing window: the wall time since the epoch divided by the length of a window.
using window_number = std::uint64_t;

/// The usage of one organisation as cumulative counters, which only grow.
struct usage_totals {
    std::uint64_t requests{};
    std::uint64_t prompt_tokens{};
    std::uint64_t completion_tokens{};

    usage_totals& operator+=(const usage_totals& other) noexcept;
    friend bool operator==(const usage_totals&, const usage_totals&) = default;
};

/// Returns the maximum of each counter. Merging is idempotent, so copies and duplicates do no harm.
[[nodiscard]] usage_totals merge_usage_totals(const usage_totals& left, const usage_totals& right) noexcept;

/// Identifies a counter by organisation and window.
struct usage_key {
    organisation_name organisation;
    window_number window{};
    /// The earlier window to which the usage belongs, if that window was already closed.
    std::optional<window_number> late_from{};

    friend auto operator<=>(const usage_key&, const usage_key&) = default;
};

using usage_table = std::map<usage_key, usage_totals>;

/// The cumulative usage counters of this incarnation of the process. Thread safe.
class usage_meter {
public:
    /// Adds `amount` to the counter, or to the oldest open window if the window of `key` is closed.
    void add(const usage_key& key, const usage_totals& amount);

    /// Returns the counters that differ from those last marked as flushed, with their cumulative values.
    [[nodiscard]] usage_table get_unflushed() const;

    /// Marks the given values as written to the log. Counters that have grown since then stay unflushed.
    void mark_flushed(const usage_table& written);

    [[nodiscard]] usage_table get_all() const;

    /// Returns the counters of this incarnation for one organisation and window.
    [[nodiscard]] usage_totals get(const usage_key& key) const;

    /// Closes this window and all earlier ones: later usage of them is counted in the window after `through` and marked
    /// as late.
    void close(window_number through);

    /// Drops the counters of the windows up to `through`. Precondition: they are closed, and the log has their last
    /// counters and the record that closes them.
    void forget(window_number through);

private:
    mutable std::mutex m_mutex;
    std::optional<window_number> m_closed_through;
    usage_table m_counters;
    usage_table m_flushed;
};

/// The cumulative counters of one incarnation that one record carries.
struct usage_counters_record {
    writer_id owner;
    usage_table counters;
    /// Set if the owner has closed this window and all earlier ones; their counters in this record are then final.
    std::optional<window_number> closed_through;
};

/// Returns the log record that carries cumulative counters of one incarnation.
[[nodiscard]] record_draft make_usage_record(const writer_id& owner, const usage_table& counters,
                                             std::optional<window_number> closed_through = {});

/// Throws `malformed_message_error`.
[[nodiscard]] usage_counters_record parse_usage_record(const boost::json::object& body);

/// Folds the usage counters of all incarnations. Not thread safe.
class usage_fold final : public record_observer {
public:
    void on_record(log_offset offset, const record& value) override;

    /// Returns the sum over all incarnations.
    [[nodiscard]] usage_table get_totals() const;

private:
    std::map<writer_id, usage_table> m_counters;
};

} // namespace dragonflywell::coordination
