#include "servers/caller_table.hpp"

#include "core/log_event.hpp"
#include "servers/caller_connection.hpp"

namespace dragonflywell::servers {

namespace {

constexpr duration log_interval = std::chrono::seconds(1);

std::string_view get_name(caller_limit_reason reason) {
    constexpr std::array<std::string_view, 8> names{"made_room",   "no_room",   "made_descriptor", "no_descriptor",
                                                    "slow_header", "slow_body", "slow_reader",     "refused_by_head"};
    return names.at(static_cast<std::size_t>(reason));
}

steady_time get_now() {
    return std::chrono::steady_clock::now();
}

} // namespace

caller_table::caller_table(policy::caller_limiter_options options, metrics_registry* metrics,
                           std::shared_ptr<spdlog::logger> log)
    : m_limiter(options), m_log(std::move(log)) {
    if (metrics == nullptr) {
        return;
    }
    for (std::size_t index = 0; index < m_reasons.size(); ++index) {
        const std::string name(get_name(static_cast<caller_limit_reason>(index)));
        m_reasons.at(index).total = &metrics->get_counter("dragonflywell_caller_limits_total", {{"reason", name}});
    }
    m_held = &metrics->get_gauge("dragonflywell_caller_bytes");
}

bool caller_table::add(caller_connection& connection) {
    const policy::caller_limiter::connection_id id = m_next_id++;
    if (!carry_out(m_limiter.add(id, get_now()), caller_limit_reason::made_descriptor,
                   caller_limit_reason::no_descriptor)) {
        return false;
    }
    connection.set_id(id);
    m_connections.emplace(id, &connection);
    return true;
}

void caller_table::remove(caller_connection& connection) {
    m_limiter.remove(connection.get_id());
    m_connections.erase(connection.get_id());
}

void caller_table::begin_request(const caller_connection& connection) {
    m_limiter.begin_request(connection.get_id(), get_now());
}

bool caller_table::resize(const caller_connection& connection, std::size_t received_bytes, std::size_t held_bytes) {
    return carry_out(m_limiter.resize(connection.get_id(), received_bytes, held_bytes, get_now()),
                     caller_limit_reason::made_room, caller_limit_reason::no_room);
}

bool caller_table::begin_run(const caller_connection& connection, std::size_t held_bytes) {
    return carry_out(m_limiter.begin_run(connection.get_id(), held_bytes, get_now()), caller_limit_reason::made_room,
                     caller_limit_reason::no_room);
}

void caller_table::begin_idle(const caller_connection& connection) {
    m_limiter.begin_idle(connection.get_id(), get_now());
}

void caller_table::cancel_idle() {
    for (const auto& [id, connection] : m_connections) {
        connection->cancel_if_idle();
    }
}

bool caller_table::carry_out(const policy::caller_limiter::decision& decision, caller_limit_reason closed,
                             caller_limit_reason refused) {
    for (const policy::caller_limiter::connection_id id : decision.to_close) {
        const auto found = m_connections.find(id);
        if (found != m_connections.end()) {
            found->second->close_for_limit();
            m_connections.erase(found);
        }
    }
    m_closed += decision.to_close.size();
    if (!decision.to_close.empty()) {
        record(closed, decision.to_close.size());
    }
    if (!decision.is_admitted) {
        record(refused);
    }
    if (m_held != nullptr) {
        m_held->set(static_cast<std::int64_t>(m_limiter.get_held_bytes()));
    }
    return decision.is_admitted;
}

void caller_table::record(caller_limit_reason reason, std::uint64_t count) {
    reason_record& own = m_reasons.at(static_cast<std::size_t>(reason));
    if (own.total != nullptr) {
        own.total->add(count);
    }
    own.unlogged += count;
    const steady_time now = get_now();
    if (now < own.next_line_at) {
        return;
    }
    log_event("caller_limit")
        .add("reason", get_name(reason))
        .add("count", own.unlogged)
        .add("connections", m_limiter.get_connections())
        .add("held_bytes", m_limiter.get_held_bytes())
        .write(*m_log, spdlog::level::info);
    own.unlogged = 0;
    own.next_line_at = now + log_interval;
}

} // namespace dragonflywell::servers
