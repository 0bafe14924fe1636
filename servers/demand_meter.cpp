#include "servers/demand_meter.hpp"

#include <cmath>
#include <utility>

namespace dragonflywell::servers {

namespace {

constexpr double output_average_weight = 0.05;

} // namespace

void demand_meter::add_arrival(const policy::demand_key& key, std::uint64_t prompt_tokens, std::uint64_t max_tokens) {
    const std::scoped_lock lock(m_mutex);
    entry& target = m_entries[key];
    target.row.key = key;
    ++target.row.arrivals;
    ++m_organisations[key.organisation].asked;
    target.row.prompt_tokens += prompt_tokens;
    target.row.output_tokens +=
        static_cast<std::uint64_t>(std::lround(target.output_share * static_cast<double>(max_tokens)));
}

void demand_meter::add_response(const policy::demand_key& key, std::uint64_t tokens, std::uint64_t max_tokens) {
    const std::scoped_lock lock(m_mutex);
    organisation_counts& counts = m_organisations[key.organisation];
    ++counts.completed;
    counts.delivered_tokens += tokens;
    if (max_tokens == 0) {
        return;
    }
    entry& target = m_entries[key];
    const double share = static_cast<double>(tokens) / static_cast<double>(max_tokens);
    target.output_share += output_average_weight * (share - target.output_share);
}

std::map<organisation_name, demand_meter::organisation_counts> demand_meter::take_organisation_counts() {
    const std::scoped_lock lock(m_mutex);
    return std::exchange(m_organisations, {});
}

std::vector<policy::demand_row> demand_meter::take() {
    const std::scoped_lock lock(m_mutex);
    std::vector<policy::demand_row> rows;
    for (auto& [key, value] : m_entries) {
        if (value.row.arrivals > 0) {
            rows.push_back(std::exchange(value.row, {}));
        }
    }
    return rows;
}

} // namespace dragonflywell::servers
