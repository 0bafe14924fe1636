#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <utility>
#include <vector>

#include "core/clock.hpp"

namespace dragonflywell::policy {

/// Identifies a part that prompts share.
using prompt_part_id = std::uint64_t;

/// A crash of an engine, with the shared prompt parts of one request that was waiting for its answer to begin. Hosts
/// exchange these records; a duplicate counts once.
struct part_crash {
    /// Equal on all hosts that observe the crash, so that each crash counts once for a part.
    std::uint64_t crash_id{};
    std::vector<prompt_part_id> parts;
    wall_time moment;

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
    /// Maximum number of records kept; the oldest are evicted first.
    std::size_t max_crashes{512};
    /// Maximum number of parts of which it is remembered that they were cleared; the oldest are evicted first.
    std::size_t max_cleared{4096};
};

/// Detects prompt parts that crash the engines which begin to answer a prompt with them.
///
/// A crash leaves several suspected parts: those of the guilty request, and those of the requests beside it. A part is
/// cleared by a complete answer to a prompt that has it. Of the others, the part that explains the most crashes is
/// blamed, then the one that explains the most of the remaining ones, and so on. Parts that only occurred together
/// cannot be told apart, so that only a prompt with all of them is refused. Performs no I/O. Not thread safe.
class part_quarantine {
public:
    explicit part_quarantine(part_quarantine_options options = {}) noexcept : m_options(options) {}

    /// Records a crash that this host observed or another host reported. Returns whether it was not known.
    bool record_crash(const part_crash& crash);
    /// Records that a prompt with these parts got a complete answer. Returns the clearances of those that were
    /// suspected.
    std::vector<part_clearance> record_answer(std::span<const prompt_part_id> parts, wall_time now);
    /// Records a clearance that another host reported. Returns whether it was not known.
    bool record_clearance(const part_clearance& clearance);

    /// Returns the number of records of crashes.
    [[nodiscard]] std::size_t get_record_count() const noexcept { return m_crashes.size(); }
    /// Returns whether no part is suspected.
    [[nodiscard]] bool is_empty() const noexcept { return m_crashes.empty(); }
    /// Returns whether a prompt with these parts must not be sent to an engine.
    [[nodiscard]] bool is_refused(std::span<const prompt_part_id> parts, wall_time now);

    /// Returns the groups of parts that are blamed. The parts of a group only occurred together.
    [[nodiscard]] const std::vector<std::set<prompt_part_id>>& get_blamed(wall_time now);

    /// Returns whether a record belongs to a part that is blamed.
    [[nodiscard]] bool is_of_blamed_part(const part_crash& crash, wall_time now);
    /// Returns the records of blamed parts, which a restarted host has to learn, newest first, at most `most`.
    [[nodiscard]] std::vector<part_crash> get_blamed_crashes(wall_time now, std::size_t most);

private:
    /// What the records say of one part.
    struct evidence {
        /// Crashes that no blamed part explains.
        std::set<std::uint64_t> unexplained;
        /// Parts that occurred in all requests with this part.
        std::set<prompt_part_id> companions;
    };
    using evidence_map = std::map<prompt_part_id, evidence>;

    [[nodiscard]] bool is_cleared(prompt_part_id part, wall_time moment) const;
    [[nodiscard]] bool is_suspected(prompt_part_id part) const;
    /// Removes a cleared part from the records of crashes before the clearance.
    void clear(const part_clearance& clearance);
    /// Discards the records that no longer count.
    void discard_old(wall_time now);
    [[nodiscard]] evidence_map collect_evidence() const;
    void update_blamed();
    /// Blames all parts that explain exactly these crashes.
    void blame(const evidence_map& parts, const std::set<std::uint64_t>& explained);

    part_quarantine_options m_options;
    /// Sorted by time.
    std::vector<part_crash> m_crashes;
    /// When each part that had been suspected was answered last.
    std::map<prompt_part_id, wall_time> m_cleared;
    std::vector<std::set<prompt_part_id>> m_blamed;
    bool m_is_blamed_current{true};
};

} // namespace dragonflywell::policy
