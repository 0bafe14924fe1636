#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "core/clock.hpp"

namespace dragonflywell::policy {

/// Identifies a part that prompts share.
using prompt_part_id = std::uint64_t;

/// A crash in which a part occurred.
struct part_occurrence {
    std::uint64_t crash_id{};
    /// One bit for each request of the crash that had the part.
    std::uint64_t requests{};
    /// The newest record of the crash with the part.
    wall_time moment;

    friend bool operator==(const part_occurrence&, const part_occurrence&) = default;
};

struct part_evidence_options {
    /// Number of crashes from which a part counts as repeated.
    std::size_t repeated_crashes{3};
    /// Maximum number of crashes kept; the oldest is evicted first.
    std::size_t max_crashes{256};
    /// Maximum number of occurrences over all crashes, of about 100 bytes each. Those of the oldest crashes are evicted
    /// first, and of these the parts that occurred in no other crash.
    std::size_t max_occurrences{65'536};

    /// Returns the maximum number of parts of one crash. The crashes that make a part repeated always fit together.
    [[nodiscard]] std::size_t get_max_parts_per_crash() const noexcept { return max_occurrences / repeated_crashes; }
};

/// In which crashes each prompt part occurred. A step for a part costs the same however many parts its prompt has and
/// however many crashes are kept. Pure state; not thread safe.
class part_evidence {
public:
    explicit part_evidence(part_evidence_options options = {}) noexcept : m_options(options) {}

    /// Records that a part occurred in a crash. Returns whether that was not known.
    bool add(prompt_part_id part, const part_occurrence& occurrence);
    /// Removes the occurrences of a part up to a time.
    void remove_until(prompt_part_id part, wall_time moment);
    /// Removes the crashes up to a time.
    void remove_crashes_until(wall_time moment);

    [[nodiscard]] bool is_empty() const noexcept { return m_parts.empty(); }
    /// Returns whether a part occurred in any crash.
    [[nodiscard]] bool contains(prompt_part_id part) const { return m_parts.contains(part); }
    /// Returns the crashes in which a part occurred.
    [[nodiscard]] std::span<const part_occurrence> get_occurrences(prompt_part_id part) const;

    /// Returns the parts that occurred in several crashes, as many as the options say.
    [[nodiscard]] const std::unordered_set<prompt_part_id>& get_repeated() const noexcept { return m_repeated; }
    /// Returns a number that changes whenever the occurrences of a repeated part do.
    [[nodiscard]] std::uint64_t get_generation() const noexcept { return m_generation; }

    /// Returns the time of the newest record of each crash.
    [[nodiscard]] const auto& get_crashes() const noexcept { return m_crashes; }
    [[nodiscard]] std::size_t count_occurrences() const noexcept { return m_occurrence_count; }

private:
    struct crash {
        wall_time moment;
        std::size_t parts{0};
    };
    using crash_map = std::map<std::uint64_t, crash>;
    using part_map = std::unordered_map<prompt_part_id, std::vector<part_occurrence>>;

    /// Returns the crash, or the end if there is no room for a further part in it.
    crash_map::iterator find_room(const part_occurrence& occurrence);
    /// Removes the occurrences of a part for which `is_removed` returns true. Returns the next part.
    template <typename IsRemoved>
    part_map::iterator remove_occurrences(part_map::iterator position, IsRemoved is_removed);
    template <typename IsRemoved>
    void remove_everywhere(IsRemoved is_removed);
    void evict_oldest_crash();
    /// Evicts a part of the occurrences, so that the next ones cost nothing.
    void evict_occurrences();
    /// Evicts from the oldest crashes until few enough occurrences are left: all, or those of parts without another
    /// one.
    void evict_from_oldest(bool evicts_repeated);
    /// Updates what is known of a part after a change of its occurrences.
    void note_change(prompt_part_id part, std::size_t before, std::size_t after);

    part_evidence_options m_options;
    part_map m_parts;
    crash_map m_crashes;
    std::unordered_set<prompt_part_id> m_repeated;
    std::size_t m_occurrence_count{0};
    std::uint64_t m_generation{0};
};

} // namespace dragonflywell::policy
