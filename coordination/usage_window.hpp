#pragma once

#include <limits>
#include <map>
#include <optional>
#include <vector>

#include "coordination/usage.hpp"

namespace dragonflywell::coordination {

inline constexpr std::string_view usage_seal_type = "usage.seal";
/// Subject of all seal records, so that each one supersedes the previous one.
inline constexpr std::string_view usage_seal_subject = "usage/seal";
/// Subject of the orders that report windows, so that only one report is in flight at a time.
inline constexpr std::string_view usage_report_subject = "usage/report";

/// Written as the last closed window by an incarnation that stops gracefully: all its windows are closed.
inline constexpr window_number all_windows_closed = std::numeric_limits<window_number>::max();

/// One line of a usage report.
struct usage_line {
    organisation_name organisation;
    /// The earlier window to which the usage belongs, if it came too late for the report of that window.
    std::optional<window_number> late_from;
    usage_totals totals;

    friend bool operator==(const usage_line&, const usage_line&) = default;
};

/// The usage report of one window.
struct window_report {
    window_number window{};
    std::vector<usage_line> lines;

    friend bool operator==(const window_report&, const window_report&) = default;
};

[[nodiscard]] boost::json::object encode_window_report(const window_report& report);

/// Returns the idempotency key of the report of a window; it is the same for every reporter.
[[nodiscard]] std::string get_report_key(window_number window);

/// Returns the record that seals a window and lists terminated incarnations, whose counters are final.
/// Precondition: the writer holds the lease to which `token` belongs.
[[nodiscard]] record_draft make_seal_record(window_number window, const std::vector<writer_id>& terminated,
                                            const fencing_token& token, std::optional<log_offset> previous_seal);

/// Folds the usage stream into reports: decides which usage belongs to which report.
///
/// The seal of a window takes all usage up to that window that no earlier seal has taken; usage that arrives later goes
/// into the next report as a late line. Every unit of usage is therefore in exactly one report, whatever fails and
/// whichever process reports, and every reader computes the same report. The fold keeps the usage that is not reported
/// yet and the counters of incarnations that have not closed their windows. Not thread safe.
class usage_window_fold final : public record_observer {
public:
    void on_record(log_offset offset, const record& value) override;

    /// Returns the report of the oldest sealed window that is not reported yet, or null. The pointer is valid until the
    /// next record.
    [[nodiscard]] const window_report* get_unreported() const;

    /// Returns the next window with usage to report, or nothing.
    [[nodiscard]] std::optional<window_number> get_next_window() const;

    /// Returns the incarnations that may still add usage to the window.
    [[nodiscard]] std::vector<writer_id> get_open_owners(window_number window) const;

    /// Returns the number of stored counters.
    [[nodiscard]] std::size_t get_size() const noexcept;

private:
    struct owner_counters {
        usage_table counted;
        /// The part of `counted` that seals have already taken.
        usage_table taken;
        /// The owner adds no usage to this window and all earlier ones.
        std::optional<window_number> closed_through;
    };

    void apply_counters(const record& value);
    void apply_seal(const record& value);
    void apply_outcome(const record& value);
    void drop_settled_counters(owner_counters& owner) const;

    std::map<writer_id, owner_counters> m_owners;
    std::optional<window_number> m_last_sealed;
    std::map<window_number, window_report> m_unreported;
    /// The windows that the intents of report orders refer to, by offset of the intent.
    std::map<log_offset, window_number> m_intents;
};

} // namespace dragonflywell::coordination
