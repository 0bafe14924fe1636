#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "core/clock.hpp"
#include "fleet/server_record.hpp"

namespace dragonflywell::fleet {

struct server_directory_options {
    /// How long after the list is reachable again a live server may take to write its entry anew.
    duration return_grace{std::chrono::milliseconds(2000)};
};

/// A backend server of the list, as this host believes it to be.
struct listed_server {
    server_record record;
    /// When the entry changed last, by this host's clock.
    steady_time changed_at{};
    /// The entry is missing since the list was out of reach; until then the server may still be alive.
    std::optional<steady_time> gone_unless_back_by;
    /// Another server answered at its address, so that nothing may be sent there under this entry.
    bool is_displaced{false};
};

/// How an entry of the list changed.
enum class directory_change : std::uint8_t { none, added, restarted, changed, draining, missing, removed };

/// The list of backend servers as followed from the store. Pure state; not thread safe.
///
/// While the list is out of reach, what is known holds: a server that was seen draining or gone stays so.
class server_directory {
public:
    explicit server_directory(server_directory_options options = {}) : m_options(options) {}

    /// Takes a server's newest entry. Returns how it changed.
    directory_change apply(const server_record& record, steady_time now);

    /// Takes that the entry of a server was removed. Returns how it changed.
    directory_change remove(const backend_server_name& id, steady_time now);

    /// Takes the complete list: entries that are not in `ids` count as removed. Returns the servers that were.
    std::vector<backend_server_name> retain(const std::set<backend_server_name>& ids, steady_time now);

    /// Notes that the list cannot be read, or that it can be again. Idempotent.
    void set_reachable(bool is_reachable, steady_time now);

    /// Drops entries that were missing and did not come back in time. Returns the servers dropped.
    std::vector<backend_server_name> expire(steady_time now);

    /// Notes that another server answered at this one's address. The entry is not used until it changes.
    void set_displaced(const backend_server_name& id);

    /// Returns whether new work may be sent to it.
    [[nodiscard]] static bool is_usable(const listed_server& server) noexcept {
        return !server.record.is_draining && !server.is_displaced;
    }

    /// Returns the server, or null.
    [[nodiscard]] const listed_server* find(const backend_server_name& id) const;
    /// Returns all servers, in order of their id.
    [[nodiscard]] const std::map<backend_server_name, listed_server>& get_servers() const noexcept { return m_servers; }

    /// Grows with each change that matters for where requests may go.
    [[nodiscard]] std::uint64_t get_generation() const noexcept { return m_generation; }

private:
    void displace_others(const server_record& record);

    server_directory_options m_options;
    std::map<backend_server_name, listed_server> m_servers;
    bool m_is_reachable{true};
    /// When the list could be read again after an outage.
    std::optional<steady_time> m_returned_at;
    std::uint64_t m_generation{0};
};

} // namespace dragonflywell::fleet
