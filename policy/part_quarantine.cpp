#include "policy/part_quarantine.hpp"

#include <algorithm>
#include <tuple>

namespace dragonflywell::policy {

namespace {

/// Mixes the bits of a hash so far with those of a number.
std::uint64_t mix(std::uint64_t hash, std::uint64_t number) {
    constexpr std::uint64_t multiplier = 0x9e3779b97f4a7c15;
    constexpr int shift = 32;
    hash = (hash ^ number) * multiplier;
    return hash ^ (hash >> shift);
}

/// Returns the bit of a request, from all its shared parts. Requests with different parts rarely have the same one, and
/// parts that must be told apart occur in several crashes.
std::uint64_t get_request_bit(std::span<const prompt_part_id> parts) {
    constexpr std::uint64_t bits = 64;
    std::uint64_t hash = parts.size();
    for (const prompt_part_id part : parts) {
        hash = mix(hash, part);
    }
    return std::uint64_t{1} << (hash % bits);
}

std::uint64_t get_requests(const part_crash& crash) {
    return crash.requests != 0 ? crash.requests : get_request_bit(crash.parts);
}

/// Returns a hash of the requests and crashes in which a part occurred, whatever their order.
std::uint64_t get_signature(std::span<const part_occurrence> occurrences) {
    std::uint64_t signature = 0;
    for (const part_occurrence& item : occurrences) {
        signature += mix(mix(0, item.crash_id), item.requests);
    }
    return signature;
}

} // namespace

bool part_quarantine::record_crash(const part_crash& crash) {
    const std::uint64_t requests = get_requests(crash);
    bool is_new = false;
    for (const prompt_part_id part : crash.parts) {
        if (is_cleared(part, crash.moment)) {
            continue;
        }
        is_new |= m_evidence.add(part, {.crash_id = crash.crash_id, .requests = requests, .moment = crash.moment});
    }
    m_next_expiry_at = std::min(m_next_expiry_at, crash.moment + m_options.retention);
    return is_new;
}

std::vector<part_clearance> part_quarantine::record_answer(std::span<const prompt_part_id> parts, wall_time now) {
    std::vector<part_clearance> cleared;
    for (const prompt_part_id part : parts) {
        if (m_evidence.contains(part)) {
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

void part_quarantine::clear(const part_clearance& clearance) {
    const auto [known, is_new] = m_cleared.try_emplace(clearance.part, clearance.moment);
    if (!is_new) {
        m_cleared_by_time.erase({known->second, clearance.part});
        known->second = clearance.moment;
    }
    m_cleared_by_time.emplace(clearance.moment, clearance.part);
    if (m_cleared.size() > m_options.max_cleared) {
        m_cleared.erase(m_cleared_by_time.begin()->second);
        m_cleared_by_time.erase(m_cleared_by_time.begin());
    }
    m_evidence.remove_until(clearance.part, clearance.moment);
}

bool part_quarantine::is_refused(std::span<const prompt_part_id> parts, wall_time now) {
    if (get_blamed(now).empty()) {
        return false;
    }
    // A prompt may list a part more than once.
    std::set<std::pair<std::size_t, prompt_part_id>> found;
    for (const prompt_part_id part : parts) {
        if (const auto group = m_blamed_group.find(part); group != m_blamed_group.end()) {
            found.emplace(group->second, part);
        }
    }
    std::map<std::size_t, std::size_t> counts;
    for (const auto& [group, part] : found) {
        ++counts[group];
    }
    return std::any_of(counts.begin(), counts.end(),
                       [&](const auto& item) { return item.second == m_blamed[item.first].size(); });
}

const std::vector<part_quarantine::part_group>& part_quarantine::get_blamed(wall_time now) {
    discard_old(now);
    if (m_blamed_generation != m_evidence.get_generation()) {
        update_blamed();
        m_blamed_generation = m_evidence.get_generation();
    }
    return m_blamed;
}

void part_quarantine::discard_old(wall_time now) {
    if (now < m_next_expiry_at) {
        return;
    }
    const wall_time oldest = now - m_options.retention;
    m_evidence.remove_crashes_until(oldest);
    while (!m_cleared_by_time.empty() && m_cleared_by_time.begin()->first <= oldest) {
        m_cleared.erase(m_cleared_by_time.begin()->second);
        m_cleared_by_time.erase(m_cleared_by_time.begin());
    }
    m_next_expiry_at = wall_time::max();
    for (const auto& [id, crash] : m_evidence.get_crashes()) {
        m_next_expiry_at = std::min(m_next_expiry_at, crash.moment + m_options.retention);
    }
}

std::vector<part_quarantine::part_class> part_quarantine::get_repeated_classes() const {
    std::unordered_map<std::uint64_t, std::size_t> indexes;
    for (const auto& [id, crash] : m_evidence.get_crashes()) {
        indexes.emplace(id, indexes.size());
    }
    std::vector<part_class> classes;
    std::unordered_map<std::uint64_t, std::size_t> class_of;
    for (const prompt_part_id part : m_evidence.get_repeated()) {
        const std::span<const part_occurrence> occurrences = m_evidence.get_occurrences(part);
        const auto [known, is_new] = class_of.try_emplace(get_signature(occurrences), classes.size());
        if (is_new) {
            part_class& added = classes.emplace_back();
            for (const part_occurrence& item : occurrences) {
                added.unexplained.set(indexes.at(item.crash_id));
            }
        }
        classes[known->second].parts.push_back(part);
    }
    return classes;
}

void part_quarantine::update_blamed() {
    m_blamed.clear();
    m_blamed_group.clear();
    std::vector<part_class> classes = get_repeated_classes();
    const auto explains_too_few = [&](const part_class& item) {
        return item.unexplained.count() < m_options.crashes_to_blame;
    };
    const auto explains_fewer = [](const part_class& left, const part_class& right) {
        return left.unexplained.count() < right.unexplained.count();
    };
    while (!classes.empty()) {
        const crash_set explained = std::max_element(classes.begin(), classes.end(), explains_fewer)->unexplained;
        for (part_class& item : classes) {
            if (item.unexplained == explained) {
                blame(std::move(item.parts));
            }
            item.unexplained &= ~explained;
        }
        std::erase_if(classes, explains_too_few);
    }
}

void part_quarantine::blame(part_group parts) {
    std::sort(parts.begin(), parts.end());
    for (const prompt_part_id part : parts) {
        m_blamed_group.emplace(part, m_blamed.size());
    }
    m_blamed.push_back(std::move(parts));
}

bool part_quarantine::is_of_blamed_part(const part_crash& crash, wall_time now) {
    return !get_blamed(now).empty() && std::any_of(crash.parts.begin(), crash.parts.end(),
                                                   [&](prompt_part_id part) { return m_blamed_group.contains(part); });
}

std::vector<part_crash> part_quarantine::get_blamed_crashes(wall_time now, std::size_t most) {
    std::vector<part_crash> crashes;
    for (const part_group& group : get_blamed(now)) {
        const std::span<const prompt_part_id> announced(group.data(), std::min(group.size(), max_announced_parts));
        for (const part_occurrence& item : m_evidence.get_occurrences(group.front())) {
            crashes.push_back({.crash_id = item.crash_id,
                               .parts = {announced.begin(), announced.end()},
                               .moment = item.moment,
                               .requests = item.requests});
        }
    }
    std::sort(crashes.begin(), crashes.end(),
              [](const part_crash& left, const part_crash& right) { return left.moment > right.moment; });
    if (crashes.size() > most) {
        crashes.resize(most);
    }
    return crashes;
}

part_crash part_quarantine::shorten(const part_crash& crash) const {
    part_crash announced{
        .crash_id = crash.crash_id, .parts = {}, .moment = crash.moment, .requests = get_requests(crash)};
    if (crash.parts.size() <= max_announced_parts) {
        announced.parts = crash.parts;
        return announced;
    }
    std::vector<std::pair<std::size_t, prompt_part_id>> ranked;
    for (const prompt_part_id part : crash.parts) {
        ranked.emplace_back(m_evidence.get_occurrences(part).size(), part);
    }
    const auto is_before = [](const auto& left, const auto& right) {
        return std::tuple(right.first, left.second) < std::tuple(left.first, right.second);
    };
    std::sort(ranked.begin(), ranked.end(), is_before);
    ranked.resize(max_announced_parts);
    for (const auto& [crashes, part] : ranked) {
        announced.parts.push_back(part);
    }
    return announced;
}

} // namespace dragonflywell::policy
