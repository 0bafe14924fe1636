#include "fleet/manifest_entry_reader.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <fmt/ranges.h>

#include "core/json.hpp"

namespace dragonflywell::fleet {

manifest_entry_reader::manifest_entry_reader(std::string path, std::string_view text,
                                             std::vector<input_problem>& problems)
    : m_path(std::move(path)), m_problems(&problems) {
    try {
        const boost::json::value value = json::parse(text);
        m_object = json::as_object(value, "entry");
    } catch (const malformed_message_error& fault) {
        add_problem(fault.what());
    }
}

bool manifest_entry_reader::has(std::string_view key) const {
    return m_object->contains(key);
}

std::string manifest_entry_reader::get_string(std::string_view key) {
    const boost::json::value* value = find(key);
    if (value == nullptr) {
        add_problem(fmt::format("{} is missing", key));
        return "";
    }
    if (!value->is_string() || value->get_string().empty()) {
        add_problem(fmt::format("{} must be a non-empty string", key));
        return "";
    }
    return std::string(value->get_string());
}

std::string manifest_entry_reader::get_choice(std::string_view key, const std::vector<std::string>& choices,
                                              std::string_view fallback) {
    if (find(key) == nullptr) {
        return std::string(fallback);
    }
    std::string value = get_string(key);
    if (!value.empty() && std::find(choices.begin(), choices.end(), value) == choices.end()) {
        add_problem(fmt::format("{} is \"{}\", permitted are {}", key, value, fmt::join(choices, ", ")));
    }
    return value;
}

std::uint64_t manifest_entry_reader::get_unsigned(std::string_view key, std::uint64_t min, std::uint64_t max,
                                                  std::optional<std::uint64_t> fallback) {
    const boost::json::value* value = find(key);
    if (value == nullptr) {
        if (!fallback) {
            add_problem(fmt::format("{} is missing", key));
        }
        return fallback.value_or(min);
    }
    boost::json::error_code fault;
    const auto number = value->to_number<std::uint64_t>(fault);
    if (fault || number < min || number > max) {
        add_problem(fmt::format("{} must be a whole number from {} to {}", key, min, max));
        return min;
    }
    return number;
}

bool manifest_entry_reader::get_bool(std::string_view key, bool fallback) {
    const boost::json::value* value = find(key);
    if (value == nullptr) {
        return fallback;
    }
    if (!value->is_bool()) {
        add_problem(fmt::format("{} must be true or false", key));
        return fallback;
    }
    return value->get_bool();
}

std::vector<std::string> manifest_entry_reader::get_strings(std::string_view key) {
    const boost::json::value* value = find(key);
    std::vector<std::string> texts;
    if (value == nullptr || !value->is_array()) {
        add_problem(fmt::format("{} must be a list of strings", key));
        return texts;
    }
    for (const boost::json::value& item : value->get_array()) {
        if (!item.is_string()) {
            add_problem(fmt::format("{} must be a list of strings", key));
            return texts;
        }
        texts.emplace_back(item.get_string());
    }
    return texts;
}

void manifest_entry_reader::add_problem(std::string message) {
    m_problems->push_back({.location = m_path, .message = std::move(message)});
}

void manifest_entry_reader::finish() {
    for (const auto& [key, value] : *m_object) {
        if (!m_read_keys.contains(std::string_view(key))) {
            add_problem(fmt::format("{} is not a known key", std::string_view(key)));
        }
    }
}

const boost::json::value* manifest_entry_reader::find(std::string_view key) {
    m_read_keys.emplace(key);
    return m_object->if_contains(key);
}

} // namespace dragonflywell::fleet
