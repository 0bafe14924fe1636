#include "daemon/engine_order_receiver.hpp"

#include "core/error.hpp"
#include "core/json.hpp"
#include "daemon/role_change_fold.hpp"

namespace dragonflywell::daemon {

namespace {

constexpr std::string_view subject_prefix = "engine/";

backend_server_name get_engine_name(const std::string& subject) {
    return backend_server_name(subject.substr(subject_prefix.size()));
}

} // namespace

std::string get_engine_subject(const backend_server_name& engine) {
    return std::string(subject_prefix) + engine.value();
}

engine_order_receiver::engine_order_receiver(platform::engine_control& engines, address_lookup find_address)
    : m_engines(&engines), m_find_address(std::move(find_address)) {}

coordination::order_reply engine_order_receiver::send(const coordination::order& value,
                                                      const coordination::fencing_token& token, duration deadline) {
    const std::optional<endpoint> address = m_find_address(get_engine_name(value.subject));
    if (!address) {
        return coordination::order_reply::rejected;
    }
    try {
        const platform::role_change_order order{.role = parse_engine_role(json::get_string(value.body, "role")),
                                                .fencing_number = token.number,
                                                .idempotency_key = value.idempotency_key};
        switch (m_engines->send(*address, order, deadline)) {
        case platform::role_change_result::applied:
            return coordination::order_reply::applied;
        case platform::role_change_result::stale_fencing_number:
            return coordination::order_reply::stale_fencing_number;
        case platform::role_change_result::rejected:
            return coordination::order_reply::rejected;
        }
    } catch (const platform::engine_unreachable_error& fault) {
        return fault.is_sent() ? coordination::order_reply::unknown : coordination::order_reply::rejected;
    } catch (const malformed_message_error&) {
        return coordination::order_reply::rejected;
    }
    return coordination::order_reply::unknown;
}

coordination::order_query_result engine_order_receiver::query(const coordination::order& value) {
    const std::optional<endpoint> address = m_find_address(get_engine_name(value.subject));
    if (!address) {
        return coordination::order_query_result::unknown;
    }
    try {
        const fleet::engine_role wanted = parse_engine_role(json::get_string(value.body, "role"));
        return m_engines->get_load(*address).role == wanted ? coordination::order_query_result::applied
                                                            : coordination::order_query_result::not_seen;
    } catch (const platform::engine_unreachable_error&) {
        return coordination::order_query_result::unknown;
    } catch (const malformed_message_error&) {
        return coordination::order_query_result::unknown;
    }
}

} // namespace dragonflywell::daemon
