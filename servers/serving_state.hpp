#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <spdlog/logger.h>
#include <string>

#include "core/clock.hpp"
#include "core/metrics.hpp"
#include "fleet/serving_view.hpp"
#include "policy/crash_attribution.hpp"
#include "policy/group_load.hpp"
#include "policy/part_quarantine.hpp"
#include "policy/quarantine.hpp"
#include "policy/retry_budget.hpp"
#include "policy/server_eligibility.hpp"
#include "policy/server_health.hpp"
#include "policy/stall_detector.hpp"
#include "policy/stop_schedule.hpp"
#include "policy/usage_counter.hpp"
#include "policy/usage_delegation.hpp"
#include "servers/backend_codec.hpp"
#include "servers/backend_connection_pool.hpp"
#include "servers/crash_announcements.hpp"
#include "servers/instance_speeds.hpp"
#include "servers/organisation_quotas.hpp"
#include "servers/peer_state.hpp"
#include "servers/request_counters.hpp"
#include "servers/server_limits.hpp"
#include "servers/service_engines.hpp"

namespace dragonflywell::servers {

class backend_exchange;
class tracked_exchange;

struct serving_options {
    std::string own_host;
    zone_name own_zone;
    /// Identifies the run of the process among those of this host.
    std::uint64_t incarnation{1};
    /// By how much the usage of an organisation may exceed its quota.
    policy::quota_tolerance quota_tolerance{};
    /// Whether the whole system starts for the first time.
    bool is_first_start{false};
    duration usage_window{std::chrono::seconds(5)};
    /// How long after the end of a window this host waits before it records its own usage, where another host may
    /// record it for the group.
    duration fallback_record_delay{};
    /// Retry budget of a service for all hosts together: retries per request, and a base number of retries in each
    /// window that does not depend on requests.
    double retries_per_request{0.2};
    double base_retries{0};
    duration retry_window{std::chrono::seconds(10)};
    policy::server_eligibility_options eligibility{};
    /// When the process started. The base part of the retry budget grows from zero over the first window, because what
    /// the previous process spent is not known. With an early time the whole base is available at once.
    steady_time started_at{};
    /// Whether requests are placed by the speeds that this host has learned of backend servers.
    bool learns_server_speeds{true};
};

/// State that the requests of one event loop share. Not thread safe.
class serving_state {
public:
    /// Preconditions: clock, pool, codec and registry outlive the state.
    serving_state(asio::any_io_executor executor, const clock_source& time, backend_connection_pool& connections,
                  const backend_codec& codec, metrics_registry& metrics, serving_options options);

    /// Activates a configuration. Precondition: it is newer than the active one.
    void set_view(std::shared_ptr<const fleet::serving_view> view);
    /// Returns the active configuration, or null.
    [[nodiscard]] const std::shared_ptr<const fleet::serving_view>& get_view() const noexcept { return m_view; }

    /// Applies changes of the list of servers to the engine load trackers. Called after each change.
    void refresh_servers();

    /// Returns the engines of a service, or null when it has none.
    [[nodiscard]] service_engines* find_engines(const service_name& service);
    [[nodiscard]] std::map<service_name, service_engines>& get_engines() noexcept { return m_engines; }

    /// Returns whether a server is assigned to the group of this host.
    [[nodiscard]] bool is_own_group_server(const backend_server_name& server) const;
    /// Returns whether new work may be sent to a server now: it is eligible, and not changing its stage. Asked when a
    /// server is chosen, and once more when the request is sent.
    [[nodiscard]] bool may_get_work(const backend_server_name& server) const;
    /// Applies what an incarnation of a server said of itself in a response to a request of that time.
    void apply_notice(const backend_server_name& server, std::uint64_t incarnation, const server_notice& notice,
                      steady_time sent_at);
    /// Returns how long a caller should wait when no server of the service is available: until the first pause that a
    /// server asked for ends, spread so that the callers do not return at once, or `limited`, the time after which the
    /// limit of a server has room, or `fallback`.
    [[nodiscard]] duration get_retry_after(const service_name& service, duration fallback,
                                           std::optional<duration> limited = {}) const;
    /// Returns whether requests should be sent to a server now: it may get work and is not ejected after a failure.
    [[nodiscard]] bool is_usable(const backend_server_name& server) const;

    /// Returns whether a server is used only where no healthy one is left: a request there is stalled, or enough hosts
    /// of the group have recently seen it fail or refuse. The failure of one host alone is not enough, because the
    /// network link of that host may be the cause.
    [[nodiscard]] bool is_degraded(const backend_server_name& server) const;

    /// Returns the servers that this host has ejected or that are stalled, each with the remaining time, for the digest
    /// to other hosts.
    [[nodiscard]] std::map<backend_server_name, duration> get_ejected() const;

    /// Records that an engine is changing to a stage. The engine is not used until the list shows the new stage, or
    /// until the given time.
    void begin_stage_change(const backend_server_name& engine, fleet::engine_stage stage, steady_time until);
    void end_stage_change(const backend_server_name& engine) { m_stage_changes.erase(engine); }
    [[nodiscard]] bool is_changing_stage(const backend_server_name& engine) const;

    /// Returns the stage changes that this host has ordered and that are still under way, for the digest to other
    /// hosts.
    [[nodiscard]] std::map<backend_server_name, digest_transition> get_own_transitions() const;

    /// Returns the retry budget of a service.
    [[nodiscard]] policy::retry_budget& get_retry_budget(const service_name& service);
    /// Sets how many hosts share the retry budgets.
    void set_host_count(std::size_t hosts);

    /// Returns the total prefill time of the prompts that all known hosts have received since this process started or
    /// first got their digests.
    [[nodiscard]] duration get_prefill_demand(const service_name& service) const;

    /// Returns the same total for the hosts of the own group only.
    [[nodiscard]] duration get_group_prefill_demand(const service_name& service) const;
    /// Returns the load of the engines of the own group, for other groups.
    [[nodiscard]] policy::group_load get_group_load(const service_name& service) const;

    /// Returns how many requests are generating on the engines of a service, over all known hosts.
    [[nodiscard]] double get_running(const service_name& service) const;

    /// Sets the time up to which the configuration is known to be current on this host.
    void set_configuration_current_at(steady_time at) noexcept { m_configuration_current_at = at; }
    /// Returns the time since the configuration was known to be current.
    [[nodiscard]] duration get_configuration_age() const { return time.now() - m_configuration_current_at; }

    /// Begins a graceful stop: requests are accepted and ended as the schedule says.
    void begin_stop(const policy::stop_schedule& schedule) noexcept { m_stop = schedule; }
    [[nodiscard]] bool is_stopping() const noexcept { return m_stop.has_value(); }
    /// Returns whether a request that arrives now and takes at most `time_left` may be accepted.
    [[nodiscard]] bool may_accept(duration time_left) const;
    /// Returns how long requests may still run until they are ended because the process stops; the largest duration
    /// while it does not stop.
    [[nodiscard]] duration get_work_time_left() const;
    /// Ends the exchanges of all requests, so that each request is refused at once. Called at the end of the work of
    /// the schedule.
    void end_work();

    /// Registers the exchange of a request during its lifetime, so that `end_work` can end it.
    class running_exchange {
    public:
        running_exchange(serving_state& state, backend_exchange& exchange);
        running_exchange(const running_exchange&) = delete;
        running_exchange& operator=(const running_exchange&) = delete;
        running_exchange(running_exchange&&) = delete;
        running_exchange& operator=(running_exchange&&) = delete;
        ~running_exchange();

    private:
        serving_state* m_state;
        backend_exchange* m_exchange;
    };

    /// Returns the time of day as corrected by other hosts. It does not follow later changes of the wall clock.
    [[nodiscard]] wall_time get_corrected_time() const;
    /// Adds an offset that was derived from the clocks of other hosts.
    void adjust_corrected_time(duration by) noexcept { m_corrected_offset += by; }

    /// Returns how many requests of all known hosts are in flight on an instance.
    [[nodiscard]] std::uint32_t get_in_flight(const backend_server_name& server) const;
    [[nodiscard]] const instance_counts& get_own_in_flight() const noexcept { return m_own_in_flight; }
    /// Removes the state of an unresponsive host.
    void remove_host(const std::string& host);

    /// Counts one in-flight request on a server during its lifetime.
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

    /// The event loop on which the whole state is used.
    const asio::any_io_executor executor;
    const clock_source& time;
    backend_connection_pool& connections;
    const backend_codec& codec;
    const serving_options options;
    policy::server_eligibility eligibility{options.eligibility};
    peer_state peers;
    policy::server_health health;
    policy::usage_counter usage;
    organisation_quotas quotas;
    server_limits limits;
    policy::usage_delegation delegation{options.fallback_record_delay};
    policy::stall_detector stalls;
    /// Speeds of the instances of plain services. Entries are not removed, since running requests refer to them.
    std::map<service_name, instance_speeds> speeds;
    policy::crash_attribution crashes;
    /// The exchanges that run, by server.
    std::map<backend_server_name, std::set<tracked_exchange*>> tracked_exchanges;
    policy::quarantine suspects{{.crashes_to_refuse = 3, .retention = std::chrono::minutes(10)}};
    policy::part_quarantine part_suspects;
    /// Servers to which a probe for a crash is in progress.
    std::set<backend_server_name> probed_servers;
    request_counters counters;
    std::shared_ptr<spdlog::logger> log;
    /// Called when the load that this host puts on backend servers has changed; may be empty.
    std::function<void()> on_load_change;
    /// Prompts sent to engines since the last digest to other hosts.
    std::vector<digest_prefix_access> prefix_accesses;

    /// Records that a server is down, and adds a crash to the quarantine for each request that it left without a whole
    /// answer, as far as the proof goes.
    void record_server_down(const backend_server_name& server, policy::down_proof proof = policy::down_proof::ended);

    /// Records that a prompt with these parts got a complete answer, which clears the parts of suspicion.
    void record_prompt_answer(std::span<const policy::prompt_part_id> parts);

    /// Applies the crashes and clearances in the digest of another host. What is new from a host of the own group is
    /// announced to other groups.
    void apply_crashes(const host_digest& digest, bool is_own_group);

    /// Announces the crashes of refused requests and blamed parts to the group again, for a host that has restarted.
    void announce_refused_to_group();

    /// Crashes that the hosts of the own group, or those of other groups, are still to be told of. Each is announced by
    /// the host that observed it, and to other groups by the group of that host.
    crash_announcements group_announcements;
    crash_announcements intergroup_announcements;

    /// Notifies `on_load_change` that the load on backend servers has changed.
    void notify_load_change() const {
        if (on_load_change) {
            on_load_change();
        }
    }

private:
    [[nodiscard]] policy::retry_budget_options get_budget_options() const;
    /// Announces a crash with suspected prompt parts to all hosts.
    void announce_part_crash(const policy::part_crash& crash);
    /// Returns the records of blamed parts that other hosts are told again.
    [[nodiscard]] std::vector<policy::part_crash> get_blamed_crashes();
    /// Returns the requests that a server which is down may have crashed of, the likeliest ones first.
    [[nodiscard]] std::vector<policy::crash_suspect> take_crash_suspects(const backend_server_name& server,
                                                                         policy::down_proof proof);
    /// Logs each group of parts that is blamed and was not before. Returns whether there is one.
    bool log_blamed_parts();

    /// Offset of the corrected time of day from the clock that counts suspension. Its initial value is taken once,
    /// because the wall clock may be set later.
    duration m_corrected_offset{};
    std::shared_ptr<const fleet::serving_view> m_view;
    steady_time m_configuration_current_at{};
    std::map<service_name, service_engines> m_engines;
    stage_transitions m_stage_changes;
    std::map<service_name, std::unique_ptr<policy::retry_budget>> m_retry_budgets;
    /// Number of hosts that share the retry budgets; zero until it is known.
    std::size_t m_host_count{0};
    instance_counts m_own_in_flight;
    std::optional<policy::stop_schedule> m_stop;
    std::set<backend_exchange*> m_running_exchanges;
    /// Groups of prompt parts whose blame was logged.
    std::set<policy::part_quarantine::part_group> m_logged_blamed_parts;
};

} // namespace dragonflywell::servers
