#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "coordination/order_dispatcher.hpp"
#include "matrix_evidence.hpp"
#include "matrix_fault.hpp"
#include "support/fake_log.hpp"

namespace dragonflywell::testing {

/// Disables one safeguard, to show that the checker detects this.
enum class matrix_mutation {
    none,
    intent_not_read_back,
    sends_beside_unresolved_order,
    query_resolves_repeated_order,
    unresponsive_host_counts_as_terminated,
    engine_accepts_stale_number,
    condition_ignored,
    fence_ignored,
    snapshot_end_offset_too_high,
};

class matrix_process;

/// Simulates three hosts of one availability zone, their log, three receivers and true time. One thread drives
/// everything: while one process is paused inside a call, the others continue.
class matrix_simulation final : public coordination::host_liveness {
public:
    matrix_simulation(std::optional<fault_schedule> schedule, matrix_mutation mutation);
    ~matrix_simulation() override;

    /// Runs the whole scenario and returns the evidence.
    matrix_evidence run();

    [[nodiscard]] const fault_injector& get_injector() const noexcept { return m_injector; }

    // The following functions are used by the processes.
    std::optional<matrix_fault> get_fault(const std::string& step);
    [[nodiscard]] const virtual_clock& get_true_time() const noexcept { return m_true_time; }
    [[nodiscard]] matrix_mutation get_mutation() const noexcept { return m_mutation; }
    [[nodiscard]] bool is_log_reachable(const std::string& host) const;
    [[nodiscard]] bool is_cut_off(const std::string& host) const;
    [[nodiscard]] bool has_terminated(const coordination::writer_id& sender) const override;
    fake_log& get_log() noexcept { return m_log; }
    matrix_evidence& get_evidence() noexcept { return m_evidence; }
    void take_log_down();
    void cut_off(const std::string& host);
    /// Runs the other hosts while the calling one stands still.
    void pause();
    void run_later(std::function<void()> action);
    coordination::log_offset append(const std::string& stream, std::span<const std::string> records);
    coordination::order_reply receive_order(const std::string& receiver, const coordination::order& value,
                                            std::uint64_t number);
    [[nodiscard]] bool has_applied(const std::string& receiver, const std::string& key) const;

private:
    struct host {
        std::string name;
        double clock_rate{1};
        std::uint64_t incarnation{0};
        std::unique_ptr<matrix_process> process;
        steady_time starts_at;
        bool is_busy{false};
    };

    void run_until(steady_time end);
    void run_second();
    void run_host(host& one);
    void start(host& one);
    void handle_crash(host& one, const process_crashed& crash);
    void forget_old_records();

    fault_injector m_injector;
    matrix_mutation m_mutation;
    virtual_clock m_true_time;
    fake_log m_log;
    matrix_evidence m_evidence;
    std::vector<host> m_hosts;
    std::vector<std::pair<steady_time, std::function<void()>>> m_scheduled_actions;
    steady_time m_start;
    steady_time m_log_available_from;
    bool m_is_replaced{false};
    int m_outages{0};
    std::map<std::string, steady_time> m_cut_off_until;
    std::map<coordination::writer_id, steady_time> m_terminated_at;
    std::map<std::string, std::uint64_t> m_newest_numbers;
    std::map<std::string, std::set<std::string>> m_applied_keys;
};

} // namespace dragonflywell::testing
