#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <spdlog/logger.h>
#include <string>

#include "core/clock.hpp"
#include "core/metrics.hpp"
#include "fleet/server_directory.hpp"
#include "fleet/serving_view.hpp"
#include "policy/crash_attribution.hpp"
#include "policy/quarantine.hpp"
#include "policy/retry_budget.hpp"
#include "policy/server_health.hpp"
#include "policy/stall_detector.hpp"
#include "policy/usage_counter.hpp"
#include "policy/usage_delegation.hpp"
#include "servers/backend_codec.hpp"
#include "servers/backend_connection_pool.hpp"
#include "servers/peer_state.hpp"
#include "servers/request_counters.hpp"
#include "servers/service_engines.hpp"

namespace dragonflywell::servers {

struct serving_options {
    std::string own_host;
    zone_name own_zone;
    duration usage_window{std::chrono::seconds(5)};
    /// How long after a window's end this host waits until it records its usage itself where another may do it.
    duration fallback_record_delay{};
    /// Repeats that the whole system may make for each request to a service, and besides, in one window.
    double retries_per_request{0.2};
    double base_retries{0};
    duration retry_window{std::chrono::seconds(10)};
    /// How long entries of the list of backend servers may be missing after an outage.
    fleet::list_reachability_options list_reachability{};
    /// When the process started. What it may repeat besides grows over the first window, since what the process before
    /// it has spent is not known; with an early moment all of it is there at once.
    steady_time started_at{};
};

/// What the requests of one event loop share. Not thread safe.
class serving_state {
public:
    /// Preconditions: clock, pool, dialect and registry outlive the state.
    serving_state(asio::any_io_executor executor, const clock_source& time, backend_connection_pool& connections,
                  const backend_codec& dialect, metrics_registry& metrics, serving_options options);

    /// Puts a configuration in force. Precondition: it is newer than the one before.
    void set_view(std::shared_ptr<const fleet::serving_view> view);
    /// Returns the configuration in force, or null.
    [[nodiscard]] const std::shared_ptr<const fleet::serving_view>& get_view() const noexcept { return m_view; }

    /// Takes over changes of the directory. Called after each of them.
    void refresh_servers();

    /// Returns the engines of a service, or null when it has none.
    [[nodiscard]] service_engines* find_engines(const service_name& service);
    [[nodiscard]] std::map<service_name, service_engines>& get_engines() noexcept { return m_engines; }

    /// Returns whether a server belongs to the group of hosts that this one is in.
    [[nodiscard]] bool is_own_group_server(const backend_server_name& server) const;
    /// Returns whether the list permits that work is sent to a server.
    [[nodiscard]] bool is_listed(const backend_server_name& server) const;
    /// Returns whether work may be sent to a server now: it is listed and has not failed lately.
    [[nodiscard]] bool is_usable(const backend_server_name& server) const;

    /// Returns whether a server is used only where no other is left: a request waits there without an answer for too
    /// long, or enough hosts of the group have seen it fail or refuse lately. One host alone may be the one whose own
    /// link is at fault.
    [[nodiscard]] bool is_degraded(const backend_server_name& server) const;

    /// Returns the servers that this host leaves alone, each with the time that is left, for other hosts.
    [[nodiscard]] std::map<backend_server_name, duration> get_ejected() const;

    /// Notes that an engine is changing to a stage; it is not used until the list says that it has, or until then.
    void begin_stage_change(const backend_server_name& engine, fleet::engine_stage stage, steady_time until);
    void end_stage_change(const backend_server_name& engine) { m_changing.erase(engine); }
    [[nodiscard]] bool is_changing_stage(const backend_server_name& engine) const;

    /// Returns the changes that this host has ordered and that are still under way, for other hosts.
    [[nodiscard]] std::map<backend_server_name, digest_transition> get_own_transitions() const;

    /// Returns the budget for repeats of a service.
    [[nodiscard]] policy::retry_budget& get_retry_budget(const service_name& service);
    /// Sets how many hosts share the budgets.
    void set_host_count(std::size_t hosts);

    /// Returns the cost of all prompts that this host and the others have got since this host watches them.
    [[nodiscard]] duration get_prefill_demand(const service_name& service) const;

    /// Returns the same for the hosts of this host's group only.
    [[nodiscard]] duration get_group_prefill_demand(const service_name& service) const;
    /// Returns what other groups should know of the engines of this one.
    [[nodiscard]] group_summary get_group_summary(const service_name& service) const;

    /// Returns how many requests generate on a service's engines, for all hosts, as far as known.
    [[nodiscard]] double get_running(const service_name& service) const;

    /// Notes up to which moment the configuration, or the list of backend servers, is known to be complete here.
    void set_configuration_current_at(steady_time at) noexcept { m_configuration_known_at = at; }
    void set_servers_current_at(steady_time at) noexcept { m_servers_known_at = at; }
    /// Returns how old what this host knows of them is.
    [[nodiscard]] duration get_configuration_age() const { return time.now() - m_configuration_known_at; }
    [[nodiscard]] duration get_servers_age() const { return time.now() - m_servers_known_at; }

    /// Returns the time of day as this host believes it to be, whatever its wall clock was set to meanwhile.
    [[nodiscard]] wall_time get_corrected_time() const;
    /// Corrects that time by what other hosts say.
    void adjust_corrected_time(duration by) noexcept { m_true_offset += by; }

    /// Returns how many requests of all hosts are on an instance, as far as known.
    [[nodiscard]] std::uint32_t get_in_flight(const backend_server_name& server) const;
    [[nodiscard]] const instance_counts& get_own_in_flight() const noexcept { return m_own_in_flight; }
    /// Forgets a host that fell silent.
    void remove_host(const std::string& host);

    /// Counts one request on a server for as long as it lives.
    class in_flight_guard {
    public:
        in_flight_guard(serving_state& state, backend_server_name server);
        in_flight_guard(const in_flight_guard&) = delete;
        in_flight_guard& operator=(const in_flight_guard&) = delete;
        in_flight_guard(in_flight_guard&&) = delete;
        in_flight_guard& operator=(in_flight_guard&&) = delete;
        ~in_flight_guard();

    private:
        serving_state* m_state;
        backend_server_name m_server;
    };

    /// The event loop that all of this belongs to.
    const asio::any_io_executor executor;
    const clock_source& time;
    backend_connection_pool& connections;
    const backend_codec& codec;
    const serving_options options;
    fleet::server_directory directory{options.list_reachability};
    peer_state peers;
    policy::server_health health;
    policy::usage_counter usage;
    policy::usage_delegation delegation{options.fallback_record_delay};
    policy::stall_detector silence;
    policy::crash_attribution crashes;
    policy::quarantine suspects{{.crashes_to_refuse = 3, .retention = std::chrono::minutes(10)}};
    request_counters counters;
    std::shared_ptr<spdlog::logger> log;
    bool is_stopping{false};
    /// Called when this host's work on backend servers has changed; may be empty.
    std::function<void()> on_load_change;
    /// Prompts sent to engines that other hosts have not been told of yet.
    std::vector<digest_prefix_access> prefix_accesses;

    /// Notes that a server is gone, cannot be reached or has started anew, and holds it against what ran there.
    void record_server_down(const backend_server_name& server);

    /// Notes a change of this host's work on backend servers.
    void notify_load_change() const {
        if (on_load_change) {
            on_load_change();
        }
    }

private:
    [[nodiscard]] policy::retry_budget_options get_budget_options() const;

    /// What the time of day is ahead of the clock that counts suspension. Taken once: a wall clock may be set later.
    duration m_true_offset{};
    std::shared_ptr<const fleet::serving_view> m_view;
    steady_time m_configuration_known_at{};
    steady_time m_servers_known_at{};
    std::map<service_name, service_engines> m_engines;
    stage_transitions m_changing;
    std::map<service_name, std::unique_ptr<policy::retry_budget>> m_budgets;
    /// Hosts that share the budgets; zero until they are known.
    std::size_t m_hosts{0};
    instance_counts m_own_in_flight;
};

} // namespace dragonflywell::servers
