#include "matrix_simulation.hpp"

#include <algorithm>

#include "matrix_process.hpp"

namespace dragonflywell::testing {

namespace {

using namespace std::chrono_literals;

constexpr duration run_length = 150s;
/// Faults are injected early enough for the system to recover before the end.
constexpr duration fault_phase_length = 80s;
constexpr duration pause_length = 20s;
constexpr duration outage_length = 25s;
/// All outages together are shorter than the retention. A record that no process has read before retention deletes it
/// is lost.
constexpr int max_outages = 2;
constexpr duration late_delivery_delay = 15s;
constexpr duration restart_delay = 3s;
/// Longer than any message can be in flight.
constexpr duration termination_delay = 20s;
constexpr duration retention = 60s;
/// Time at which one host is replaced in every run, so that a new process has to start from snapshots.
constexpr duration planned_replacement_time = 75s;

} // namespace

matrix_simulation::matrix_simulation(std::optional<fault_schedule> schedule, matrix_mutation mutation)
    : m_injector(std::move(schedule)), m_mutation(mutation) {
    m_start = m_true_time.now();
    m_log_available_from = m_start;
    const std::vector<std::pair<std::string, double>> names{{"host-1", 1.0}, {"host-2", 1.03}, {"host-3", 0.97}};
    for (const auto& [name, rate] : names) {
        m_hosts.push_back({.name = name, .clock_rate = rate, .process = nullptr, .starts_at = m_true_time.now()});
    }
}

matrix_simulation::~matrix_simulation() = default;

matrix_evidence matrix_simulation::run() {
    run_until(m_true_time.now() + run_length);
    for (const host& one : m_hosts) {
        if (one.process) {
            m_evidence.final_versions[one.process->get_name()] = one.process->get_version();
        }
    }
    m_evidence.end = m_true_time.now();
    return std::move(m_evidence);
}

void matrix_simulation::run_until(steady_time end) {
    while (m_true_time.now() < end) {
        run_second();
    }
}

void matrix_simulation::run_second() {
    m_true_time.advance(1s);
    forget_old_records();
    std::vector<std::function<void()>> due;
    std::erase_if(m_scheduled_actions, [&](auto& entry) {
        if (entry.first > m_true_time.now()) {
            return false;
        }
        due.push_back(std::move(entry.second));
        return true;
    });
    for (const std::function<void()>& action : due) {
        action();
    }
    for (host& one : m_hosts) {
        if (!one.is_busy) {
            run_host(one);
        }
    }
}

void matrix_simulation::run_host(host& one) {
    if (!one.process) {
        if (m_true_time.now() < one.starts_at) {
            return;
        }
        start(one);
    }
    one.is_busy = true;
    try {
        if (!m_is_replaced && one.name == m_hosts.back().name &&
            m_true_time.now() >= m_start + planned_replacement_time) {
            m_is_replaced = true;
            throw process_crashed{.is_replaced = true};
        }
        one.process->run_round();
    } catch (const process_crashed& crash) {
        handle_crash(one, crash);
    }
    one.is_busy = false;
}

void matrix_simulation::start(host& one) {
    ++one.incarnation;
    one.process = std::make_unique<matrix_process>(
        *this, coordination::writer_id{.host = one.name, .incarnation = one.incarnation}, one.clock_rate);
}

void matrix_simulation::handle_crash(host& one, const process_crashed& crash) {
    m_terminated_at[one.process->get_writer()] = m_true_time.now() + termination_delay;
    one.process.reset();
    one.starts_at = m_true_time.now() + (crash.is_replaced ? 0s : restart_delay);
}

void matrix_simulation::pause() {
    // The caller is marked as busy, so `run_until` does not run it.
    run_until(m_true_time.now() + pause_length);
}

std::optional<matrix_fault> matrix_simulation::get_fault(const std::string& step) {
    return m_true_time.now() < m_start + fault_phase_length ? m_injector.get_fault(step) : std::nullopt;
}

bool matrix_simulation::is_log_reachable(const std::string& host) const {
    return m_true_time.now() >= m_log_available_from && !is_cut_off(host);
}

bool matrix_simulation::is_cut_off(const std::string& host) const {
    const auto found = m_cut_off_until.find(host);
    return found != m_cut_off_until.end() && m_true_time.now() < found->second;
}

bool matrix_simulation::has_terminated(const coordination::writer_id& sender) const {
    if (m_mutation == matrix_mutation::unresponsive_host_counts_as_terminated) {
        return true;
    }
    const auto found = m_terminated_at.find(sender);
    return found != m_terminated_at.end() && m_true_time.now() >= found->second;
}

void matrix_simulation::take_log_down() {
    if (m_outages == max_outages) {
        return;
    }
    ++m_outages;
    m_log_available_from = m_true_time.now() + outage_length;
}

void matrix_simulation::cut_off(const std::string& host) {
    m_cut_off_until[host] = m_true_time.now() + outage_length;
}

void matrix_simulation::run_later(std::function<void()> action) {
    m_scheduled_actions.emplace_back(m_true_time.now() + late_delivery_delay, std::move(action));
}

coordination::log_offset matrix_simulation::append(const std::string& stream, std::span<const std::string> records) {
    for (const std::string& data : records) {
        m_evidence.streams[stream].push_back({.when = m_true_time.now(), .data = data});
    }
    return m_log.append(stream, records);
}

void matrix_simulation::forget_old_records() {
    for (const auto& [stream, records] : m_evidence.streams) {
        const auto kept = std::ranges::find_if(
            records, [&](const logged_record& record) { return record.when + retention >= m_true_time.now(); });
        m_log.oldest_kept[stream] = static_cast<coordination::log_offset>(kept - records.begin());
    }
}

coordination::order_reply matrix_simulation::receive_order(const std::string& receiver,
                                                           const coordination::order& value, std::uint64_t number) {
    using coordination::order_reply;
    std::uint64_t& newest = m_newest_numbers[receiver];
    const bool checks = receiver == "checking" && m_mutation != matrix_mutation::engine_accepts_stale_number;
    const bool is_old = checks && number < newest;
    const bool is_repeated = receiver == "platform" && has_applied(receiver, value.idempotency_key);
    m_evidence.arrivals[receiver].push_back({.when = m_true_time.now(),
                                             .key = value.idempotency_key,
                                             .fencing_number = number,
                                             .is_applied = !is_old && !is_repeated});
    if (is_old) {
        return order_reply::stale_fencing_number;
    }
    newest = std::max(newest, number);
    m_applied_keys[receiver].insert(value.idempotency_key);
    return order_reply::applied;
}

bool matrix_simulation::has_applied(const std::string& receiver, const std::string& key) const {
    const auto found = m_applied_keys.find(receiver);
    return found != m_applied_keys.end() && found->second.contains(key);
}

} // namespace dragonflywell::testing
