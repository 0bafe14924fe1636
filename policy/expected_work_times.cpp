#include "policy/expected_work_times.hpp"

#include <algorithm>
#include <cmath>

namespace dragonflywell::policy {

namespace {

/// Number of observations whose mean is kept.
constexpr double max_weight = 200;
constexpr double min_seconds = 1e-4;
/// Number of kinds that are kept. Routes are configured, so that more are not expected.
constexpr std::size_t max_kinds = 512;

} // namespace

void expected_work_times::observe(std::uint64_t kind, duration taken, double speed) {
    if (m_means.size() >= max_kinds && !m_means.contains(kind)) {
        return;
    }
    const double seconds = std::max(min_seconds, std::chrono::duration<double>(taken).count() * speed);
    mean& known = m_means[kind];
    known.weight = std::min(max_weight, known.weight + 1);
    known.logarithm += (std::log(seconds) - known.logarithm) / known.weight;
}

duration expected_work_times::get(std::uint64_t kind) const {
    const auto found = m_means.find(kind);
    return found == m_means.end()
               ? duration::zero()
               : std::chrono::duration_cast<duration>(std::chrono::duration<double>(std::exp(found->second.logarithm)));
}

} // namespace dragonflywell::policy
