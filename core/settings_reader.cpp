#include "core/settings_reader.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <fmt/ranges.h>

namespace dragonflywell {

settings_reader::settings_reader(std::string_view text, std::string file) : m_file(std::move(file)) {
    try {
        m_table = toml::parse(text, m_file);
    } catch (const toml::parse_error& fault) {
        throw invalid_input_error({{.location = fmt::format("{}:{}", m_file, fault.source().begin.line),
                                    .message = std::string(fault.description())}});
    }
}

std::string settings_reader::get_string(const std::string& key, std::optional<std::string> fallback) {
    const toml::node* node = find(key);
    if (node == nullptr) {
        require(key, fallback.has_value());
        return fallback.value_or("");
    }
    if (!node->is_string()) {
        add_problem(key, "must be a string");
        return "";
    }
    return node->as_string()->get();
}

std::int64_t settings_reader::get_integer(const std::string& key, integer_range range,
                                          std::optional<std::int64_t> fallback) {
    const toml::node* node = find(key);
    if (node == nullptr) {
        require(key, fallback.has_value());
        return fallback.value_or(range.min);
    }
    if (!node->is_integer()) {
        add_problem(key, fmt::format("must be an integer from {} to {}", range.min, range.max));
        return range.min;
    }
    const std::int64_t value = node->as_integer()->get();
    if (value < range.min || value > range.max) {
        add_problem(key, fmt::format("is {}, permitted are {} to {}", value, range.min, range.max));
    }
    return value;
}

double settings_reader::get_number(const std::string& key, number_range range, std::optional<double> fallback) {
    const toml::node* node = find(key);
    if (node == nullptr) {
        require(key, fallback.has_value());
        return fallback.value_or(range.min);
    }
    const std::optional<double> value = node->value<double>();
    if (!value || node->is_boolean()) {
        add_problem(key, fmt::format("must be a number from {} to {}", range.min, range.max));
        return range.min;
    }
    if (!(*value >= range.min && *value <= range.max)) {
        add_problem(key, fmt::format("is {}, permitted are {} to {}", *value, range.min, range.max));
    }
    return *value;
}

bool settings_reader::get_boolean(const std::string& key, std::optional<bool> fallback) {
    const toml::node* node = find(key);
    if (node == nullptr) {
        require(key, fallback.has_value());
        return fallback.value_or(false);
    }
    if (!node->is_boolean()) {
        add_problem(key, "must be true or false");
        return false;
    }
    return node->as_boolean()->get();
}

std::string settings_reader::get_choice(const std::string& key, const std::vector<std::string>& choices,
                                        std::optional<std::string> fallback) {
    std::string value = get_string(key, std::move(fallback));
    const bool is_permitted = std::find(choices.begin(), choices.end(), value) != choices.end();
    if (!is_permitted && !value.empty()) {
        add_problem(key, fmt::format("is \"{}\", permitted are {}", value, fmt::join(choices, ", ")));
    }
    return value;
}

std::vector<std::string> settings_reader::get_strings(const std::string& key) {
    const toml::node* node = find(key);
    std::vector<std::string> values;
    if (node == nullptr) {
        return values;
    }
    const toml::array* array = node->as_array();
    if (array == nullptr ||
        !std::all_of(array->begin(), array->end(), [](const auto& item) { return item.is_string(); })) {
        add_problem(key, "must be a list of strings");
        return values;
    }
    for (const toml::node& item : *array) {
        values.push_back(item.as_string()->get());
    }
    return values;
}

void settings_reader::add_problem(const std::string& key, std::string message) {
    const toml::node* node = m_table.at_path(key).node();
    m_problems.push_back({.location = get_place(node), .message = key + " " + std::move(message)});
}

void settings_reader::finish() {
    find_unknown_keys(m_table, "");
    if (!m_problems.empty()) {
        throw invalid_input_error(m_problems);
    }
}

const toml::node* settings_reader::find(const std::string& key) {
    m_known.insert(key);
    return m_table.at_path(key).node();
}

void settings_reader::require(const std::string& key, bool has_fallback) {
    if (!has_fallback) {
        add_problem(key, "is missing");
    }
}

void settings_reader::find_unknown_keys(const toml::table& table, const std::string& prefix) {
    for (const auto& [name, node] : table) {
        const std::string key = prefix + std::string(name.str());
        if (const toml::table* inner = node.as_table(); inner != nullptr && !m_known.contains(key)) {
            find_unknown_keys(*inner, key + ".");
        } else if (!m_known.contains(key)) {
            m_problems.push_back({.location = get_place(&node), .message = key + " is not a known key"});
        }
    }
}

std::string settings_reader::get_place(const toml::node* node) const {
    return node == nullptr ? m_file : fmt::format("{}:{}", m_file, node->source().begin.line);
}

} // namespace dragonflywell
