#pragma once

#include <boost/json.hpp>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "core/error.hpp"

namespace dragonflywell::fleet {

/// Reads one entry of a manifest and reports each problem together with the entry's path. Not thread safe.
class manifest_entry_reader {
public:
    /// Precondition: `problems` outlives the reader.
    manifest_entry_reader(std::string path, std::string_view text, std::vector<input_problem>& problems);

    /// Returns whether the entry is a JSON object; if not, the constructor has reported the problem.
    [[nodiscard]] bool is_readable() const noexcept { return m_object.has_value(); }
    [[nodiscard]] bool has(std::string_view key) const;

    /// Each getter reports a problem and returns an empty value, or the fallback or minimum, if the key is missing or
    /// invalid.
    /// Precondition: `is_readable()`.
    [[nodiscard]] std::string get_string(std::string_view key);
    [[nodiscard]] std::string get_choice(std::string_view key, const std::vector<std::string>& choices,
                                         std::string_view fallback);
    [[nodiscard]] std::uint64_t get_unsigned(std::string_view key, std::uint64_t min, std::uint64_t max,
                                             std::optional<std::uint64_t> fallback = std::nullopt);
    [[nodiscard]] bool get_bool(std::string_view key, bool fallback);
    [[nodiscard]] std::vector<std::string> get_strings(std::string_view key);

    void add_problem(std::string message);

    /// Reports each key that no getter has read as unknown.
    void finish();

private:
    [[nodiscard]] const boost::json::value* find(std::string_view key);

    std::string m_path;
    std::optional<boost::json::object> m_object;
    std::set<std::string, std::less<>> m_read_keys;
    std::vector<input_problem>* m_problems;
};

} // namespace dragonflywell::fleet
