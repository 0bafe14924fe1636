#include "coordination/configuration.hpp"

#include <array>

#include "core/json.hpp"

namespace dragonflywell::coordination {

namespace {

boost::json::object encode_delta(const configuration_delta& delta) {
    boost::json::object set;
    for (const auto& [path, text] : delta.set) {
        set[path] = json::parse(text);
    }
    boost::json::array removed(delta.removed.begin(), delta.removed.end());
    return {{"set", std::move(set)}, {"removed", std::move(removed)}};
}

configuration_delta decode_delta(const boost::json::object& body) {
    configuration_delta delta;
    for (const auto& [path, value] : json::get_object(body, "set")) {
        delta.set[std::string(path)] = boost::json::serialize(value);
    }
    for (const boost::json::value& path : json::get_array(body, "removed")) {
        if (!path.is_string()) {
            throw malformed_message_error("paths in \"removed\" must be strings");
        }
        delta.removed.emplace_back(path.get_string());
    }
    return delta;
}

} // namespace

configuration_delta get_difference(const std::map<std::string, std::string>& from,
                                   const std::map<std::string, std::string>& to) {
    configuration_delta delta;
    for (const auto& [path, text] : to) {
        const auto found = from.find(path);
        if (found == from.end() || found->second != text) {
            delta.set[path] = text;
        }
    }
    for (const auto& [path, text] : from) {
        if (!to.contains(path)) {
            delta.removed.push_back(path);
        }
    }
    return delta;
}

void configuration_fold::on_record(log_offset offset, const record& value) {
    if (value.type != configuration_delta_type || !value.condition ||
        value.condition->subject != configuration_subject) {
        return;
    }
    configuration_delta delta = decode_delta(value.body);
    auto next = std::make_shared<configuration>(*m_current);
    next->version = offset;
    for (const std::string& path : delta.removed) {
        next->entries.erase(path);
    }
    for (auto& [path, text] : delta.set) {
        next->entries[path] = std::move(text);
    }
    m_current = std::move(next);
}

boost::json::value configuration_fold::save_state() const {
    boost::json::object entries;
    for (const auto& [path, text] : m_current->entries) {
        entries[path] = text;
    }
    boost::json::object state{{"entries", std::move(entries)}};
    if (m_current->version) {
        state["version"] = *m_current->version;
    }
    return state;
}

void configuration_fold::restore_state(const boost::json::value& state) {
    const boost::json::object& object = json::as_object(state, "configuration");
    auto restored = std::make_shared<configuration>();
    if (object.contains("version")) {
        restored->version = json::get_unsigned(object, "version");
    }
    const boost::json::object& entries = json::get_object(object, "entries");
    for (const auto& [path, text] : entries) {
        restored->entries[std::string(path)] = json::get_string(entries, path);
    }
    m_current = std::move(restored);
}

log_offset publish_configuration(folded_stream& stream, const configuration_delta& delta,
                                 std::optional<log_offset> base_version) {
    const std::array<record_draft, 1> drafts{{{
        .type = std::string(configuration_delta_type),
        .body = encode_delta(delta),
        .condition = record_condition{.subject = std::string(configuration_subject), .supersedes = base_version},
        .fence = {},
    }}};
    const submit_result result = stream.submit(drafts).front();
    if (result.status != record_status::valid) {
        throw configuration_conflict_error(
            "another operator published a newer configuration first; nothing was published");
    }
    return result.offset;
}

} // namespace dragonflywell::coordination
