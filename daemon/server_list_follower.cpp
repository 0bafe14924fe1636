#include "daemon/server_list_follower.hpp"

#include <set>

#include "core/error.hpp"
#include "platform/server_record_decoder.hpp"
#include "platform/wire_names.hpp"
#include "servers/pause.hpp"

namespace dragonflywell::daemon {

namespace {

constexpr duration retry_pause = std::chrono::milliseconds(150);

std::string_view get_change_name(fleet::directory_change change) {
    switch (change) {
    case fleet::directory_change::added:
        return "added";
    case fleet::directory_change::restarted:
        return "restarted";
    case fleet::directory_change::changed:
        return "changed";
    case fleet::directory_change::draining:
        return "draining";
    case fleet::directory_change::missing:
        return "missing";
    case fleet::directory_change::removed:
        return "removed";
    case fleet::directory_change::none:
        break;
    }
    return "none";
}

} // namespace

server_list_follower::server_list_follower(platform::store_client& store, servers::serving_state& state,
                                           duration interval)
    : m_store(&store), m_state(&state), m_interval(interval), m_log(get_logger("servers")),
      m_dependency(*m_log, "server_list") {}

servers::asio::awaitable<void> server_list_follower::run() {
    for (;;) {
        duration next_after = m_interval;
        try {
            co_await follow_once();
        } catch (const platform::store_history_dropped_error&) {
            m_next.reset();
            next_after = duration::zero();
        } catch (const platform::store_unavailable_error& fault) {
            m_dependency.set_lost(m_state->time.now(), fault.what());
            m_state->directory.set_reachable(false, m_state->time.now());
            next_after = retry_pause;
        }
        if (next_after > duration::zero()) {
            co_await servers::pause(next_after);
        }
    }
}

servers::asio::awaitable<void> server_list_follower::follow_once() {
    const bool is_listing = !m_next;
    platform::store_page page;
    if (is_listing) {
        page = co_await m_store->read_newest(platform::wire::servers_topic);
    } else {
        page = co_await m_store->read(platform::wire::servers_topic, *m_next, duration::zero());
    }
    const steady_time now = m_state->time.now();
    m_dependency.set_reached(now);
    m_state->directory.set_reachable(true, now);
    const std::uint64_t generation = m_state->directory.get_generation();
    if (is_listing) {
        take_all(page);
    } else {
        for (const platform::keyed_record& record : page.records) {
            take(record);
        }
    }
    for (const backend_server_name& server : m_state->directory.expire(now)) {
        report(server, fleet::directory_change::removed);
    }
    m_next = page.end;
    m_is_loaded = true;
    if (m_state->directory.get_generation() != generation) {
        m_state->refresh_servers();
    }
}

void server_list_follower::take_all(const platform::store_page& page) {
    std::set<backend_server_name> listed;
    for (const platform::keyed_record& record : page.records) {
        take(record);
        if (record.value) {
            listed.insert(backend_server_name(record.key));
        }
    }
    for (const backend_server_name& server : m_state->directory.retain(listed, m_state->time.now())) {
        report(server, fleet::directory_change::removed);
    }
}

void server_list_follower::take(const platform::keyed_record& record) {
    const backend_server_name server(record.key);
    const steady_time now = m_state->time.now();
    if (!record.value) {
        report(server, m_state->directory.remove(server, now));
        return;
    }
    try {
        const fleet::server_record decoded = platform::decode_server_record(record.key, *record.value);
        const fleet::directory_change change = m_state->directory.apply(decoded, now);
        if (change == fleet::directory_change::restarted) {
            m_state->health.forget(server);
        }
        report(server, change);
    } catch (const malformed_message_error& fault) {
        log_event("server_entry_rejected")
            .add("server", record.key)
            .add("offset", record.offset)
            .add("reason", fault.what())
            .write(*m_log, spdlog::level::warn);
    }
}

void server_list_follower::report(const backend_server_name& server, fleet::directory_change change) const {
    if (change == fleet::directory_change::none) {
        return;
    }
    log_event event("server_changed");
    event.add("server", server.value()).add("change", get_change_name(change));
    if (const fleet::listed_server* listed = m_state->directory.find(server); listed != nullptr) {
        event.add("service", listed->record.service.value()).add("address", format_endpoint(listed->record.address));
        event.add("zone", listed->record.zone.value()).add("cheap", listed->record.is_cheap);
        event.add("stage", listed->record.stage ? fleet::get_stage_name(*listed->record.stage) : "none");
        event.add("started_at", listed->record.started_at_ms);
    }
    event.write(*m_log, spdlog::level::info);
}

} // namespace dragonflywell::daemon
