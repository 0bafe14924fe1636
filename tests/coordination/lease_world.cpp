#include "coordination/lease_world.hpp"

#include <fmt/format.h>

namespace dragonflywell::testing {

using coordination::store_lease;
using coordination::store_lease_record;
using namespace std::chrono_literals;

const duration lease_world::length = 3s;
const duration lease_world::quiet = 3s;

namespace {

constexpr steady_time beginning{std::chrono::hours(1)};

/// One clock for each candidate, shared by all copies of the world: it is set before each use.
std::array<settable_clock, lease_world::candidates>& get_clocks() {
    static std::array<settable_clock, lease_world::candidates> clocks;
    return clocks;
}

} // namespace

lease_world::lease_world(lease_mutation mutation) : m_mutation(mutation) {
    for (std::size_t candidate = 0; candidate < candidates; ++candidate) {
        start(candidate);
    }
}

void lease_world::load_clock(std::size_t candidate) const {
    const member& self = m_members[candidate];
    const steady_time now = beginning + m_elapsed - self.slept;
    const bool sees_suspension = m_mutation != lease_mutation::clock_without_suspension;
    get_clocks()[candidate].set(now, sees_suspension ? beginning + m_elapsed : now);
}

void lease_world::start(std::size_t candidate) {
    load_clock(candidate);
    coordination::store_lease_options options{.holder = std::to_string(candidate),
                                              .incarnation = m_members[candidate].incarnation,
                                              .length = length,
                                              .takeover_delay = quiet};
    if (m_mutation == lease_mutation::no_quiet_time || m_mutation == lease_mutation::impatient_challenger) {
        options.takeover_delay = duration::zero();
    }
    if (m_mutation == lease_mutation::impatient_challenger) {
        options.margin = -length / 2;
    }
    m_members[candidate].lease.emplace(get_clocks()[candidate], options);
}

bool lease_world::append(std::uint64_t at, const store_lease_record& record) {
    if (at != m_topic.size() && m_mutation != lease_mutation::unconditional_append) {
        return false;
    }
    m_topic.push_back(record);
    return true;
}

void lease_world::step(std::size_t candidate, call_fate fate) {
    load_clock(candidate);
    store_lease& lease = *m_members[candidate].lease;
    const store_lease::action action = lease.get_next_action();
    if (action == store_lease::action::read) {
        if (fate != call_fate::answered) {
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
    switch (fate) {
    case call_fate::answered:
        if (append(at, record)) {
            lease.on_appended();
        } else {
            lease.on_conflict();
        }
        break;
    case call_fate::lost:
        lease.on_result_unknown();
        break;
    case call_fate::done_without_answer:
        append(at, record);
        lease.on_result_unknown();
        break;
    case call_fate::done_later:
        m_late.push_back({.at = at, .record = record});
        lease.on_result_unknown();
        break;
    }
}

void lease_world::deliver_late() {
    if (m_late.empty()) {
        return;
    }
    const late_append late = m_late.front();
    m_late.erase(m_late.begin());
    append(late.at, late.record);
}

void lease_world::advance(duration span) {
    m_elapsed += span;
}

void lease_world::advance_with_sleeper(duration span, std::size_t sleeper) {
    m_elapsed += span;
    m_members[sleeper].slept += span;
}

void lease_world::restart(std::size_t candidate) {
    ++m_members[candidate].incarnation;
    start(candidate);
}

void lease_world::resign(std::size_t candidate) {
    m_members[candidate].lease->resign();
}

bool lease_world::has_authority(std::size_t candidate) const {
    load_clock(candidate);
    return m_members[candidate].lease->get_fencing_number().has_value();
}

std::optional<std::string> lease_world::find_fault() {
    std::size_t holders = 0;
    for (std::size_t candidate = 0; candidate < candidates; ++candidate) {
        load_clock(candidate);
        const std::optional<std::uint64_t> fence = m_members[candidate].lease->get_fencing_number();
        if (!fence) {
            continue;
        }
        ++holders;
        const bool is_same_holder =
            candidate == m_highest_candidate && m_members[candidate].incarnation == m_highest_incarnation;
        if (*fence < m_highest_fence || (*fence == m_highest_fence && !is_same_holder)) {
            return fmt::format("candidate {} acts under fence {} after {}", candidate, *fence, m_highest_fence);
        }
        m_highest_fence = *fence;
        m_highest_candidate = candidate;
        m_highest_incarnation = m_members[candidate].incarnation;
        m_acts.push_back({.candidate = candidate, .moment = beginning + m_elapsed});
    }
    if (holders > 1) {
        return "two candidates have authority at once";
    }
    // Holders must not take turns within the quiet time.
    for (std::size_t first = 0; first < m_acts.size(); ++first) {
        bool has_other = false;
        for (std::size_t later = first + 1; later < m_acts.size(); ++later) {
            has_other = has_other || m_acts[later].candidate != m_acts[first].candidate;
            const bool is_back = has_other && m_acts[later].candidate == m_acts[first].candidate;
            if (is_back && m_acts[later].moment - m_acts[first].moment < quiet) {
                return "two candidates took turns";
            }
        }
    }
    constexpr std::size_t kept_acts = 24;
    if (m_acts.size() > kept_acts) {
        m_acts.erase(m_acts.begin(), m_acts.end() - kept_acts);
    }
    return std::nullopt;
}

} // namespace dragonflywell::testing
