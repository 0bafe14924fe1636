#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "coordination/folded_stream.hpp"
#include "core/identifiers.hpp"

namespace dragonflywell::fleet {

/// The requests of one organisation and how many of them were completed.
struct request_counts {
    std::uint64_t requested{};
    std::uint64_t completed{};

    friend bool operator==(const request_counts&, const request_counts&) = default;
};

/// Service within one time span, by one host or summed over hosts.
struct service_counts {
    std::map<organisation_name, request_counts> organisations;
    std::map<std::string, std::uint64_t> refusals;
    std::uint64_t delivered_tokens{};
    /// Cost of the backend servers that ran, in thousandths of the operators' currency. The holder of a zone's lease
    /// reports it for its zone.
    std::uint64_t spend_milli{};

    friend bool operator==(const service_counts&, const service_counts&) = default;
};

/// Adds `part` to `sum`.
void add_counts(service_counts& sum, const service_counts& part);

/// Returns the fraction of requests that were completed, or 1 if there were none.
[[nodiscard]] double get_goodput(const service_counts& counts);

/// Returns the lowest goodput of any organisation that has at least `min_requests` requests.
[[nodiscard]] double get_worst_goodput(const service_counts& counts, std::uint64_t min_requests);

/// Stream and type of the records in which each host reports its service.
inline constexpr std::string_view history_stream = "history";
inline constexpr std::string_view history_record_type = "history.figures";

/// Returns the record in which one host reports its service since its previous report. Thread safe.
[[nodiscard]] coordination::record_draft make_history_draft(std::uint64_t second, const service_counts& counts);

/// Sums the reports of all hosts: in spans of five minutes for a day, and of an hour for 90 days.
///
/// The state outlives the log's retention in snapshots. Not thread safe.
class service_history final : public coordination::snapshot_observer {
public:
    static constexpr std::uint64_t fine_seconds = 300;
    static constexpr std::uint64_t hour_seconds = 3600;

    /// Service by the start of its span, in seconds since the epoch.
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
