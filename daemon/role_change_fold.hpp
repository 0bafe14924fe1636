#pragma once

#include <map>
#include <string>

#include "coordination/folded_stream.hpp"
#include "core/identifiers.hpp"
#include "fleet/backend_server.hpp"

namespace dragonflywell::daemon {

/// A role change that the holder of a zone's lease has announced and not yet ended.
struct role_change {
    backend_server_name engine;
    fleet::engine_role from{fleet::engine_role::mixed};
    fleet::engine_role to{fleet::engine_role::mixed};
    /// Offset of the announcement; identifies the change.
    coordination::log_offset announced{};
    /// Whether the engine has confirmed the order; it may still be loading.
    bool is_confirmed{false};

    friend bool operator==(const role_change&, const role_change&) = default;
};

inline constexpr std::string_view role_change_announced_type = "role.announced";
inline constexpr std::string_view role_change_confirmed_type = "role.confirmed";
inline constexpr std::string_view role_change_ended_type = "role.ended";

/// Return drafts of the three records of a role change. Thread safe.
[[nodiscard]] coordination::record_draft make_announcement(const role_change& change,
                                                           const coordination::fencing_token& token);
[[nodiscard]] coordination::record_draft make_confirmation(const role_change& change,
                                                           const coordination::fencing_token& token);
[[nodiscard]] coordination::record_draft make_end(const role_change& change, const coordination::fencing_token& token,
                                                  std::string_view reason);

/// Parses the name of a role. Throws `malformed_message_error`. Thread safe.
[[nodiscard]] fleet::engine_role parse_engine_role(std::string_view name);

/// Folds a zone's control stream into the role changes in progress, by engine. Not thread safe.
class role_change_fold final : public coordination::snapshot_observer {
public:
    void on_record(coordination::log_offset offset, const coordination::record& value) override;

    [[nodiscard]] std::string_view get_state_name() const override { return "role_changes"; }
    [[nodiscard]] boost::json::value save_state() const override;
    void restore_state(const boost::json::value& state) override;

    [[nodiscard]] const std::map<backend_server_name, role_change>& get_all() const noexcept { return m_changes; }

private:
    std::map<backend_server_name, role_change> m_changes;
};

} // namespace dragonflywell::daemon
