#pragma once

#include <functional>
#include <optional>

#include "coordination/order_dispatcher.hpp"
#include "core/endpoint.hpp"
#include "platform/engine_control.hpp"

namespace dragonflywell::daemon {

inline constexpr std::string_view role_order_kind = "role";

/// Returns the subject under which the order ledger serializes the orders to an engine.
[[nodiscard]] std::string get_engine_subject(const backend_server_name& engine);

/// Sends role orders to engines. Not thread safe.
class engine_order_receiver final : public coordination::order_receiver {
public:
    /// Returns the address of an engine, or nothing when it is no longer in the manifest.
    using address_lookup = std::function<std::optional<endpoint>(const backend_server_name&)>;

    /// Precondition: `engines` outlives the receiver.
    engine_order_receiver(platform::engine_control& engines, address_lookup find_address);

    coordination::order_reply send(const coordination::order& value, const coordination::fencing_token& token,
                                   duration deadline) override;

    /// Returns whether the engine has the ordered role. Engines cannot be queried by idempotency key; but an engine did
    /// not have the ordered role when the order was created, so it has applied the order when it has the role now.
    coordination::order_query_result query(const coordination::order& value) override;

private:
    platform::engine_control* m_engines;
    address_lookup m_find_address;
};

} // namespace dragonflywell::daemon
