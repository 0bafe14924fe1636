#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "core/hash.hpp"

namespace dragonflywell::fleet {

/// Identifies the content of a list of keys with states. Two hosts that have read the same list up to the same position
/// have the same checksum, so that a host notices that it has missed a record. Not thread safe.
class list_checksum {
public:
    /// Sets the state of a key. Returns whether it has changed.
    bool set(std::string_view key, std::uint64_t state) {
        const auto [position, is_new] = m_states.try_emplace(std::string(key), state);
        if (!is_new && position->second == state) {
            return false;
        }
        if (!is_new) {
            m_sum -= get_part(key, position->second);
            position->second = state;
        }
        m_sum += get_part(key, state);
        return true;
    }

    /// Removes a key. Returns whether it was there.
    bool erase(std::string_view key) {
        const auto found = m_states.find(key);
        if (found == m_states.end()) {
            return false;
        }
        m_sum -= get_part(key, found->second);
        m_states.erase(found);
        return true;
    }

    void clear() {
        m_states.clear();
        m_sum = 0;
    }

    [[nodiscard]] std::uint64_t get() const noexcept { return m_sum; }

private:
    [[nodiscard]] static std::uint64_t get_part(std::string_view key, std::uint64_t state) {
        return get_stable_hash(std::string(key) + "=" + std::to_string(state));
    }

    std::map<std::string, std::uint64_t, std::less<>> m_states;
    std::uint64_t m_sum{0};
};

} // namespace dragonflywell::fleet
