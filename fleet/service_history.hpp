#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "coordination/folded_stream.hpp"
#include "core/identifiers.hpp"

namespace dragonflywell::fleet {

/// What one organisation asked for and got.
struct request_counts {
    std::uint64_t requested{};
    std::uint64_t completed{};

    friend bool operator==(const request_counts&, const request_counts&) = default;
};

/// Service delivered within one span, by one host or added up.
struct service_counts {
    std::map<organisation_name, request_counts> organisations;
    std::map<std::string, std::uint64_t> refusals;
    std::uint64_t delivered_tokens{};
    /// Price of the backend servers that ran, in thousandths of the operators' currency. The holder of a zone's lease
    /// states it for its zone.
    std::uint64_t spend_milli{};

    friend bool operator==(const service_counts&, const service_counts&) = default;
};

/// Adds the figures of `part`.
void add_counts(service_counts& sum, const service_counts& part);

/// Returns completed requests as a part of those asked for, or 1 when nothing was asked for.
[[nodiscard]] double get_goodput(const service_counts& figures);

/// Returns the goodput of the organisation that fares worst, among those with at least `min_requests` requests.
[[nodiscard]] double get_worst_goodput(const service_counts& figures, std::uint64_t min_requests);

/// Stream and type of the records in which each host states its figures.
inline constexpr std::string_view history_stream = "history";
inline constexpr std::string_view history_record_type = "history.figures";

/// Returns the draft that states one host's figures since its last statement. Thread safe.
[[nodiscard]] coordination::record_draft make_history_draft(std::uint64_t second, const service_counts& figures);

/// Adds the statements of all hosts up, finely for a day and by the hour for a quarter of a year.
///
/// The hours survive the log's retention in snapshots. Not thread safe.
class service_history final : public coordination::snapshot_observer {
public:
    static constexpr std::uint64_t fine_seconds = 300;
    static constexpr std::uint64_t hour_seconds = 3600;

    /// Figures by the second, since the epoch, that their span starts at.
    using series = std::map<std::uint64_t, service_counts>;

    void on_record(coordination::log_offset offset, const coordination::record& value) override;
    [[nodiscard]] std::string_view get_state_name() const override { return "service_history"; }
    [[nodiscard]] boost::json::value save_state() const override;
    void restore_state(const boost::json::value& state) override;

    [[nodiscard]] const series& get_fine() const noexcept { return m_fine; }
    [[nodiscard]] const series& get_hours() const noexcept { return m_hours; }

private:
    series m_fine;
    series m_hours;
};

} // namespace dragonflywell::fleet
