#pragma once

#include <optional>
#include <vector>

#include "coordination/append_log.hpp"
#include "policy/demand_report.hpp"

namespace dragonflywell::daemon {

inline constexpr std::string_view demand_stream = "demand";

/// Shares demand reports between entry hosts through a stream of the log that nobody has to read from its beginning.
///
/// A report that is lost or arrives twice does no harm: the estimator replaces repeats and bridges gaps. Not thread
/// safe.
class demand_exchange {
public:
    /// Precondition: `log` outlives the exchange.
    explicit demand_exchange(coordination::append_log& log) : m_log(&log) {}

    /// Throws `log_unavailable_error`.
    void publish(const policy::demand_report& report);

    /// Returns the reports since the last call; the first call only finds the end of the stream.
    /// Throws `log_unavailable_error`.
    [[nodiscard]] std::vector<policy::demand_report> fetch();

private:
    coordination::append_log* m_log;
    std::optional<coordination::log_offset> m_next;
};

} // namespace dragonflywell::daemon
