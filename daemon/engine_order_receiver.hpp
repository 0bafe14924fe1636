#pragma once

#include <functional>
#include <optional>

#include "coordination/order_dispatcher.hpp"
#include "core/endpoint.hpp"
#include "platform/engine_control.hpp"

namespace dragonflywell::daemon {

inline constexpr std::string_view role_order_kind = "role";

/// Returns the subject that orders to an engine compete for.
[[nodiscard]] std::string get_engine_subject(const backend_server_name& engine);

/// Gives role orders to engines. Not thread safe.
class engine_order_receiver final : public coordination::order_receiver {
public:
    /// Returns the address of an engine, or nothing when the manifest has it no more.
    using address_lookup = std::function<std::optional<endpoint>(const backend_server_name&)>;

    /// Precondition: `engines` outlives the receiver.
    engine_order_receiver(platform::engine_control& engines, address_lookup find_address);

    coordination::order_reply send(const coordination::order& value, const coordination::fencing_token& token,
                                   duration deadline) override;

    /// Engines do not tell what they hold under a key; an engine in the ordered role, which it was not in when the
    /// order was made, has taken it.
    coordination::order_query_result query(const coordination::order& value) override;

private:
    platform::engine_control* m_engines;
    address_lookup m_find_address;
};

} // namespace dragonflywell::daemon
