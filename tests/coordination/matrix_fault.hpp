#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace dragonflywell::testing {

/// A fault at one step of a protocol.
enum class matrix_fault {
    crash_before,
    crash_after,
    pause,
    answer_lost,
    answer_late,
    duplicate,
    log_down,
    zone_cut,
    host_replaced,
};

inline constexpr std::array<matrix_fault, 9> all_matrix_faults{
    matrix_fault::crash_before, matrix_fault::crash_after, matrix_fault::pause,
    matrix_fault::answer_lost,  matrix_fault::answer_late, matrix_fault::duplicate,
    matrix_fault::log_down,     matrix_fault::zone_cut,    matrix_fault::host_replaced};

inline constexpr std::array<std::string_view, 9> matrix_fault_names{"crash before", "crash after",  "pause past expiry",
                                                                    "answer lost",  "answer late",  "duplicate",
                                                                    "log down",     "zone cut off", "host replaced"};

/// Thrown where a process dies. It does not derive from `error`, so that the code under test cannot catch it.
struct process_crashed {
    bool is_replaced{false};
};

/// The faults that one run injects.
struct fault_schedule {
    std::string step;
    matrix_fault first{};
    /// Injected at the next occurrence of the same step.
    std::optional<matrix_fault> again;
    /// Injected at the step that follows the first fault, whichever it is.
    std::optional<matrix_fault> next;
    /// If set, replaces the above by faults at random steps.
    std::optional<std::uint64_t> seed;
};

/// Decides which fault is injected at a step. The occurrences of the step are counted over all hosts.
class fault_injector {
public:
    explicit fault_injector(std::optional<fault_schedule> schedule)
        : m_schedule(std::move(schedule)), m_random(m_schedule ? m_schedule->seed.value_or(0) : 0) {}

    std::optional<matrix_fault> get_fault(const std::string& step) {
        if (!m_schedule) {
            return std::nullopt;
        }
        if (m_schedule->seed) {
            return choose_random_fault();
        }
        if (m_is_next_due) {
            m_is_next_due = false;
            return m_schedule->next;
        }
        if (step != m_schedule->step) {
            return std::nullopt;
        }
        ++m_occurrences;
        // At the first occurrence the hosts have just started; at the second the system is running.
        if (m_occurrences == 2) {
            m_is_next_due = m_schedule->next.has_value();
            return m_schedule->first;
        }
        return m_occurrences == 3 ? m_schedule->again : std::nullopt;
    }

    [[nodiscard]] std::uint64_t get_occurrences() const noexcept { return m_occurrences; }

private:
    std::optional<matrix_fault> choose_random_fault() {
        constexpr std::uint64_t steps_per_fault = 150;
        constexpr std::uint64_t max_random_faults = 6;
        if (m_occurrences == max_random_faults || m_random() % steps_per_fault != 0) {
            return std::nullopt;
        }
        ++m_occurrences;
        return all_matrix_faults.at(m_random() % all_matrix_faults.size());
    }

    std::optional<fault_schedule> m_schedule;
    std::mt19937_64 m_random;
    std::uint64_t m_occurrences{0};
    bool m_is_next_due{false};
};

} // namespace dragonflywell::testing
