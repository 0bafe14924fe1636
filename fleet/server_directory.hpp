#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "core/clock.hpp"
#include "fleet/list_reachability.hpp"
#include "fleet/server_record.hpp"

namespace dragonflywell::fleet {

/// A backend server of the list, as this host believes it to be.
struct listed_server {
    server_record record;
    /// When the entry changed last, by this host's clock.
    steady_time changed_at{};
    /// The entry may have lapsed while the list was out of reach, so that the server may be alive.
    bool is_missing{false};
    /// Another server answered at its address, so that nothing may be sent there under this entry.
    bool is_address_taken{false};
};

/// How an entry of the list changed.
enum class directory_change : std::uint8_t { none, added, restarted, changed, draining, missing, removed };

/// The list of backend servers as followed from the store. Pure state; not thread safe.
///
/// While the list is out of reach, what is known holds: a server that was seen draining or gone stays so.
class server_directory {
public:
    explicit server_directory(list_reachability_options options = {}) : m_contact(options) {}

    /// Takes a server's newest entry. Returns how it changed.
    directory_change apply(const server_record& record, steady_time now);

    /// Takes that the entry of a server was removed. Returns how it changed.
    directory_change remove(const backend_server_name& id, steady_time now);

    /// Takes the complete list: entries that are not in `ids` count as removed. Returns the servers that were.
    std::vector<backend_server_name> retain(const std::set<backend_server_name>& ids, steady_time now);

    /// Returns when the list was reached, to be told of each read and of each call that failed.
    [[nodiscard]] list_reachability& get_contact() noexcept { return m_contact; }

    /// Drops entries that were missing and did not come back in time; they are not usable from then on, whether
    /// this is called or not. Returns the servers dropped.
    std::vector<backend_server_name> expire(steady_time now);

    /// Notes that another server answered at this one's address. The entry is not used until it changes.
    void mark_address_taken(const backend_server_name& id);

    /// Returns whether new work may be sent to it.
    [[nodiscard]] bool is_usable(const listed_server& server, steady_time now) const {
        const bool is_gone = server.is_missing && m_contact.is_grace_over(now);
        return !server.record.is_draining && !server.is_address_taken && !is_gone;
    }

    /// Returns the server, or null.
    [[nodiscard]] const listed_server* find(const backend_server_name& id) const;
    /// Returns all servers, in order of their id.
    [[nodiscard]] const std::map<backend_server_name, listed_server>& get_servers() const noexcept { return m_servers; }

    /// Grows with each change that matters for where requests may go.
    [[nodiscard]] std::uint64_t get_generation() const noexcept { return m_generation; }

private:
    void displace_others(const server_record& record);

    list_reachability m_contact;
    std::map<backend_server_name, listed_server> m_servers;
    std::uint64_t m_generation{0};
};

} // namespace dragonflywell::fleet
