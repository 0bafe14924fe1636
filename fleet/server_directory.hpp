#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "core/clock.hpp"
#include "fleet/list_reachability.hpp"
#include "fleet/server_record.hpp"

namespace dragonflywell::fleet {

/// A run of a server that is over.
struct ended_run {
    std::int64_t started_at_ms{};
    /// Whether it had announced its shutdown.
    bool is_draining{false};
};

/// A backend server of the list, as this host knows it.
struct listed_server {
    server_record record;
    /// Time of the last change of the entry, by this host's clock.
    steady_time changed_at{};
    /// Whether the entry is missing but may have expired only because the list was unreachable, so that the server may
    /// still run.
    bool is_missing{false};
    /// The run before this one under the same id, while the entry was listed.
    std::optional<ended_run> previous_run;
    /// Number of the change with which this run became known. A later run has a higher one.
    std::uint64_t run{0};
};

/// The kind of change of an entry.
enum class directory_change : std::uint8_t { none, added, restarted, changed, draining, missing, removed };

/// The list of backend servers, kept up to date from the store. Pure state; not thread safe.
///
/// While the list is unreachable, the last known state applies: a server that was draining or removed stays so. Nothing
/// undoes what a run of a server has announced: neither an entry of an earlier run, nor one without its start, nor the
/// removal of its entry. An entry of a service that the configuration does not name changes nothing for the others, in
/// whichever order the two arrive.
class server_directory {
public:
    explicit server_directory(list_reachability_options options = {}) : m_reachability(options) {}

    /// Applies a server's newest entry. A run of a server that has announced its shutdown stays draining, and an entry
    /// of an earlier run than a known one is ignored. Returns how it changed.
    directory_change apply(const server_record& record, steady_time now);

    /// Applies an entry that may come from an older copy of the list. It does not undo what is known of the server: an
    /// entry of an earlier run, or of a run that was removed, is ignored. Returns how it changed.
    directory_change apply_copied(const server_record& record, steady_time now);

    /// Applies the removal of a server's entry. Returns how it changed.
    directory_change remove(const backend_server_name& id, steady_time now);

    /// Applies the complete list: entries that are not in `ids` count as removed. Returns the servers that were
    /// removed.
    std::vector<backend_server_name> retain(const std::set<backend_server_name>& ids, steady_time now);

    /// Returns the tracker of the list's reachability. The caller records each successful read and each failed call in
    /// it.
    [[nodiscard]] list_reachability& get_contact() noexcept { return m_reachability; }

    /// Drops missing entries whose grace period is over. They are unusable from that time on, even before this is
    /// called. Returns the dropped servers.
    std::vector<backend_server_name> expire(steady_time now);

    /// Sets the services of the configuration. Until it is called, every service counts as named.
    void set_named_services(std::set<service_name> services);

    /// Returns whether the entry of a named service that started later stands at the address of this one, which must be
    /// listed. Nothing may then be sent there for this entry.
    [[nodiscard]] bool is_address_taken(const listed_server& server) const;

    /// Returns whether the entry of a server is missing and not expected back.
    [[nodiscard]] bool has_expired(const listed_server& server, steady_time now) const {
        return server.is_missing && m_reachability.is_grace_over(now);
    }

    /// Returns the server, or null.
    [[nodiscard]] const listed_server* find(const backend_server_name& id) const;
    /// Returns the run of a server that ended last: the one before the listed one, or the one whose entry was removed.
    [[nodiscard]] std::optional<ended_run> find_ended_run(const backend_server_name& id) const;
    /// Returns all servers, in order of their id.
    [[nodiscard]] const std::map<backend_server_name, listed_server>& get_servers() const noexcept { return m_servers; }

    /// Returns a counter that grows with each change that affects where requests may go.
    [[nodiscard]] std::uint64_t get_generation() const noexcept { return m_generation; }

private:
    /// A run of a server whose entry was removed.
    struct removed_server {
        service_name service;
        ended_run run;
        steady_time removed_at{};
    };
    /// The start and the number of a run at an address: the highest one has the address.
    using address_claim = std::pair<std::int64_t, std::uint64_t>;

    [[nodiscard]] static address_claim get_claim(const listed_server& server) {
        return {server.record.started_at_ms, server.run};
    }
    [[nodiscard]] bool is_named(const service_name& service) const;
    /// Returns whether what is known of a run of `known` service holds for a newer entry of the same server.
    [[nodiscard]] bool holds_for(const service_name& known, const server_record& record) const {
        return known == record.service || is_named(known);
    }
    void add_claim(const listed_server& server);
    void remove_claim(const listed_server& server);
    /// Removes a server, and remembers for some time which run of it was removed.
    void erase(std::map<backend_server_name, listed_server>::iterator position, steady_time now);
    /// Returns whether an entry is of an earlier run of the server than a known one.
    [[nodiscard]] bool is_of_earlier_run(const server_record& record) const;
    /// Returns whether the run of an entry has announced its shutdown.
    [[nodiscard]] bool has_announced_shutdown(const server_record& record) const;

    list_reachability m_reachability;
    std::map<backend_server_name, listed_server> m_servers;
    std::map<backend_server_name, removed_server> m_removed;
    std::optional<std::set<service_name>> m_named_services;
    /// The claims of entries of named services on each address, and how many there are.
    std::map<endpoint, std::set<address_claim>> m_claims;
    std::size_t m_claim_count{0};
    std::uint64_t m_last_run{0};
    std::uint64_t m_generation{0};
};

} // namespace dragonflywell::fleet
