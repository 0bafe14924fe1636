#include "daemon/role_change_driver.hpp"

#include <algorithm>
#include <array>
#include <fmt/format.h>

#include "daemon/engine_order_receiver.hpp"

namespace dragonflywell::daemon {

namespace {

std::string get_key_prefix(const role_change& change) {
    return fmt::format("role/{}/{}/", change.engine.value(), change.announced);
}

} // namespace

role_change_driver::role_change_driver(coordination::folded_stream& stream, coordination::lease_candidate& lease,
                                       coordination::order_dispatcher& ledger, const role_change_fold& changes,
                                       const clock_source& time, role_change_driver_options options)
    : m_stream(&stream), m_lease(&lease), m_ledger(&ledger), m_changes(&changes), m_time(&time), m_options(options) {}

std::size_t role_change_driver::announce(std::span<const policy::role_order> orders) {
    std::size_t announced = 0;
    for (const policy::role_order& order : orders) {
        const std::optional<coordination::fencing_token> token = m_lease->get_authority();
        if (!token || m_changes->get_all().contains(order.engine)) {
            continue;
        }
        const role_change change{.engine = order.engine, .from = order.from, .to = order.to};
        announced += append(make_announcement(change, *token)) ? 1 : 0;
    }
    return announced;
}

void role_change_driver::advance(const std::map<backend_server_name, observed_engine>& engines,
                                 const fleet::manifest& manifest) {
    forget_ended(m_first_seen);
    forget_ended(m_confirmed_at);
    // A copy, since each step may modify the fold.
    const std::map<backend_server_name, role_change> changes = m_changes->get_all();
    for (const auto& [name, change] : changes) {
        const auto server = manifest.backend_servers.find(name);
        if (server == manifest.backend_servers.end() || server->second.get_engine() == nullptr) {
            if (!find_unresolved(change)) {
                end(change, "engine_removed");
            }
            continue;
        }
        const auto engine = engines.find(name);
        if (engine != engines.end() && engine->second.is_reachable) {
            advance_change(change, engine->second, server->second.get_engine()->checks_fencing);
        }
    }
}

void role_change_driver::forget_ended(std::map<coordination::log_offset, steady_time>& moments) const {
    std::erase_if(moments, [this](const auto& item) {
        return std::none_of(m_changes->get_all().begin(), m_changes->get_all().end(),
                            [&](const auto& change) { return change.second.announced == item.first; });
    });
}

void role_change_driver::advance_change(const role_change& change, const observed_engine& engine, bool checks_fencing) {
    // An order of a failed lease holder may still be unresolved. It asks for the same role, and the ledger blocks other
    // orders to the engine until it is resolved.
    if (engine.load->role == change.to) {
        ++m_completed;
        end(change, "completed");
        return;
    }
    if (change.is_confirmed || m_confirmed_at.contains(change.announced)) {
        wait_for_role(change);
    } else if (is_drained(change, engine)) {
        send_order(change, checks_fencing);
    }
}

void role_change_driver::wait_for_role(const role_change& change) {
    const std::optional<coordination::fencing_token> token = m_lease->get_authority();
    if (!token) {
        return;
    }
    if (!change.is_confirmed) {
        append(make_confirmation(change, *token));
    }
    const steady_time since = m_confirmed_at.try_emplace(change.announced, m_time->now()).first->second;
    if (m_time->now() - since >= m_options.change_timeout) {
        // The engine confirmed the order and did not change: it restarted in between, in its old role.
        ++m_given_up;
        end(change, "not_taken");
    }
}

bool role_change_driver::is_drained(const role_change& change, const observed_engine& engine) {
    const steady_time seen = m_first_seen.try_emplace(change.announced, m_time->now()).first->second;
    const duration since = m_time->now() - seen;
    const bool is_report_new = engine.reported_at >= seen + m_options.announcement_delay;
    if (is_report_new && engine.load->running_requests == 0) {
        return true;
    }
    if (since >= m_options.drain_timeout && !find_unresolved(change)) {
        ++m_given_up;
        end(change, "drain_too_long");
    }
    return false;
}

void role_change_driver::send_order(const role_change& change, bool checks_fencing) {
    const std::optional<coordination::fencing_token> token = m_lease->get_authority();
    if (!token) {
        return;
    }
    const std::optional<coordination::unresolved_order> unresolved = find_unresolved(change);
    coordination::order order{.subject = get_engine_subject(change.engine),
                              .kind = std::string(role_order_kind),
                              .body = {{"role", fleet::get_role_name(change.to)}},
                              .idempotency_key = get_key_prefix(change) + std::to_string(token->number),
                              .receiver = checks_fencing ? coordination::receiver_kind::checks_fencing
                                                         : coordination::receiver_kind::ignores_fencing,
                              .duplicates = coordination::duplicate_handling::idempotent};
    if (unresolved && unresolved->value.idempotency_key.starts_with(get_key_prefix(change))) {
        order = unresolved->value;
    }
    const coordination::order_result result = m_ledger->submit(order);
    switch (result.status) {
    case coordination::order_status::applied:
        m_confirmed_at.try_emplace(change.announced, m_time->now());
        append(make_confirmation(change, *token));
        break;
    case coordination::order_status::rejected:
    case coordination::order_status::blocked:
        // The engine rejects this order, or an earlier one may still reach it. The change is abandoned.
        ++m_given_up;
        end(change, result.status == coordination::order_status::rejected ? "rejected" : "blocked");
        break;
    case coordination::order_status::stale_fencing_number:
    case coordination::order_status::unknown:
    case coordination::order_status::no_authority:
    case coordination::order_status::log_unavailable:
        break;
    }
}

std::optional<coordination::unresolved_order> role_change_driver::find_unresolved(const role_change& change) const {
    for (coordination::unresolved_order& unresolved : m_ledger->get_unresolved()) {
        if (unresolved.value.subject == get_engine_subject(change.engine)) {
            return std::move(unresolved);
        }
    }
    return std::nullopt;
}

bool role_change_driver::append(const coordination::record_draft& draft) {
    const std::array<coordination::record_draft, 1> drafts{draft};
    return m_stream->submit(drafts).front().status == coordination::record_status::valid;
}

void role_change_driver::end(const role_change& change, std::string_view reason) {
    if (const std::optional<coordination::fencing_token> token = m_lease->get_authority()) {
        append(make_end(change, *token, reason));
    }
}

} // namespace dragonflywell::daemon
