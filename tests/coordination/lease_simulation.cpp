#include "coordination/lease_simulation.hpp"

#include <algorithm>
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

std::uint64_t lease_simulation::get_visible_era() const {
    return m_mutation == lease_mutation::era_unknown ? 1 : m_era;
}

bool lease_simulation::append(std::uint64_t at, const store_lease_record& record) {
    if (at != m_topic.size() && m_mutation != lease_mutation::unconditional_append) {
        return false;
    }
    m_topic.push_back(record);
    return true;
}

coordination::lease_topic_entry lease_simulation::get_entry(std::uint64_t offset) const {
    coordination::lease_topic_entry entry{.offset = offset, .record = m_topic[offset]};
    if (m_mutation == lease_mutation::earlier_records_valid) {
        entry.record.era = m_era;
    }
    return entry;
}

void lease_simulation::read(store_lease& lease) const {
    const std::uint64_t era = get_visible_era();
    const bool is_other_era = lease.get_end().era != era;
    if (!is_other_era && lease.get_end().offset > m_topic.size()) {
        // Without its era, the copy looks like a replica that lags behind.
        return;
    }
    std::vector<coordination::lease_topic_entry> records;
    if (is_other_era || lease.get_end().offset == 0) {
        if (!m_topic.empty()) {
            records.push_back(get_entry(m_topic.size() - 1));
        }
    } else {
        for (std::uint64_t offset = lease.get_end().offset; offset < m_topic.size(); ++offset) {
            records.push_back(get_entry(offset));
        }
    }
    lease.on_read(records, {.era = era, .offset = m_topic.size()});
}

void lease_simulation::step(std::size_t candidate, call_outcome outcome) {
    load_clock(candidate);
    store_lease& lease = *m_members[candidate].lease;
    const store_lease::action action = lease.get_next_action();
    if (action == store_lease::action::read) {
        if (outcome == call_outcome::answered) {
            read(lease);
        }
        return;
    }
    if (action == store_lease::action::nothing) {
        return;
    }
    const std::uint64_t at = lease.get_end().offset;
    const store_lease_record record = lease.start_append();
    switch (outcome) {
    case call_outcome::answered:
        if (lease.get_end().era != get_visible_era()) {
            append(at, record);
            lease.on_era_changed(get_visible_era());
            lease.on_result_unknown();
        } else if (append(at, record)) {
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

void lease_simulation::restore_older_copy(std::size_t lost_records) {
    m_topic.resize(m_topic.size() - std::min(lost_records, m_topic.size()));
    ++m_era;
}

void lease_simulation::learn_era(std::size_t candidate) {
    load_clock(candidate);
    m_members[candidate].lease->on_era_changed(get_visible_era());
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
    // A holder acts only after a distance to every earlier one, so that two never alternate within the delay.
    for (std::size_t later = 1; later < m_actions.size(); ++later) {
        const authorised_action& before = m_actions[later - 1];
        const authorised_action& after = m_actions[later];
        if (before.candidate != after.candidate && after.moment - before.moment < takeover_delay) {
            return fmt::format("candidate {} acts within the takeover delay after candidate {}", after.candidate,
                               before.candidate);
        }
    }
    constexpr std::size_t max_actions = 24;
    if (m_actions.size() > max_actions) {
        m_actions.erase(m_actions.begin(), m_actions.end() - max_actions);
    }
    return std::nullopt;
}

} // namespace dragonflywell::testing
