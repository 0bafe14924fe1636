#include "policy/part_evidence.hpp"

#include <algorithm>
#include <set>

namespace dragonflywell::policy {

bool part_evidence::add(prompt_part_id part, const part_occurrence& occurrence) {
    const auto known = m_parts.find(part);
    if (known != m_parts.end()) {
        const auto is_same_crash = [&](const part_occurrence& item) { return item.crash_id == occurrence.crash_id; };
        const auto same = std::find_if(known->second.begin(), known->second.end(), is_same_crash);
        if (same != known->second.end()) {
            const bool is_new = (same->requests | occurrence.requests) != same->requests;
            same->requests |= occurrence.requests;
            same->moment = std::max(same->moment, occurrence.moment);
            if (is_new) {
                note_change(part, known->second.size(), known->second.size());
            }
            return is_new;
        }
    }
    const auto crash = find_room(occurrence);
    if (crash == m_crashes.end()) {
        return false;
    }
    ++crash->second.parts;
    ++m_occurrence_count;
    std::vector<part_occurrence>& occurrences = m_parts[part];
    occurrences.push_back(occurrence);
    note_change(part, occurrences.size() - 1, occurrences.size());
    return true;
}

part_evidence::crash_map::iterator part_evidence::find_room(const part_occurrence& occurrence) {
    if (m_occurrence_count >= m_options.max_occurrences) {
        evict_occurrences();
    }
    auto found = m_crashes.find(occurrence.crash_id);
    if (found == m_crashes.end() && m_crashes.size() >= m_options.max_crashes) {
        evict_oldest_crash();
    }
    if (found == m_crashes.end()) {
        found = m_crashes.emplace(occurrence.crash_id, crash{.moment = occurrence.moment}).first;
    }
    found->second.moment = std::max(found->second.moment, occurrence.moment);
    return found->second.parts < m_options.get_max_parts_per_crash() ? found : m_crashes.end();
}

void part_evidence::remove_until(prompt_part_id part, wall_time moment) {
    const auto found = m_parts.find(part);
    if (found != m_parts.end()) {
        remove_occurrences(found, [&](const part_occurrence& item) { return item.moment <= moment; });
    }
}

void part_evidence::remove_crashes_until(wall_time moment) {
    std::set<std::uint64_t> old;
    for (const auto& [id, crash] : m_crashes) {
        if (crash.moment <= moment) {
            old.insert(id);
        }
    }
    if (!old.empty()) {
        remove_everywhere([&](const part_occurrence& item) { return old.contains(item.crash_id); });
    }
}

std::span<const part_occurrence> part_evidence::get_occurrences(prompt_part_id part) const {
    const auto found = m_parts.find(part);
    return found == m_parts.end() ? std::span<const part_occurrence>() : std::span(found->second);
}

template <typename IsRemoved>
part_evidence::part_map::iterator part_evidence::remove_occurrences(part_map::iterator position, IsRemoved is_removed) {
    std::vector<part_occurrence>& occurrences = position->second;
    const std::size_t before = occurrences.size();
    std::erase_if(occurrences, [&](const part_occurrence& item) {
        if (!is_removed(item)) {
            return false;
        }
        const auto crash = m_crashes.find(item.crash_id);
        if (--crash->second.parts == 0) {
            m_crashes.erase(crash);
        }
        return true;
    });
    m_occurrence_count -= before - occurrences.size();
    if (occurrences.size() != before) {
        note_change(position->first, before, occurrences.size());
    }
    return occurrences.empty() ? m_parts.erase(position) : std::next(position);
}

template <typename IsRemoved>
void part_evidence::remove_everywhere(IsRemoved is_removed) {
    for (auto position = m_parts.begin(); position != m_parts.end();) {
        position = remove_occurrences(position, is_removed);
    }
}

void part_evidence::evict_oldest_crash() {
    const auto oldest = std::min_element(m_crashes.begin(), m_crashes.end(), [](const auto& left, const auto& right) {
        return left.second.moment < right.second.moment;
    });
    const std::uint64_t id = oldest->first;
    remove_everywhere([&](const part_occurrence& item) { return item.crash_id == id; });
}

void part_evidence::evict_occurrences() {
    evict_from_oldest(false);
    evict_from_oldest(true);
}

void part_evidence::evict_from_oldest(bool evicts_repeated) {
    const std::size_t target = m_options.max_occurrences - m_options.max_occurrences / 4;
    if (m_occurrence_count <= target) {
        return;
    }
    std::map<std::uint64_t, std::size_t> evictable;
    for (const auto& [part, occurrences] : m_parts) {
        for (const part_occurrence& item : occurrences) {
            evictable[item.crash_id] += evicts_repeated || occurrences.size() == 1 ? 1 : 0;
        }
    }
    std::vector<std::pair<wall_time, std::uint64_t>> oldest_first;
    for (const auto& [id, crash] : m_crashes) {
        oldest_first.emplace_back(crash.moment, id);
    }
    std::sort(oldest_first.begin(), oldest_first.end());
    std::set<std::uint64_t> chosen;
    std::size_t left = m_occurrence_count;
    for (auto next = oldest_first.begin(); next != oldest_first.end() && left > target; ++next) {
        chosen.insert(next->second);
        left -= evictable[next->second];
    }
    for (auto position = m_parts.begin(); position != m_parts.end();) {
        const bool is_evictable = evicts_repeated || position->second.size() == 1;
        position = remove_occurrences(
            position, [&](const part_occurrence& item) { return is_evictable && chosen.contains(item.crash_id); });
    }
}

void part_evidence::note_change(prompt_part_id part, std::size_t before, std::size_t after) {
    if (std::max(before, after) < m_options.repeated_crashes) {
        return;
    }
    ++m_generation;
    if (after >= m_options.repeated_crashes) {
        m_repeated.insert(part);
    } else {
        m_repeated.erase(part);
    }
}

} // namespace dragonflywell::policy
