#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "coordination/store_lease.hpp"

namespace dragonflywell::testing {

/// A safeguard that is taken out, to show that the checker misses it.
enum class lease_mutation {
    none,
    /// The store appends whatever the topic's end is.
    unconditional_append,
    /// A challenger counts a lease as lapsed early, and acts at once; the quiet time alone would make up for it.
    impatient_challenger,
    /// The holder's clock stands still while its host sleeps.
    clock_without_suspension,
    /// A new holder acts at once.
    no_quiet_time,
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

/// Candidates for one lease, the topic that they append to, and what is on its way. Copied to explore from each state.
class lease_world {
public:
    static constexpr std::size_t candidates = 3;

    /// What the store and the network do with one call.
    enum class call_fate : std::uint8_t { answered, lost, done_without_answer, done_later };

    explicit lease_world(lease_mutation mutation);

    /// Lets a candidate do what it wants to do next.
    void step(std::size_t candidate, call_fate fate);
    /// Lets the oldest append that is on its way reach the store.
    void deliver_late();
    /// Lets time pass for all.
    void advance(duration span);
    /// Lets time pass while the host of a candidate sleeps.
    void advance_with_sleeper(duration span, std::size_t sleeper);
    /// Kills a candidate's process and starts it anew.
    void restart(std::size_t candidate);
    /// Lets a candidate give the lease up, as before a planned stop.
    void resign(std::size_t candidate);

    /// Lets every candidate that has authority act, and returns what is wrong, or nothing.
    [[nodiscard]] std::optional<std::string> find_fault();

    [[nodiscard]] bool has_authority(std::size_t candidate) const;

    static const duration length;
    static const duration quiet;

private:
    struct topic_record {
        coordination::store_lease_record record;
    };
    struct late_append {
        std::uint64_t at{};
        coordination::store_lease_record record;
    };
    struct act {
        std::size_t candidate{};
        steady_time moment{};
    };
    struct member {
        std::uint64_t incarnation{1};
        duration slept{};
        std::optional<coordination::store_lease> lease;
    };

    void load_clock(std::size_t candidate) const;
    void start(std::size_t candidate);
    bool append(std::uint64_t at, const coordination::store_lease_record& record);

    lease_mutation m_mutation;
    duration m_elapsed{};
    std::vector<coordination::store_lease_record> m_topic;
    std::vector<late_append> m_late;
    std::array<member, candidates> m_members;
    std::vector<act> m_acts;
    std::uint64_t m_highest_fence{0};
    std::size_t m_highest_candidate{0};
    std::uint64_t m_highest_incarnation{0};
};

} // namespace dragonflywell::testing
