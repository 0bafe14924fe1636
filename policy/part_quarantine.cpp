#include "policy/part_quarantine.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace dragonflywell::policy {

namespace {

bool contains(std::span<const prompt_part_id> parts, prompt_part_id part) {
    return std::find(parts.begin(), parts.end(), part) != parts.end();
}

/// Sorts records by time, newest first, and drops those beyond `most`.
template <typename Record>
void keep_newest(std::vector<Record>& records, std::size_t most) {
    std::stable_sort(records.begin(), records.end(),
                     [](const Record& left, const Record& right) { return left.moment > right.moment; });
    if (records.size() > most) {
        records.resize(most);
    }
}

} // namespace

void part_quarantine::record_crash(const part_crash& crash) {
    part_crash suspected = crash;
    std::erase_if(suspected.parts, [&](prompt_part_id part) { return is_cleared(part, crash.moment); });
    const bool is_known = std::any_of(m_crashes.begin(), m_crashes.end(), [&](const part_crash& known) {
        return known.crash_id == suspected.crash_id && known.parts == suspected.parts;
    });
    if (suspected.parts.empty() || is_known) {
        return;
    }
    const auto is_later = [](const part_crash& left, const part_crash& right) { return left.moment < right.moment; };
    m_crashes.insert(std::upper_bound(m_crashes.begin(), m_crashes.end(), suspected, is_later), suspected);
    if (m_crashes.size() > m_options.max_crashes) {
        m_crashes.erase(m_crashes.begin());
    }
    m_is_blamed_current = false;
}

void part_quarantine::record_answer(std::span<const prompt_part_id> parts, wall_time now) {
    for (const prompt_part_id part : parts) {
        if (is_suspected(part)) {
            clear({.part = part, .moment = now});
        }
    }
}

void part_quarantine::record_clearance(const part_clearance& clearance) {
    if (!is_cleared(clearance.part, clearance.moment)) {
        clear(clearance);
    }
}

bool part_quarantine::is_cleared(prompt_part_id part, wall_time moment) const {
    const auto cleared = m_cleared.find(part);
    return cleared != m_cleared.end() && cleared->second >= moment;
}

bool part_quarantine::is_suspected(prompt_part_id part) const {
    return std::any_of(m_crashes.begin(), m_crashes.end(),
                       [&](const part_crash& crash) { return contains(crash.parts, part); });
}

void part_quarantine::clear(const part_clearance& clearance) {
    m_cleared[clearance.part] = clearance.moment;
    for (part_crash& crash : m_crashes) {
        if (crash.moment <= clearance.moment) {
            std::erase(crash.parts, clearance.part);
        }
    }
    std::erase_if(m_crashes, [](const part_crash& crash) { return crash.parts.empty(); });
    m_is_blamed_current = false;
}

bool part_quarantine::is_refused(std::span<const prompt_part_id> parts, wall_time now) {
    const auto has_part = [&](prompt_part_id part) { return contains(parts, part); };
    const std::vector<std::set<prompt_part_id>>& blamed = get_blamed(now);
    return std::any_of(blamed.begin(), blamed.end(), [&](const std::set<prompt_part_id>& group) {
        return std::all_of(group.begin(), group.end(), has_part);
    });
}

const std::vector<std::set<prompt_part_id>>& part_quarantine::get_blamed(wall_time now) {
    discard_old(now);
    if (!m_is_blamed_current) {
        update_blamed();
    }
    return m_blamed;
}

void part_quarantine::discard_old(wall_time now) {
    const auto is_old = [&](const part_crash& crash) { return now - crash.moment >= m_options.retention; };
    if (m_crashes.empty() || !is_old(m_crashes.front())) {
        return;
    }
    std::erase_if(m_crashes, is_old);
    std::erase_if(m_cleared, [&](const auto& item) { return now - item.second >= m_options.retention; });
    m_is_blamed_current = false;
}

part_quarantine::evidence_map part_quarantine::collect_evidence() const {
    evidence_map parts;
    for (const part_crash& crash : m_crashes) {
        const std::set<prompt_part_id> together(crash.parts.begin(), crash.parts.end());
        for (const prompt_part_id part : together) {
            const auto [found, is_new] = parts.try_emplace(part);
            found->second.unexplained.insert(crash.crash_id);
            if (is_new) {
                found->second.companions = together;
            } else {
                std::erase_if(found->second.companions,
                              [&](prompt_part_id companion) { return !together.contains(companion); });
            }
        }
    }
    return parts;
}

void part_quarantine::update_blamed() {
    m_blamed.clear();
    m_is_blamed_current = true;
    const auto explains_fewer = [](const auto& left, const auto& right) {
        return left.second.unexplained.size() < right.second.unexplained.size();
    };
    evidence_map parts = collect_evidence();
    while (!parts.empty()) {
        const auto most = std::max_element(parts.begin(), parts.end(), explains_fewer);
        const std::set<std::uint64_t> explained = most->second.unexplained;
        if (explained.size() < m_options.crashes_to_blame) {
            return;
        }
        blame(parts, explained);
        for (auto& [part, found] : parts) {
            std::erase_if(found.unexplained, [&](std::uint64_t crash_id) { return explained.contains(crash_id); });
        }
    }
}

void part_quarantine::blame(const evidence_map& parts, const std::set<std::uint64_t>& explained) {
    std::set<prompt_part_id> done;
    for (const auto& [part, found] : parts) {
        if (found.unexplained != explained || done.contains(part)) {
            continue;
        }
        std::set<prompt_part_id> group{part};
        for (const prompt_part_id companion : found.companions) {
            const evidence& other = parts.at(companion);
            if (other.unexplained == explained && other.companions.contains(part)) {
                group.insert(companion);
            }
        }
        done.insert(group.begin(), group.end());
        m_blamed.push_back(std::move(group));
    }
}

std::vector<part_crash> part_quarantine::get_crashes(wall_time now, duration age, std::size_t most) {
    std::vector<prompt_part_id> blamed;
    for (const std::set<prompt_part_id>& group : get_blamed(now)) {
        blamed.insert(blamed.end(), group.begin(), group.end());
    }
    const auto has_blamed_part = [&](const part_crash& crash) {
        return std::any_of(crash.parts.begin(), crash.parts.end(),
                           [&](prompt_part_id part) { return contains(blamed, part); });
    };
    std::vector<part_crash> newest;
    std::copy_if(m_crashes.begin(), m_crashes.end(), std::back_inserter(newest),
                 [&](const part_crash& crash) { return now - crash.moment <= age || has_blamed_part(crash); });
    keep_newest(newest, most);
    return newest;
}

std::vector<part_clearance> part_quarantine::get_clearances(wall_time now, duration age, std::size_t most) const {
    std::vector<part_clearance> newest;
    for (const auto& [part, moment] : m_cleared) {
        if (now - moment <= age) {
            newest.push_back({.part = part, .moment = moment});
        }
    }
    keep_newest(newest, most);
    return newest;
}

} // namespace dragonflywell::policy
