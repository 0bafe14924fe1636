#include "daemon/server_list_follower.hpp"

#include <set>

#include "core/error.hpp"
#include "platform/server_record_decoder.hpp"
#include "platform/wire_names.hpp"
#include "servers/sleep.hpp"

namespace dragonflywell::daemon {

namespace {

/// Pause before the next read of a store that answered with stale state.
constexpr duration stale_pause = std::chrono::milliseconds(400);

/// Fractions of the drain bound: the interval between two reads of the group leader, and the age of the list at which
/// another host reads the store itself. Two digests of the leader fit in between, so that a lost digest causes no read.
constexpr double interval_fraction = 0.28;
constexpr double max_age_fraction = 0.6;

duration get_fraction(duration whole, double fraction) {
    return std::chrono::duration_cast<duration>(whole * fraction);
}

bool is_warming_up(const fleet::listed_server* server) {
    return server != nullptr && server->record.warmup_left > duration::zero();
}

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
                                           duration drain_bound)
    : m_store(&store), m_state(&state), m_interval(get_fraction(drain_bound, interval_fraction)),
      m_max_age(get_fraction(drain_bound, max_age_fraction)), m_log(get_logger("servers")),
      m_dependency(*m_log, "server_list"), m_read_timer(state.executor) {
    store.add_era_listener(*this);
}

server_list_follower::~server_list_follower() {
    m_store->remove_era_listener(*this);
}

servers::asio::awaitable<void> server_list_follower::run() {
    for (;;) {
        if (!m_is_reader && !m_topic.is_read_due(m_max_age, m_state->time.now())) {
            co_await wait_for_leader();
            continue;
        }
        duration next_after = m_interval;
        bool has_failed = false;
        const std::optional<log_position> before = m_topic.get_next_position();
        try {
            co_await follow_once();
            if (m_topic.is_lagging()) {
                // While the store answers with stale state, reading it again at once returns nothing new.
                next_after = m_topic.get_next_position() == before ? stale_pause : duration::zero();
            }
        } catch (const platform::store_history_dropped_error&) {
            m_topic.record_truncation();
            next_after = duration::zero();
        } catch (const platform::store_unavailable_error& fault) {
            m_dependency.record_failure(m_state->time.now(), fault.what());
            record_failure();
            has_failed = true;
        }
        if (has_failed) {
            co_await m_store->wait_until_call_allowed();
            continue;
        }
        if (next_after > duration::zero()) {
            m_read_timer.expires_after(next_after);
            servers::error_code ignored;
            co_await m_read_timer.async_wait(servers::store_error(ignored));
        }
    }
}

servers::asio::awaitable<void> server_list_follower::wait_for_leader() {
    m_read_timer.expires_after(m_max_age - m_topic.get_staleness(m_state->time.now()));
    servers::error_code ignored;
    co_await m_read_timer.async_wait(servers::store_error(ignored));
}

void server_list_follower::set_reader(bool is_reader) {
    if (m_is_reader != is_reader) {
        m_is_reader = is_reader;
        m_read_timer.cancel();
    }
}

void server_list_follower::update_leader_position(const servers::digest_read_position& position) {
    const log_position end = position.end.value_or(log_position());
    on_era_changed(end.era);
    // Records are relayed in datagrams of their own, which a read position may overtake. If such a datagram is lost,
    // this host reads the store itself once its list has not been current for too long.
    const bool is_ahead = end > m_topic.get_next_position().value_or(log_position());
    if (!is_ahead) {
        m_topic.update_leader_position(end, position.age, m_state->time.now());
        m_state->set_servers_current_at(m_topic.get_caught_up_at());
    }
    // The group leader reached the store at that time, so the list counts as available on this host, too.
    record_success(m_state->time.now() - position.age);
    drop_expired();
}

void server_list_follower::apply_relayed(const log_position& from, const platform::store_page& page, duration age) {
    on_era_changed(from.era);
    const steady_time read_at = m_state->time.now() - age;
    report_page("relay", m_topic.is_connected(from) ? "applied" : "gap", from, page, age);
    if (!m_topic.is_connected(from)) {
        if (page.next > m_topic.get_next_position().value_or(log_position{.era = m_topic.get_era(), .offset = 0})) {
            // Records before this page are missing.
            m_topic.update_leader_position(page.next, age, m_state->time.now());
            m_read_timer.cancel();
        }
        return;
    }
    // The sender of a relayed page reached the store at that time.
    record_success(read_at);
    const std::uint64_t generation = m_state->directory.get_generation();
    // A host that has read the store itself since is ahead of the beginning of the page.
    const std::uint64_t first_new = m_topic.get_next_position()->offset;
    for (const platform::keyed_record& record : page.records) {
        if (record.offset >= first_new) {
            apply(record, page.next.era);
        }
    }
    finish(generation, page, read_at);
}

void server_list_follower::on_era_changed(std::uint64_t era) {
    if (!m_topic.note_era(era)) {
        return;
    }
    if (m_is_loaded) {
        m_state->directory.get_contact().record_restored(m_state->time.now());
    }
    m_read_timer.cancel();
}

servers::digest_read_position server_list_follower::get_read_position() const {
    return {.end = m_topic.get_next_position(), .age = m_topic.get_staleness(m_state->time.now())};
}

servers::asio::awaitable<void> server_list_follower::follow_once() {
    const std::optional<log_position> next = m_topic.get_next_position();
    const steady_time sent_at = m_state->time.now();
    platform::store_page page;
    if (next) {
        page = co_await m_store->read(platform::wire::servers_topic, *next, duration::zero());
    } else {
        page = co_await m_store->read_newest(platform::wire::servers_topic);
        if (m_topic.is_stale_listing(page.next)) {
            throw platform::store_unavailable_error("the listing of the store is older than what was read before",
                                                    false);
        }
    }
    m_dependency.record_success(m_state->time.now());
    record_success(sent_at);
    const std::uint64_t generation = m_state->directory.get_generation();
    std::vector<platform::keyed_record> changes = page.records;
    if (!page.records.empty()) {
        const bool is_applied = !next || m_topic.is_next(*next);
        report_page(next ? "store" : "listing", is_applied ? "applied" : "skipped", next.value_or(log_position()), page,
                    m_state->time.now() - sent_at);
    }
    if (next && m_topic.is_next(*next)) {
        changes = apply_records(page);
    } else if (!next) {
        apply_listing(page);
    }
    finish(generation, page, sent_at);
    if (m_is_reader && next && m_relay && !page.records.empty()) {
        // The group needs the page also without changes, since its end shows how far the list is current.
        m_relay(*next, {.records = std::move(changes), .next = page.next, .end = page.end},
                m_state->time.now() - sent_at);
    }
}

void server_list_follower::record_failure() {
    if (const std::optional<steady_time> failed_at = m_store->get_last_failure_time()) {
        m_state->directory.get_contact().record_failure(*failed_at);
    }
}

void server_list_follower::record_success(steady_time at) {
    // Store calls for other topics may have failed as well, possibly later than those for the list.
    record_failure();
    m_state->directory.get_contact().record_success(at);
}

std::vector<platform::keyed_record> server_list_follower::apply_records(const platform::store_page& page) {
    std::vector<platform::keyed_record> changes;
    for (const platform::keyed_record& record : page.records) {
        if (apply(record, page.next.era)) {
            changes.push_back(record);
        }
    }
    return changes;
}

void server_list_follower::finish(std::uint64_t generation_before, const platform::store_page& page, steady_time at) {
    m_topic.record_read(page.next, page.end, at);
    m_state->set_servers_current_at(m_topic.get_caught_up_at());
    m_is_loaded = true;
    if (m_state->directory.get_generation() != generation_before) {
        m_state->refresh_servers();
    }
    drop_expired();
}

void server_list_follower::drop_expired() {
    const std::vector<backend_server_name> expired = m_state->directory.expire(m_state->time.now());
    for (const backend_server_name& server : expired) {
        report(server, fleet::directory_change::removed);
    }
    if (!expired.empty()) {
        m_state->refresh_servers();
    }
}

void server_list_follower::apply_listing(const platform::store_page& page) {
    if (page.next.era > m_copied_until.era) {
        m_copied_until = page.next;
    }
    std::set<backend_server_name> listed;
    for (const platform::keyed_record& record : page.records) {
        apply(record, page.next.era);
        if (record.value) {
            listed.insert(backend_server_name(record.key));
        }
    }
    for (const backend_server_name& server : m_state->directory.retain(listed, m_state->time.now())) {
        report(server, fleet::directory_change::removed);
    }
}

bool server_list_follower::apply_removal(const backend_server_name& server) {
    const fleet::directory_change change = m_state->directory.remove(server, m_state->time.now());
    report(server, change);
    m_state->record_server_down(server);
    return change != fleet::directory_change::none;
}

bool server_list_follower::apply(const platform::keyed_record& record, std::uint64_t era) {
    const backend_server_name server(record.key);
    if (!record.value) {
        return apply_removal(server);
    }
    try {
        const steady_time now = m_state->time.now();
        const fleet::server_record decoded = platform::decode_server_record(record.key, *record.value);
        const bool may_be_copied = log_position{.era = era, .offset = record.offset} < m_copied_until;
        const bool was_warming_up = is_warming_up(m_state->directory.find(server));
        const fleet::directory_change change =
            may_be_copied ? m_state->directory.apply_copied(decoded, now) : m_state->directory.apply(decoded, now);
        if (change == fleet::directory_change::restarted) {
            m_state->health.forget(server);
            m_state->record_server_down(server);
        }
        report(server, change);
        return change != fleet::directory_change::none ||
               was_warming_up != is_warming_up(m_state->directory.find(server));
    } catch (const malformed_message_error& fault) {
        log_event("server_entry_rejected")
            .add("server", record.key)
            .add("offset", record.offset)
            .add("reason", fault.what())
            .write(*m_log, spdlog::level::warn);
        return false;
    }
}

void server_list_follower::report_page(std::string_view source, std::string_view result, const log_position& from,
                                       const platform::store_page& page, duration age) const {
    log_event("server_list_page")
        .add("source", source)
        .add("result", result)
        .add("from", from.offset)
        .add("next", page.next.offset)
        .add("end", page.end.offset)
        .add("read_position", m_topic.get_next_position().value_or(log_position()).offset)
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
    if (const fleet::listed_server* listed = m_state->directory.find(server); listed != nullptr) {
        event.add("service", listed->record.service.value()).add("address", format_endpoint(listed->record.address));
        event.add("zone", listed->record.zone.value()).add("cheap", listed->record.is_cheap);
        event.add("stage", listed->record.stage ? fleet::get_stage_name(*listed->record.stage) : "none");
        event.add("started_at", listed->record.started_at_ms);
    }
    event.write(*m_log, spdlog::level::info);
}

} // namespace dragonflywell::daemon
