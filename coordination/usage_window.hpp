#pragma once

#include <limits>
#include <map>
#include <optional>
#include <vector>

#include "coordination/usage.hpp"

namespace dragonflywell::coordination {

inline constexpr std::string_view usage_seal_type = "usage.seal";
/// Subject of all seals, so that each names the one before it.
inline constexpr std::string_view usage_seal_subject = "usage/seal";
/// Subject of the orders that report windows, so that one report is on its way at a time.
inline constexpr std::string_view usage_report_subject = "usage/report";

/// Written as the last closed window by an incarnation that ends gracefully.
inline constexpr window_number closed_for_good = std::numeric_limits<window_number>::max();

/// One line of a report.
struct usage_line {
    organisation_name organisation;
    /// The earlier window that the use belongs to, when it came too late for the report of that one.
    std::optional<window_number> late_from;
    usage_totals figures;

    friend bool operator==(const usage_line&, const usage_line&) = default;
};

/// What is reported of one window.
struct window_report {
    window_number window{};
    std::vector<usage_line> lines;

    friend bool operator==(const window_report&, const window_report&) = default;
};

[[nodiscard]] boost::json::object encode_window_report(const window_report& report);

/// Returns the key under which a window is reported, whoever reports it.
[[nodiscard]] std::string get_report_key(window_number window);

/// Returns the record that seals a window and names incarnations that are gone for good, whose counters are final.
/// Precondition: the writer holds the lease that `token` stands for.
[[nodiscard]] record_draft make_seal_record(window_number window, const std::vector<writer_id>& gone,
                                            const fencing_token& token, std::optional<log_offset> previous_seal);

/// Pure function of the usage stream: which use belongs to which report.
///
/// The seal of a window takes all use up to that window which no earlier seal took; what comes later goes into the next
/// one as a late line. So every unit of use is in exactly one report, whatever fails and whoever reports, and every
/// reader finds the same figures. Keeps what is not reported yet, and the counters of incarnations that have not closed
/// their windows. Not thread safe.
class usage_window_fold final : public record_observer {
public:
    void on_record(log_offset offset, const record& value) override;

    /// Returns the oldest sealed window that is not reported, or null. Valid until the next record.
    [[nodiscard]] const window_report* get_unreported() const;

    /// Returns the next window with anything to report, or nothing.
    [[nodiscard]] std::optional<window_number> get_next_window() const;

    /// Returns the incarnations with counters that may still add use to the window.
    [[nodiscard]] std::vector<writer_id> get_open_owners(window_number window) const;

    /// Returns how many counters are kept.
    [[nodiscard]] std::size_t get_size() const noexcept;

private:
    struct owner_counters {
        usage_table counted;
        /// The part of `counted` that seals have taken.
        usage_table taken;
        /// Nothing is added to this window and those before it.
        std::optional<window_number> closed_through;
    };

    void apply_counters(const record& value);
    void apply_seal(const record& value);
    void apply_outcome(const record& value);
    void forget_settled(owner_counters& owner) const;

    std::map<writer_id, owner_counters> m_owners;
    std::optional<window_number> m_last_sealed;
    std::map<window_number, window_report> m_unreported;
    /// Windows of the intents to report, by offset.
    std::map<log_offset, window_number> m_intents;
};

} // namespace dragonflywell::coordination
