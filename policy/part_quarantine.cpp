#include "policy/part_quarantine.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace dragonflywell::policy {

namespace {

bool contains(std::span<const prompt_part_id> parts, prompt_part_id part) {
    return std::find(parts.begin(), parts.end(), part) != parts.end();
}

} // namespace

bool part_quarantine::record_crash(const part_crash& crash) {
    part_crash suspected = crash;
    std::erase_if(suspected.parts, [&](prompt_part_id part) { return is_cleared(part, crash.moment); });
    const bool is_known = std::any_of(m_crashes.begin(), m_crashes.end(), [&](const part_crash& known) {
        return known.crash_id == suspected.crash_id && known.parts == suspected.parts;
    });
    if (suspected.parts.empty() || is_known) {
        return false;
    }
    const auto is_later = [](const part_crash& left, const part_crash& right) { return left.moment < right.moment; };
    m_crashes.insert(std::upper_bound(m_crashes.begin(), m_crashes.end(), suspected, is_later), suspected);
    if (m_crashes.size() > m_options.max_crashes) {
        m_crashes.erase(m_crashes.begin());
    }
    m_is_blamed_current = false;
    return true;
}

std::vector<part_clearance> part_quarantine::record_answer(std::span<const prompt_part_id> parts, wall_time now) {
    std::vector<part_clearance> cleared;
    for (const prompt_part_id part : parts) {
        if (is_suspected(part)) {
            cleared.push_back({.part = part, .moment = now});
            clear(cleared.back());
        }
    }
    return cleared;
}

bool part_quarantine::record_clearance(const part_clearance& clearance) {
    if (is_cleared(clearance.part, clearance.moment)) {
        return false;
    }
    clear(clearance);
    return true;
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
    if (m_cleared.size() > m_options.max_cleared) {
        m_cleared.erase(std::min_element(m_cleared.begin(), m_cleared.end(), [](const auto& left, const auto& right) {
            return left.second < right.second;
        }));
    }
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

bool part_quarantine::is_of_blamed_part(const part_crash& crash, wall_time now) {
    const auto has_part = [&](prompt_part_id part) { return contains(crash.parts, part); };
    const std::vector<std::set<prompt_part_id>>& blamed = get_blamed(now);
    return std::any_of(blamed.begin(), blamed.end(), [&](const std::set<prompt_part_id>& group) {
        return std::any_of(group.begin(), group.end(), has_part);
    });
}

std::vector<part_crash> part_quarantine::get_blamed_crashes(wall_time now, std::size_t most) {
    std::vector<part_crash> newest;
    std::copy_if(m_crashes.rbegin(), m_crashes.rend(), std::back_inserter(newest),
                 [&](const part_crash& crash) { return is_of_blamed_part(crash, now); });
    if (newest.size() > most) {
        newest.resize(most);
    }
    return newest;
}

} // namespace dragonflywell::policy
