#pragma once

#include <bitset>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/clock.hpp"
#include "policy/part_evidence.hpp"

namespace dragonflywell::policy {

/// A crash of an engine, with the shared prompt parts of one request that was waiting for its answer to begin. Hosts
/// exchange these records; a duplicate counts once.
struct part_crash {
    /// Equal on all hosts that observe the crash, so that each crash counts once for a part.
    std::uint64_t crash_id{};
    std::vector<prompt_part_id> parts;
    wall_time moment;
    /// Bits of the requests of the crash that had the parts. 0: of one request, of which the list is complete, so that
    /// its bit follows from the list.
    std::uint64_t requests{0};

    friend bool operator==(const part_crash&, const part_crash&) = default;
};

/// A complete answer to a prompt that has a suspected part. It proves that the part does not crash engines.
struct part_clearance {
    prompt_part_id part{};
    wall_time moment;

    friend bool operator==(const part_clearance&, const part_clearance&) = default;
};

struct part_quarantine_options {
    /// Number of crashes from which a part is blamed.
    std::size_t crashes_to_blame{3};
    /// How long a crash counts against a part.
    duration retention{std::chrono::minutes(10)};
    /// Maximum number of crashes kept, at most `part_quarantine::crash_capacity`; the oldest are evicted first.
    std::size_t max_crashes{256};
    /// Maximum number of occurrences of parts in crashes; see `part_evidence_options`.
    std::size_t max_occurrences{65'536};
    /// Maximum number of parts of which it is remembered that they were cleared; the oldest are evicted first.
    std::size_t max_cleared{4096};
};

/// Detects prompt parts that crash the engines which begin to answer a prompt with them.
///
/// A crash leaves several suspected parts: those of the guilty request, and those of the requests beside it. A part is
/// cleared by a complete answer to a prompt that has it. Of the others, the part that explains the most crashes is
/// blamed, then the one that explains the most of the remaining ones, and so on. Parts that only occurred together
/// cannot be told apart, so that only a prompt with all of them is refused.
///
/// A crash, an answer, a clearance and the check of a prompt cost steps in proportion to their parts. The blame is
/// derived anew only when the evidence against a part changes that occurred in several crashes. Performs no I/O. Not
/// thread safe.
class part_quarantine {
public:
    /// Largest value of `max_crashes`.
    static constexpr std::size_t crash_capacity = 256;
    /// Maximum number of parts in a record for other hosts, so that it fits into a datagram.
    static constexpr std::size_t max_announced_parts = 40;

    /// Parts that only occurred together, in ascending order.
    using part_group = std::vector<prompt_part_id>;

    explicit part_quarantine(part_quarantine_options options = {})
        : m_options(options), m_evidence({.repeated_crashes = options.crashes_to_blame,
                                          .max_crashes = options.max_crashes,
                                          .max_occurrences = options.max_occurrences}) {}

    /// Records a crash that this host observed or another host reported. Returns whether it was not known.
    bool record_crash(const part_crash& crash);
    /// Records that a prompt with these parts got a complete answer. Returns the clearances of those that were
    /// suspected.
    std::vector<part_clearance> record_answer(std::span<const prompt_part_id> parts, wall_time now);
    /// Records a clearance that another host reported. Returns whether it was not known.
    bool record_clearance(const part_clearance& clearance);

    /// Returns the number of crashes that count.
    [[nodiscard]] std::size_t get_record_count() const noexcept { return m_evidence.get_crashes().size(); }
    /// Returns whether no part is suspected.
    [[nodiscard]] bool is_empty() const noexcept { return m_evidence.is_empty(); }
    /// Returns whether a prompt with these parts must not be sent to an engine.
    [[nodiscard]] bool is_refused(std::span<const prompt_part_id> parts, wall_time now);

    /// Returns the groups of parts that are blamed.
    [[nodiscard]] const std::vector<part_group>& get_blamed(wall_time now);

    /// Returns whether a record belongs to a part that is blamed.
    [[nodiscard]] bool is_of_blamed_part(const part_crash& crash, wall_time now);
    /// Returns the records of blamed parts, which a restarted host has to learn, newest first, at most `most`.
    [[nodiscard]] std::vector<part_crash> get_blamed_crashes(wall_time now, std::size_t most);

    /// Returns a record as it is announced to other hosts. Of a long one, it has the parts that occurred in the most
    /// crashes; of equal ones, all hosts choose the same.
    [[nodiscard]] part_crash shorten(const part_crash& crash) const;

private:
    using crash_set = std::bitset<crash_capacity>;

    /// Parts that occurred in the same requests of the same crashes.
    struct part_class {
        part_group parts;
        /// Crashes that no blamed part explains, by index.
        crash_set unexplained;
    };

    [[nodiscard]] bool is_cleared(prompt_part_id part, wall_time moment) const;
    /// Remembers a clearance, and removes the part from the crashes before it.
    void clear(const part_clearance& clearance);
    /// Discards the records that no longer count.
    void discard_old(wall_time now);
    /// Returns the classes of the parts that occurred in enough crashes to be blamed.
    [[nodiscard]] std::vector<part_class> get_repeated_classes() const;
    void update_blamed();
    void blame(part_group parts);

    part_quarantine_options m_options;
    part_evidence m_evidence;
    /// When each part that had been suspected was answered last, and the same in the order of time.
    std::unordered_map<prompt_part_id, wall_time> m_cleared;
    std::set<std::pair<wall_time, prompt_part_id>> m_cleared_by_time;
    /// No crash expires before this time.
    wall_time m_next_expiry_at{wall_time::max()};
    std::vector<part_group> m_blamed;
    /// Index of the group of each blamed part.
    std::unordered_map<prompt_part_id, std::size_t> m_blamed_group;
    /// State of the evidence from which the blame was derived.
    std::uint64_t m_blamed_generation{0};
};

} // namespace dragonflywell::policy
