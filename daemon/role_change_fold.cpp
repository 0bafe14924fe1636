#include "daemon/role_change_fold.hpp"

#include <fmt/format.h>

#include "core/error.hpp"
#include "core/json.hpp"

namespace dragonflywell::daemon {

namespace {

coordination::record_draft make_draft(std::string_view type, boost::json::object body,
                                      const coordination::fencing_token& token) {
    return {.type = std::string(type), .body = std::move(body), .condition = {}, .fence = token};
}

} // namespace

coordination::record_draft make_announcement(const role_change& change, const coordination::fencing_token& token) {
    return make_draft(role_change_announced_type,
                      {{"engine", change.engine.value()},
                       {"from", fleet::get_role_name(change.from)},
                       {"to", fleet::get_role_name(change.to)}},
                      token);
}

coordination::record_draft make_confirmation(const role_change& change, const coordination::fencing_token& token) {
    return make_draft(role_change_confirmed_type, {{"engine", change.engine.value()}, {"announced", change.announced}},
                      token);
}

coordination::record_draft make_end(const role_change& change, const coordination::fencing_token& token,
                                    std::string_view reason) {
    return make_draft(role_change_ended_type,
                      {{"engine", change.engine.value()}, {"announced", change.announced}, {"reason", reason}}, token);
}

fleet::engine_role parse_engine_role(std::string_view name) {
    for (const auto role : {fleet::engine_role::mixed, fleet::engine_role::prefill, fleet::engine_role::decode}) {
        if (name == fleet::get_role_name(role)) {
            return role;
        }
    }
    throw malformed_message_error(fmt::format("role \"{}\" is not known", name));
}

void role_change_fold::on_record(coordination::log_offset offset, const coordination::record& value) {
    if (value.type == role_change_announced_type) {
        role_change change{.engine = backend_server_name(json::get_string(value.body, "engine")),
                           .from = parse_engine_role(json::get_string(value.body, "from")),
                           .to = parse_engine_role(json::get_string(value.body, "to")),
                           .announced = offset};
        m_changes.try_emplace(change.engine, change);
        return;
    }
    if (value.type != role_change_confirmed_type && value.type != role_change_ended_type) {
        return;
    }
    const auto found = m_changes.find(backend_server_name(json::get_string(value.body, "engine")));
    if (found == m_changes.end() || found->second.announced != json::get_unsigned(value.body, "announced")) {
        return;
    }
    if (value.type == role_change_confirmed_type) {
        found->second.is_confirmed = true;
    } else {
        m_changes.erase(found);
    }
}

boost::json::value role_change_fold::save_state() const {
    boost::json::array changes;
    for (const auto& [name, change] : m_changes) {
        changes.push_back({{"engine", name.value()},
                           {"from", fleet::get_role_name(change.from)},
                           {"to", fleet::get_role_name(change.to)},
                           {"announced", change.announced},
                           {"confirmed", change.is_confirmed}});
    }
    return boost::json::object{{"changes", std::move(changes)}};
}

void role_change_fold::restore_state(const boost::json::value& state) {
    std::map<backend_server_name, role_change> changes;
    for (const boost::json::value& item : json::get_array(json::as_object(state, "role changes"), "changes")) {
        const boost::json::object& entry = json::as_object(item, "role change");
        const backend_server_name name(json::get_string(entry, "engine"));
        changes[name] = {.engine = name,
                         .from = parse_engine_role(json::get_string(entry, "from")),
                         .to = parse_engine_role(json::get_string(entry, "to")),
                         .announced = json::get_unsigned(entry, "announced"),
                         .is_confirmed = json::get_bool_or(entry, "confirmed", false)};
    }
    m_changes = std::move(changes);
}

} // namespace dragonflywell::daemon
