#include "coordination/lease_simulation.hpp"

#include <fmt/format.h>

namespace dragonflywell::testing {

using coordination::store_lease;
using coordination::store_lease_record;
using namespace std::chrono_literals;

const duration lease_simulation::length = 3s;
const duration lease_simulation::takeover_delay = 3s;

namespace {

constexpr steady_time beginning{std::chrono::hours(1)};

/// One clock for each candidate. All copies of the simulation share the clocks, so they are set before each use.
std::array<settable_clock, lease_simulation::candidates>& get_clocks() {
    static std::array<settable_clock, lease_simulation::candidates> clocks;
    return clocks;
}

} // namespace

lease_simulation::lease_simulation(lease_mutation mutation) : m_mutation(mutation) {
    for (std::size_t candidate = 0; candidate < candidates; ++candidate) {
        start(candidate);
    }
}

void lease_simulation::load_clock(std::size_t candidate) const {
    const member& self = m_members[candidate];
    const steady_time now = beginning + m_elapsed - self.suspended_for;
    const bool sees_suspension = m_mutation != lease_mutation::clock_without_suspension;
    get_clocks()[candidate].set(now, sees_suspension ? beginning + m_elapsed : now);
}

void lease_simulation::start(std::size_t candidate) {
    load_clock(candidate);
    coordination::store_lease_options options{.holder = std::to_string(candidate),
                                              .incarnation = m_members[candidate].incarnation,
                                              .length = length,
                                              .takeover_delay = takeover_delay};
    if (m_mutation == lease_mutation::no_takeover_delay || m_mutation == lease_mutation::early_challenger) {
        options.takeover_delay = duration::zero();
    }
    if (m_mutation == lease_mutation::early_challenger) {
        options.margin = -length / 2;
    }
    m_members[candidate].lease.emplace(get_clocks()[candidate], options);
}

bool lease_simulation::append(std::uint64_t at, const store_lease_record& record) {
    if (at != m_topic.size() && m_mutation != lease_mutation::unconditional_append) {
        return false;
    }
    m_topic.push_back(record);
    return true;
}

void lease_simulation::step(std::size_t candidate, call_outcome outcome) {
    load_clock(candidate);
    store_lease& lease = *m_members[candidate].lease;
    const store_lease::action action = lease.get_next_action();
    if (action == store_lease::action::read) {
        if (outcome != call_outcome::answered) {
            return;
        }
        std::vector<coordination::lease_topic_entry> records;
        for (std::uint64_t offset = lease.get_end(); offset < m_topic.size(); ++offset) {
            records.push_back({.offset = offset, .record = m_topic[offset]});
        }
        lease.on_read(records, m_topic.size());
        return;
    }
    if (action == store_lease::action::nothing) {
        return;
    }
    const std::uint64_t at = lease.get_end();
    const store_lease_record record = lease.start_append();
    switch (outcome) {
    case call_outcome::answered:
        if (append(at, record)) {
            lease.on_appended();
        } else {
            lease.on_conflict();
        }
        break;
    case call_outcome::lost:
        lease.on_result_unknown();
        break;
    case call_outcome::applied_without_response:
        append(at, record);
        lease.on_result_unknown();
        break;
    case call_outcome::applied_later:
        m_late_appends.push_back({.at = at, .record = record});
        lease.on_result_unknown();
        break;
    }
}

void lease_simulation::deliver_late() {
    if (m_late_appends.empty()) {
        return;
    }
    const late_append appended = m_late_appends.front();
    m_late_appends.erase(m_late_appends.begin());
    append(appended.at, appended.record);
}

void lease_simulation::advance(duration span) {
    m_elapsed += span;
}

void lease_simulation::advance_while_suspended(duration span, std::size_t suspended) {
    m_elapsed += span;
    m_members[suspended].suspended_for += span;
}

void lease_simulation::restart(std::size_t candidate) {
    ++m_members[candidate].incarnation;
    start(candidate);
}

void lease_simulation::resign(std::size_t candidate) {
    m_members[candidate].lease->resign();
}

bool lease_simulation::has_authority(std::size_t candidate) const {
    load_clock(candidate);
    return m_members[candidate].lease->get_fencing_number().has_value();
}

std::optional<std::string> lease_simulation::find_violation() {
    std::size_t holders = 0;
    for (std::size_t candidate = 0; candidate < candidates; ++candidate) {
        load_clock(candidate);
        const std::optional<std::uint64_t> fencing_number = m_members[candidate].lease->get_fencing_number();
        if (!fencing_number) {
            continue;
        }
        ++holders;
        const bool is_same_holder =
            candidate == m_highest_candidate && m_members[candidate].incarnation == m_highest_incarnation;
        if (*fencing_number < m_highest_fencing_number ||
            (*fencing_number == m_highest_fencing_number && !is_same_holder)) {
            return fmt::format("candidate {} acts under fencing number {} after {}", candidate, *fencing_number,
                               m_highest_fencing_number);
        }
        m_highest_fencing_number = *fencing_number;
        m_highest_candidate = candidate;
        m_highest_incarnation = m_members[candidate].incarnation;
        m_actions.push_back({.candidate = candidate, .moment = beginning + m_elapsed});
    }
    if (holders > 1) {
        return "two candidates have authority at once";
    }
    // Two holders must not alternate within the takeover delay.
    for (std::size_t first = 0; first < m_actions.size(); ++first) {
        bool has_other_acted = false;
        for (std::size_t later = first + 1; later < m_actions.size(); ++later) {
            has_other_acted = has_other_acted || m_actions[later].candidate != m_actions[first].candidate;
            const bool has_alternated = has_other_acted && m_actions[later].candidate == m_actions[first].candidate;
            if (has_alternated && m_actions[later].moment - m_actions[first].moment < takeover_delay) {
                return "two candidates alternated within the takeover delay";
            }
        }
    }
    constexpr std::size_t max_actions = 24;
    if (m_actions.size() > max_actions) {
        m_actions.erase(m_actions.begin(), m_actions.end() - max_actions);
    }
    return std::nullopt;
}

} // namespace dragonflywell::testing
