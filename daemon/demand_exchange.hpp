#pragma once

#include <optional>
#include <vector>

#include "coordination/append_log.hpp"
#include "policy/demand_report.hpp"

namespace dragonflywell::daemon {

inline constexpr std::string_view demand_stream = "demand";

/// Exchanges demand reports between entry hosts through a stream of the log. Hosts read it from their own start on,
/// never from its beginning.
///
/// Lost and duplicate reports do no harm: the estimator replaces duplicates and fills gaps. Not thread safe.
class demand_exchange {
public:
    /// Precondition: `log` outlives the exchange.
    explicit demand_exchange(coordination::append_log& log) : m_log(&log) {}

    /// Appends a report. Throws `log_unavailable_error`.
    void publish(const policy::demand_report& report);

    /// Returns the reports of all hosts since the last call; the first call only finds the end of the stream.
    /// Throws `log_unavailable_error`.
    [[nodiscard]] std::vector<policy::demand_report> fetch();

private:
    coordination::append_log* m_log;
    std::optional<coordination::log_offset> m_next;
};

} // namespace dragonflywell::daemon
