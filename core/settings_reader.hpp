#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <toml++/toml.h>

#include "core/error.hpp"

namespace dragonflywell {

/// Inclusive range of a number in a settings file.
struct integer_range {
    std::int64_t min{};
    std::int64_t max{};
};

/// Inclusive range of a number that may have a fraction.
struct number_range {
    double min{};
    double max{};
};

/// Reads a TOML file and reports values of the wrong type or out of range, missing keys and unknown keys.
///
/// Problems are collected, so that one run reports all of them. Not thread safe.
class settings_reader {
public:
    /// Throws `invalid_input_error` when the text is not valid TOML. `file` is used in messages only.
    settings_reader(std::string_view text, std::string file);

    /// Each getter returns the value, or the fallback when the key is missing. A key without a fallback is required.
    /// After a problem the returned value must not be used.
    [[nodiscard]] std::string get_string(const std::string& key, std::optional<std::string> fallback = std::nullopt);
    [[nodiscard]] std::int64_t get_integer(const std::string& key, integer_range range,
                                           std::optional<std::int64_t> fallback = std::nullopt);
    /// Accepts integers, too.
    [[nodiscard]] double get_number(const std::string& key, number_range range,
                                    std::optional<double> fallback = std::nullopt);
    [[nodiscard]] bool get_boolean(const std::string& key, std::optional<bool> fallback = std::nullopt);
    [[nodiscard]] std::string get_choice(const std::string& key, const std::vector<std::string>& choices,
                                         std::optional<std::string> fallback = std::nullopt);
    [[nodiscard]] std::vector<std::string> get_strings(const std::string& key);

    /// Records a problem that the calling code found in the value of `key`.
    void add_problem(const std::string& key, std::string message);

    /// Throws `invalid_input_error` when there are problems, or keys that no getter has read. Call it after all
    /// getters.
    void finish();

private:
    [[nodiscard]] const toml::node* find(const std::string& key);
    void require(const std::string& key, bool has_fallback);
    void find_unknown_keys(const toml::table& table, const std::string& prefix);
    [[nodiscard]] std::string get_place(const toml::node* node) const;

    std::string m_file;
    toml::table m_table;
    std::set<std::string> m_known;
    std::vector<input_problem> m_problems;
};

} // namespace dragonflywell
