#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/folded_stream.hpp"

namespace dragonflywell::coordination {

inline constexpr std::string_view configuration_stream = "configuration";
inline constexpr std::string_view configuration_subject = "configuration";
inline constexpr std::string_view configuration_delta_type = "configuration.delta";

/// One version of the configuration: entries by path, such as "models/ionosphere". Each value is a JSON text.
struct configuration {
    /// Offset of the delta that produced this version; absent before the first delta.
    std::optional<log_offset> version;
    std::map<std::string, std::string> entries;

    friend bool operator==(const configuration&, const configuration&) = default;
};

/// Difference between two sets of entries.
struct configuration_delta {
    /// Added and changed entries.
    std::map<std::string, std::string> set;
    /// Paths of removed entries.
    std::vector<std::string> removed;

    [[nodiscard]] bool empty() const noexcept { return set.empty() && removed.empty(); }
    friend bool operator==(const configuration_delta&, const configuration_delta&) = default;
};

/// Returns the delta that turns `from` into `to`.
[[nodiscard]] configuration_delta get_difference(const std::map<std::string, std::string>& from,
                                                 const std::map<std::string, std::string>& to);

/// Thrown if another operator published first. The refused delta has no effect.
class configuration_conflict_error : public error {
public:
    using error::error;
};

/// Folds the deltas into the current configuration. Versions only grow. Not thread safe.
class configuration_fold final : public snapshot_observer {
public:
    void on_record(log_offset offset, const record& value) override;
    [[nodiscard]] std::string_view get_state_name() const override { return "configuration"; }
    [[nodiscard]] boost::json::value save_state() const override;
    void restore_state(const boost::json::value& state) override;

    /// Returns the current configuration. The value is immutable and may be shared with other threads.
    [[nodiscard]] const std::shared_ptr<const configuration>& get() const noexcept { return m_current; }

private:
    std::shared_ptr<const configuration> m_current = std::make_shared<configuration>();
};

/// Publishes a delta on top of `base_version` and returns the new version.
/// Throws `configuration_conflict_error` if another delta was published first, and `log_unavailable_error` if the
/// outcome is unknown. Precondition: the caller owns `stream`, which folds the configuration stream.
log_offset publish_configuration(folded_stream& stream, const configuration_delta& delta,
                                 std::optional<log_offset> base_version);

} // namespace dragonflywell::coordination
