#include "matrix_world.hpp"

#include <algorithm>

#include "matrix_process.hpp"

namespace dragonflywell::testing {

namespace {

using namespace std::chrono_literals;

constexpr duration run_length = 150s;
/// Faults come early enough for the system to recover before the end.
constexpr duration faults_end_after = 80s;
constexpr duration pause_length = 20s;
constexpr duration outage_length = 25s;
/// Both together stay below the retention. What no process has read when the log forgets it is lost for everybody.
constexpr int most_outages = 2;
constexpr duration late_by = 15s;
constexpr duration restart_after = 3s;
/// Longer than anything can be on its way.
constexpr duration known_gone_after = 20s;
constexpr duration retention = 60s;
/// When one host is replaced in every run, so that a fresh process has to start from snapshots.
constexpr duration planned_replacement = 75s;

} // namespace

matrix_world::matrix_world(std::optional<fault_schedule> schedule, matrix_mutation mutation)
    : m_injector(std::move(schedule)), m_mutation(mutation) {
    m_start = m_truth.now();
    m_log_is_back = m_start;
    const std::vector<std::pair<std::string, double>> names{{"host-1", 1.0}, {"host-2", 1.03}, {"host-3", 0.97}};
    for (const auto& [name, rate] : names) {
        m_hosts.push_back({.name = name, .clock_rate = rate, .process = nullptr, .starts_at = m_truth.now()});
    }
}

matrix_world::~matrix_world() = default;

matrix_evidence matrix_world::run() {
    run_until(m_truth.now() + run_length);
    for (const host& one : m_hosts) {
        if (one.process) {
            m_evidence.final_versions[one.process->get_name()] = one.process->get_version();
        }
    }
    m_evidence.end = m_truth.now();
    return std::move(m_evidence);
}

void matrix_world::run_until(steady_time end) {
    while (m_truth.now() < end) {
        run_second();
    }
}

void matrix_world::run_second() {
    m_truth.advance(1s);
    forget_old_records();
    std::vector<std::function<void()>> due;
    std::erase_if(m_later, [&](auto& entry) {
        if (entry.first > m_truth.now()) {
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

void matrix_world::run_host(host& one) {
    if (!one.process) {
        if (m_truth.now() < one.starts_at) {
            return;
        }
        start(one);
    }
    one.is_busy = true;
    try {
        if (!m_is_replaced && one.name == m_hosts.back().name && m_truth.now() >= m_start + planned_replacement) {
            m_is_replaced = true;
            throw process_crashed{.is_replaced = true};
        }
        one.process->run_round();
    } catch (const process_crashed& crash) {
        bury(one, crash);
    }
    one.is_busy = false;
}

void matrix_world::start(host& one) {
    ++one.incarnation;
    one.process = std::make_unique<matrix_process>(
        *this, coordination::writer_id{.host = one.name, .incarnation = one.incarnation}, one.clock_rate);
}

void matrix_world::bury(host& one, const process_crashed& crash) {
    m_gone_at[one.process->get_writer()] = m_truth.now() + known_gone_after;
    one.process.reset();
    one.starts_at = m_truth.now() + (crash.is_replaced ? 0s : restart_after);
}

void matrix_world::pause() {
    // The caller is busy, which keeps it from running.
    run_until(m_truth.now() + pause_length);
}

std::optional<matrix_fault> matrix_world::pass(const std::string& step) {
    return m_truth.now() < m_start + faults_end_after ? m_injector.pass(step) : std::nullopt;
}

bool matrix_world::is_log_reachable(const std::string& host) const {
    return m_truth.now() >= m_log_is_back && !is_cut_off(host);
}

bool matrix_world::is_cut_off(const std::string& host) const {
    const auto found = m_cut_until.find(host);
    return found != m_cut_until.end() && m_truth.now() < found->second;
}

bool matrix_world::has_terminated(const coordination::writer_id& sender) const {
    if (m_mutation == matrix_mutation::silent_host_is_gone) {
        return true;
    }
    const auto found = m_gone_at.find(sender);
    return found != m_gone_at.end() && m_truth.now() >= found->second;
}

void matrix_world::take_log_down() {
    if (m_outages == most_outages) {
        return;
    }
    ++m_outages;
    m_log_is_back = m_truth.now() + outage_length;
}

void matrix_world::cut_off(const std::string& host) {
    m_cut_until[host] = m_truth.now() + outage_length;
}

void matrix_world::do_later(std::function<void()> action) {
    m_later.emplace_back(m_truth.now() + late_by, std::move(action));
}

coordination::log_offset matrix_world::append(const std::string& stream, std::span<const std::string> records) {
    for (const std::string& data : records) {
        m_evidence.streams[stream].push_back({.when = m_truth.now(), .data = data});
    }
    return m_log.append(stream, records);
}

void matrix_world::forget_old_records() {
    for (const auto& [stream, records] : m_evidence.streams) {
        const auto kept = std::ranges::find_if(
            records, [&](const logged_record& record) { return record.when + retention >= m_truth.now(); });
        m_log.oldest_kept[stream] = static_cast<coordination::log_offset>(kept - records.begin());
    }
}

coordination::order_reply matrix_world::arrive(const std::string& receiver, const coordination::order& value,
                                               std::uint64_t number) {
    using coordination::order_reply;
    std::uint64_t& newest = m_newest_numbers[receiver];
    const bool checks = receiver == "checking" && m_mutation != matrix_mutation::engine_takes_old_number;
    const bool is_old = checks && number < newest;
    const bool is_repeated = receiver == "platform" && has_applied(receiver, value.idempotency_key);
    m_evidence.arrivals[receiver].push_back({.when = m_truth.now(),
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

bool matrix_world::has_applied(const std::string& receiver, const std::string& key) const {
    const auto found = m_applied_keys.find(receiver);
    return found != m_applied_keys.end() && found->second.contains(key);
}

} // namespace dragonflywell::testing
