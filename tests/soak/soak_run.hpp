#pragma once

#include <boost/asio/io_context.hpp>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "soak/configuration_checker.hpp"
#include "soak/invariant_checker.hpp"
#include "soak/soak_caller.hpp"
#include "soak/soak_host.hpp"
#include "soak/soak_platform.hpp"
#include "soak/soak_server.hpp"
#include "soak/store_restorer.hpp"

namespace dragonflywell::soak {

struct soak_options {
    std::uint64_t seed{1};
    /// Length of the period in which faults are injected.
    duration faults{std::chrono::seconds(16)};
    std::size_t hosts{4};
    std::size_t engines{6};
    std::size_t instances{3};
    std::size_t callers{12};
    /// Number of times that the store returns from an older copy.
    std::size_t restores{0};
    std::string program;
    std::string folder;
};

/// Result of a run.
struct soak_result {
    std::vector<std::string> violations;
    std::map<std::string, int> faults;
    std::size_t requests{0};
    std::size_t served{0};
    std::size_t reports{0};
};

/// One run of real daemons with faults that are chosen by a seeded random generator. Everything except the daemons runs
/// on one event loop.
class soak_run {
public:
    explicit soak_run(soak_options options);

    /// Runs the whole test. Throws `std::system_error` when a daemon cannot be started.
    [[nodiscard]] soak_result run();

private:
    /// One kind of fault or planned operation.
    struct fault {
        std::string name;
        bool is_planned{false};
        std::function<asio::awaitable<void>()> inject;
    };

    asio::awaitable<void> run_phases();
    asio::awaitable<void> wait_until_ready();
    asio::awaitable<void> inject_faults();
    asio::awaitable<void> stop_host(soak_host& host);
    asio::awaitable<void> call_late(soak_host& host);
    asio::awaitable<void> restore_store();
    asio::awaitable<void> check_recovery();
    asio::awaitable<void> watch_hosts();
    asio::awaitable<void> check_ready(soak_host& host);
    asio::awaitable<void> check_configuration(soak_host& host);
    asio::awaitable<void> inject_fault(const fault& chosen);
    asio::awaitable<void> remove_server(soak_server& server, duration stays);

    [[nodiscard]] std::vector<fault> make_faults();
    [[nodiscard]] bool is_planned_only() const;
    void publish();
    void revoke_key();
    [[nodiscard]] duration draw_length(duration least, duration most);
    soak_host& draw_host();
    soak_server& draw_server();

    soak_options m_options;
    host_clock m_time;
    asio::io_context m_loop{1};
    std::mt19937_64 m_random;
    invariant_checker m_checker;
    soak_platform m_platform;
    prompt_handles m_prompts;
    std::vector<std::unique_ptr<soak_host>> m_hosts;
    std::vector<std::unique_ptr<soak_server>> m_servers;
    std::vector<std::unique_ptr<soak_caller>> m_callers;
    std::map<std::string, std::set<std::string>> m_keys;
    std::map<std::string, steady_time> m_revoked_at;
    std::map<std::string, int> m_fault_counts;
    soak_caller_context m_context;
    /// Number of unplanned faults in progress.
    int m_unplanned_faults{0};
    configuration_checker m_configurations;
    store_restorer m_restorer;
    std::size_t m_restores_left;
    /// Number of callers that were started for stops, which names them.
    int m_late_callers{0};
};

} // namespace dragonflywell::soak
