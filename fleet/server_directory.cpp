#include "fleet/server_directory.hpp"

#include <algorithm>
#include <utility>

namespace dragonflywell::fleet {

namespace {

/// How long it is remembered which servers were removed: longer than the age of a copy from which the store returns.
constexpr duration removed_memory = std::chrono::minutes(10);
/// Limit on the removed servers that are remembered.
constexpr std::size_t max_removed = 4096;

/// Compares the fields that affect requests. A remaining time that has merely decreased is no change.
bool is_same_server(const server_record& left, const server_record& right) {
    return left.service == right.service && left.address == right.address && left.zone == right.zone &&
           left.slots == right.slots && left.is_draining == right.is_draining && left.stage == right.stage &&
           left.is_cheap == right.is_cheap && left.started_at_ms == right.started_at_ms;
}

bool is_restart(const server_record& before, const server_record& after) {
    return before.started_at_ms != after.started_at_ms || before.address != after.address;
}

} // namespace

directory_change server_directory::apply(const server_record& record, steady_time now) {
    if (is_of_earlier_run(record)) {
        return directory_change::none;
    }
    const bool is_draining = record.is_draining || has_announced_shutdown(record);
    const auto [position, is_new] = m_servers.try_emplace(record.id);
    listed_server& server = position->second;
    const server_record before = server.record;
    const bool was_missing = server.is_missing;
    if (!is_new) {
        remove_claim(server);
    }
    server.record = record;
    server.record.is_draining = is_draining;
    server.is_missing = false;
    const bool is_new_run = is_new || is_restart(before, record);
    if (is_new_run) {
        if (!is_new) {
            server.previous_run = ended_run{.started_at_ms = before.started_at_ms, .is_draining = before.is_draining};
        }
        server.run = ++m_last_run;
        m_removed.erase(record.id);
    }
    add_claim(server);
    if (!is_new && !was_missing && is_same_server(before, server.record)) {
        return directory_change::none;
    }
    server.changed_at = now;
    ++m_generation;
    if (is_new_run) {
        return is_new ? directory_change::added : directory_change::restarted;
    }
    const bool starts_draining = is_draining && !before.is_draining;
    return starts_draining ? directory_change::draining : directory_change::changed;
}

directory_change server_directory::apply_copied(const server_record& record, steady_time now) {
    const auto removed = m_removed.find(record.id);
    const bool was_removed = removed != m_removed.end() && holds_for(removed->second.service, record) &&
                             record.started_at_ms <= removed->second.run.started_at_ms;
    return was_removed ? directory_change::none : apply(record, now);
}

bool server_directory::is_of_earlier_run(const server_record& record) const {
    if (const listed_server* known = find(record.id); known != nullptr) {
        return holds_for(known->record.service, record) && record.started_at_ms < known->record.started_at_ms;
    }
    const auto removed = m_removed.find(record.id);
    return removed != m_removed.end() && holds_for(removed->second.service, record) &&
           record.started_at_ms < removed->second.run.started_at_ms;
}

bool server_directory::has_announced_shutdown(const server_record& record) const {
    if (const listed_server* known = find(record.id); known != nullptr) {
        return holds_for(known->record.service, record) && known->record.is_draining &&
               known->record.started_at_ms == record.started_at_ms;
    }
    const auto removed = m_removed.find(record.id);
    return removed != m_removed.end() && holds_for(removed->second.service, record) &&
           removed->second.run.is_draining && removed->second.run.started_at_ms == record.started_at_ms;
}

void server_directory::erase(std::map<backend_server_name, listed_server>::iterator position, steady_time now) {
    std::erase_if(m_removed, [&](const auto& item) { return now - item.second.removed_at > removed_memory; });
    if (m_removed.size() >= max_removed) {
        m_removed.erase(std::min_element(m_removed.begin(), m_removed.end(), [](const auto& left, const auto& right) {
            return left.second.removed_at < right.second.removed_at;
        }));
    }
    const server_record& record = position->second.record;
    remove_claim(position->second);
    m_removed.insert_or_assign(position->first, removed_server{.service = record.service,
                                                               .run = {.started_at_ms = record.started_at_ms,
                                                                       .is_draining = record.is_draining},
                                                               .removed_at = now});
    m_servers.erase(position);
    ++m_generation;
}

directory_change server_directory::remove(const backend_server_name& id, steady_time now) {
    const auto found = m_servers.find(id);
    if (found == m_servers.end()) {
        return directory_change::none;
    }
    if (m_reachability.may_have_expired(now) && !found->second.record.is_draining) {
        found->second.is_missing = true;
        return directory_change::missing;
    }
    erase(found, now);
    return directory_change::removed;
}

std::vector<backend_server_name> server_directory::retain(const std::set<backend_server_name>& ids, steady_time now) {
    std::vector<backend_server_name> missing;
    for (const auto& [id, server] : m_servers) {
        if (!ids.contains(id)) {
            missing.push_back(id);
        }
    }
    std::erase_if(missing, [&](const backend_server_name& id) { return remove(id, now) != directory_change::removed; });
    return missing;
}

std::vector<backend_server_name> server_directory::expire(steady_time now) {
    std::vector<backend_server_name> expired;
    if (!m_reachability.is_grace_over(now)) {
        return expired;
    }
    for (const auto& [id, server] : m_servers) {
        if (server.is_missing) {
            expired.push_back(id);
        }
    }
    for (const backend_server_name& id : expired) {
        erase(m_servers.find(id), now);
    }
    return expired;
}

void server_directory::set_named_services(std::set<service_name> services) {
    if (m_named_services == services) {
        return;
    }
    m_named_services = std::move(services);
    m_claims.clear();
    m_claim_count = 0;
    for (const auto& [id, server] : m_servers) {
        add_claim(server);
    }
    ++m_generation;
}

bool server_directory::is_named(const service_name& service) const {
    return !m_named_services || m_named_services->contains(service);
}

std::optional<ended_run> server_directory::find_ended_run(const backend_server_name& id) const {
    if (const listed_server* listed = find(id); listed != nullptr) {
        return listed->previous_run;
    }
    const auto removed = m_removed.find(id);
    return removed == m_removed.end() ? std::nullopt : std::optional(removed->second.run);
}

bool server_directory::is_address_taken(const listed_server& server) const {
    const bool is_alone_at_each_address = m_claim_count == m_claims.size();
    if (is_alone_at_each_address) {
        return false;
    }
    const auto claims = m_claims.find(server.record.address);
    return claims != m_claims.end() && *claims->second.rbegin() > get_claim(server);
}

void server_directory::add_claim(const listed_server& server) {
    if (is_named(server.record.service)) {
        m_claims[server.record.address].insert(get_claim(server));
        ++m_claim_count;
    }
}

void server_directory::remove_claim(const listed_server& server) {
    const auto claims = m_claims.find(server.record.address);
    if (claims == m_claims.end() || claims->second.erase(get_claim(server)) == 0) {
        return;
    }
    --m_claim_count;
    if (claims->second.empty()) {
        m_claims.erase(claims);
    }
}

const listed_server* server_directory::find(const backend_server_name& id) const {
    const auto found = m_servers.find(id);
    return found == m_servers.end() ? nullptr : &found->second;
}

} // namespace dragonflywell::fleet
