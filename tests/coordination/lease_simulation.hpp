#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "coordination/store_lease.hpp"

namespace dragonflywell::testing {

/// Disables one safeguard, to show that the check detects this.
enum class lease_mutation {
    none,
    /// The store appends even if the topic ends elsewhere.
    unconditional_append,
    /// A challenger treats a lease as expired too early and acts at once. The takeover delay is off as well, because it
    /// alone would compensate for this.
    early_challenger,
    /// The holder's clock stands still while its host is suspended.
    clock_without_suspension,
    /// A new holder acts without the takeover delay.
    no_takeover_delay,
    /// Candidates do not learn that the store has returned from an older copy.
    era_unknown,
    /// Candidates treat records of an earlier era like those of the current one.
    earlier_records_valid,
};

/// A clock whose time is set from outside.
class settable_clock final : public clock_source {
public:
    [[nodiscard]] steady_time now() const override { return m_now; }
    [[nodiscard]] wall_time wall_now() const override { return wall_time(m_now.time_since_epoch()); }
    [[nodiscard]] steady_time now_with_suspension() const override { return m_with_suspension; }
    void set(steady_time now, steady_time with_suspension) {
        m_now = now;
        m_with_suspension = with_suspension;
    }

private:
    steady_time m_now{};
    steady_time m_with_suspension{};
};

/// Simulates the candidates for one lease, the topic that they append to, and the appends in flight. It is copied to
/// explore several continuations of one state.
class lease_simulation {
public:
    static constexpr std::size_t candidates = 3;

    /// The outcome of one call to the store.
    enum class call_outcome : std::uint8_t { answered, lost, applied_without_response, applied_later };

    explicit lease_simulation(lease_mutation mutation);

    /// Runs the next action of a candidate; the call that it makes has the given outcome.
    void step(std::size_t candidate, call_outcome outcome);
    /// Delivers the oldest append in flight to the store.
    void deliver_late();
    /// Replaces the topic by an older copy, which lacks its newest records, and begins a new era.
    void restore_older_copy(std::size_t lost_records);
    /// Lets a candidate learn the current era from a call that another part of its host makes.
    void learn_era(std::size_t candidate);
    /// Advances the time of all candidates.
    void advance(duration span);
    /// Advances time while the host of one candidate is suspended.
    void advance_while_suspended(duration span, std::size_t suspended);
    /// Kills a candidate's process and starts a new incarnation.
    void restart(std::size_t candidate);
    /// Makes a candidate give the lease up, as before a planned stop.
    void resign(std::size_t candidate);

    /// Lets every candidate that has authority act. Returns the violated rule, or nothing.
    [[nodiscard]] std::optional<std::string> find_violation();

    [[nodiscard]] bool has_authority(std::size_t candidate) const;

    static const duration length;
    static const duration takeover_delay;

private:
    struct late_append {
        std::uint64_t at{};
        coordination::store_lease_record record;
    };
    struct authorised_action {
        std::size_t candidate{};
        steady_time moment{};
    };
    struct member {
        std::uint64_t incarnation{1};
        duration suspended_for{};
        std::optional<coordination::store_lease> lease;
    };

    void load_clock(std::size_t candidate) const;
    void start(std::size_t candidate);
    [[nodiscard]] std::uint64_t get_visible_era() const;
    void read(coordination::store_lease& lease) const;
    [[nodiscard]] coordination::lease_topic_entry get_entry(std::uint64_t offset) const;
    bool append(std::uint64_t at, const coordination::store_lease_record& record);

    lease_mutation m_mutation;
    duration m_elapsed{};
    std::uint64_t m_era{1};
    std::vector<coordination::store_lease_record> m_topic;
    std::vector<late_append> m_late_appends;
    std::array<member, candidates> m_members;
    std::vector<authorised_action> m_actions;
    std::uint64_t m_highest_fencing_number{0};
    std::size_t m_highest_candidate{0};
    std::uint64_t m_highest_incarnation{0};
};

} // namespace dragonflywell::testing
