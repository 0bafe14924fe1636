#include "daemon/history_task.hpp"

#include <array>
#include <cmath>

#include "policy/outcome.hpp"

namespace dragonflywell::daemon {

namespace {

constexpr double seconds_per_hour = 3600;

/// Returns the price of the engines of a zone for one hour, in thousandths of the currency unit.
std::uint64_t get_zone_price(const fleet::manifest& manifest, const zone_name& zone) {
    std::uint64_t price = 0;
    for (const auto& [name, server] : manifest.backend_servers) {
        if (server.zone == zone && server.get_engine() != nullptr) {
            price += server.is_cheap ? manifest.prices.cheap_price_milli : manifest.prices.regular_price_milli;
        }
    }
    return price;
}

} // namespace

history_task::history_task(const control_task_context& context)
    : m_context(context),
      m_platform_log({.server = context.settings.platform_log, .deadline = context.settings.log_deadline}),
      m_stream(m_platform_log, std::string(fleet::history_stream), context.self),
      m_snapshots(m_platform_log, (m_stream.add_observer(m_history), m_stream), context.time, {}) {}

void history_task::run_round() {
    collect();
    const bool is_empty = m_pending.organisations.empty() && m_pending.refusals.empty() && m_pending.spend_milli == 0;
    if (!is_empty) {
        const auto now = std::chrono::duration_cast<std::chrono::seconds>(m_context.time.wall_now().time_since_epoch());
        const std::array<coordination::record_draft, 1> drafts{
            fleet::make_history_draft(static_cast<std::uint64_t>(now.count()), m_pending)};
        m_stream.submit(drafts);
        m_pending = {};
    }
    const std::shared_ptr<const fleet_status> status = m_context.fleet.status.get();
    if (status != nullptr && status->has_authority) {
        m_snapshots.tick();
    }
}

void history_task::collect() {
    const steady_time now = m_context.time.now();
    const duration elapsed = now - m_collected_at.value_or(now);
    m_collected_at = now;
    for (const auto& [name, row] : m_context.fleet.demand.take_organisation_counts()) {
        m_pending.organisations[name].requested += row.asked;
        m_pending.organisations[name].completed += row.completed;
        m_pending.delivered_tokens += row.delivered_tokens;
    }
    add_refusals();
    add_spending(elapsed);
}

void history_task::add_refusals() {
    for (std::size_t index = 0; index < policy::refusal_reason_count; ++index) {
        const std::string reason(policy::get_refusal_response(static_cast<policy::refusal_reason>(index)).code);
        const std::uint64_t count =
            m_context.metrics.get_counter("dragonflywell_refusals_total", {{"reason", reason}}).get();
        std::uint64_t& before = m_refusals_before[reason];
        if (count > before) {
            m_pending.refusals[reason] += count - before;
        }
        before = count;
    }
}

void history_task::add_spending(duration elapsed) {
    const std::shared_ptr<const fleet_status> status = m_context.fleet.status.get();
    const std::shared_ptr<const servers::active_manifest> manifest = m_context.manifest.get();
    if (status == nullptr || manifest == nullptr || !status->has_authority) {
        return;
    }
    const auto price = static_cast<double>(get_zone_price(manifest->content, m_context.settings.zone));
    const double hours = std::chrono::duration<double>(elapsed).count() / seconds_per_hour;
    m_spend_remainder += price * hours;
    const double whole = std::floor(m_spend_remainder);
    m_pending.spend_milli += static_cast<std::uint64_t>(whole);
    m_spend_remainder -= whole;
}

} // namespace dragonflywell::daemon
