#include "daemon/server_list_follower.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "platform/wire_names.hpp"
#include "servers/sleep.hpp"

namespace dragonflywell::daemon {

namespace {

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

std::string_view get_result_name(server_list::page_result result) {
    switch (result) {
    case server_list::page_result::applied:
        return "applied";
    case server_list::page_result::gap:
        return "gap";
    case server_list::page_result::outdated:
        break;
    }
    return "outdated";
}

} // namespace

server_list_follower::server_list_follower(platform::store_client& store, servers::serving_state& state,
                                           duration drain_bound)
    : m_store(&store), m_state(&state), m_log(get_logger("servers")), m_dependency(*m_log, "server_list"),
      m_list(state.eligibility, *this, drain_bound), m_read_timer(state.executor) {
    store.add_era_listener(*this);
}

server_list_follower::~server_list_follower() {
    m_store->remove_era_listener(*this);
}

servers::asio::awaitable<void> server_list_follower::run() {
    for (;;) {
        const steady_time now = m_state->time.now();
        const steady_time due_at = m_waits_for_store ? steady_time::max() : m_list.get_next_read_at();
        if (due_at > now) {
            co_await wait_until(due_at);
            continue;
        }
        boost::asio::co_spawn(m_state->executor, read(m_list.begin_read(now)), boost::asio::detached);
    }
}

servers::asio::awaitable<void> server_list_follower::wait_until(steady_time due_at) {
    if (due_at == steady_time::max()) {
        m_read_timer.expires_at(boost::asio::steady_timer::time_point::max());
    } else {
        m_read_timer.expires_after(due_at - m_state->time.now());
    }
    servers::error_code ignored;
    co_await m_read_timer.async_wait(servers::store_error(ignored));
}

void server_list_follower::wake() {
    m_read_timer.cancel();
    if (m_list.get_missing_from()) {
        m_state->notify_load_change();
    }
}

void server_list_follower::set_reader(bool is_reader) {
    if (m_list.is_reader() != is_reader) {
        m_list.set_reader(is_reader);
        wake();
    }
}

void server_list_follower::update_leader_position(const servers::digest_read_position& position) {
    on_era_changed(position.end.value_or(log_position()).era);
    record_store_failure();
    m_list.update_leader_position(position, m_state->time.now());
    wake();
}

void server_list_follower::apply_relayed(const log_position& from, const platform::store_page& page, duration age) {
    on_era_changed(from.era);
    record_store_failure();
    const steady_time now = m_state->time.now();
    const server_list::page_result result = m_list.apply_relayed(from, page, now - age, now);
    report_page("relay", result, from, page, age);
    wake();
}

void server_list_follower::on_era_changed(std::uint64_t era) {
    if (m_list.note_era(era, m_state->time.now())) {
        wake();
    }
}

servers::asio::awaitable<void> server_list_follower::read(server_list::pending_read pending) {
    bool has_failed = false;
    try {
        const platform::store_page page = co_await call_store(pending);
        apply_answer(pending, page);
    } catch (const platform::store_history_dropped_error&) {
        m_list.drop_position(m_state->time.now());
    } catch (const platform::store_unavailable_error& fault) {
        m_dependency.record_failure(m_state->time.now(), fault.what());
        record_store_failure();
        m_list.fail_read();
        has_failed = true;
    }
    if (has_failed && !m_waits_for_store) {
        m_waits_for_store = true;
        const duration pause = m_list.get_times().retry_pause;
        co_await m_store->wait_until_call_allowed(pause);
        m_waits_for_store = false;
    }
    wake();
}

servers::asio::awaitable<platform::store_page> server_list_follower::call_store(server_list::pending_read pending) {
    const platform::store_connection connection =
        pending.is_repeated ? platform::store_connection::fresh : platform::store_connection::reused;
    if (!pending.from) {
        co_return co_await m_store->read_newest(platform::wire::servers_topic, connection);
    }
    const std::optional<duration> time_limit = m_list.get_times().call_limit;
    co_return co_await m_store->read(platform::wire::servers_topic, *pending.from, duration::zero(), time_limit,
                                     connection);
}

void server_list_follower::apply_answer(const server_list::pending_read& pending, const platform::store_page& page) {
    const steady_time now = m_state->time.now();
    m_dependency.record_success(now);
    record_store_failure();
    const server_list::page_result result = m_list.end_read(pending, page, now);
    const duration age = now - pending.sent_at;
    if (!page.records.empty()) {
        report_page(pending.from ? "store" : "listing", result, pending.from.value_or(log_position()), page, age);
    }
    const std::optional<server_list::relayed_page>& relayed = m_list.get_relayed_page();
    if (m_list.is_reader() && m_relay && relayed) {
        // The group needs the page also without changes, since its end shows how far the list is current.
        m_relay(relayed->from, relayed->page, age);
    }
}

void server_list_follower::record_store_failure() {
    // Store calls for other topics may have failed as well, possibly later than those for the list.
    if (const std::optional<steady_time> failed_at = m_store->get_last_failure_time()) {
        m_list.record_store_failure(*failed_at);
    }
}

void server_list_follower::on_entry(const backend_server_name& server, fleet::directory_change change) {
    if (change == fleet::directory_change::restarted) {
        m_state->health.forget(server);
    }
    if (change == fleet::directory_change::restarted || change == fleet::directory_change::removed) {
        m_state->record_server_down(server, get_down_proof(server));
    }
    report(server, change);
}

void server_list_follower::on_entry_removed(const backend_server_name& server, fleet::directory_change change) {
    report(server, change);
    const bool may_run = change == fleet::directory_change::missing;
    m_state->record_server_down(server, may_run ? policy::down_proof::unreachable : get_down_proof(server));
}

policy::down_proof server_list_follower::get_down_proof(const backend_server_name& server) const {
    return m_state->eligibility.has_left_as_planned(server) ? policy::down_proof::left_as_planned
                                                            : policy::down_proof::ended;
}

void server_list_follower::on_entry_rejected(const platform::keyed_record& record, std::string_view reason) {
    log_event("server_entry_rejected")
        .add("server", record.key)
        .add("offset", record.offset)
        .add("reason", reason)
        .write(*m_log, spdlog::level::warn);
}

void server_list_follower::on_list_differs(const log_position& at) {
    log_event("server_list_differs").add("read_position", at.offset).write(*m_log, spdlog::level::warn);
}

void server_list_follower::report_page(std::string_view source, server_list::page_result result,
                                       const log_position& from, const platform::store_page& page, duration age) const {
    log_event("server_list_page")
        .add("source", source)
        .add("result", get_result_name(result))
        .add("from", from.offset)
        .add("next", page.next.offset)
        .add("end", page.end.offset)
        .add("read_position", get_read_position().end.value_or(log_position()).offset)
        .add("records", page.records.size())
        .add("age_ms", age)
        .write(*m_log, spdlog::level::info);
}

void server_list_follower::report(const backend_server_name& server, fleet::directory_change change) const {
    if (change == fleet::directory_change::none) {
        return;
    }
    log_event event("server_changed");
    event.add("server", server.value()).add("change", get_change_name(change));
    if (const fleet::listed_server* listed = m_state->eligibility.get_list().find(server); listed != nullptr) {
        event.add("service", listed->record.service.value()).add("address", format_endpoint(listed->record.address));
        event.add("zone", listed->record.zone.value()).add("cheap", listed->record.is_cheap);
        event.add("stage", listed->record.stage ? fleet::get_stage_name(*listed->record.stage) : "none");
        event.add("started_at", listed->record.started_at_ms);
    }
    event.write(*m_log, spdlog::level::info);
}

} // namespace dragonflywell::daemon
