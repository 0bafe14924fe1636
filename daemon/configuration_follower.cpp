#include "daemon/configuration_follower.hpp"

#include "core/error.hpp"
#include "platform/configuration_decoder.hpp"
#include "platform/wire_names.hpp"
#include "servers/sleep.hpp"

namespace dragonflywell::daemon {

namespace {

/// Pause before the next read of a store that answered with stale state.
constexpr duration stale_pause = std::chrono::milliseconds(400);

/// Fractions of the bound: the time limit for the header of a change that is known to exist; the length of a long poll;
/// and the age of the configuration at which a host that is not the group leader reads the store itself. A long poll
/// and a heartbeat fit into that age, so that a lost digest does not make every host read.
constexpr double change_timeout_fraction = 0.5;
constexpr double long_poll_fraction = 0.25;
constexpr double max_age_fraction = 0.5;

/// Number of changes that one datagram repeats, so that a host that missed some of them need not read the store.
constexpr std::size_t max_relayed_changes = 8;

duration get_fraction(duration whole, double fraction) {
    return std::chrono::duration_cast<duration>(whole * fraction);
}

} // namespace

configuration_follower::configuration_follower(platform::store_client& store, servers::serving_state& state,
                                               duration bound, std::function<void()> on_change)
    : m_store(&store), m_state(&state), m_change_timeout(get_fraction(bound, change_timeout_fraction)),
      m_long_poll_time(get_fraction(bound, long_poll_fraction)), m_max_age(get_max_age(bound)),
      m_on_change(std::move(on_change)), m_log(get_logger("configuration")), m_dependency(*m_log, "configuration"),
      m_read_timer(state.executor) {
    store.add_era_listener(*this);
}

configuration_follower::~configuration_follower() {
    m_store->remove_era_listener(*this);
}

duration configuration_follower::get_max_age(duration bound) {
    return get_fraction(bound, max_age_fraction);
}

servers::asio::awaitable<void> configuration_follower::run() {
    for (;;) {
        if (!m_is_reader && !m_topic.is_read_due(m_max_age, m_state->time.now())) {
            co_await wait_for_leader();
            continue;
        }
        bool has_failed = false;
        const std::optional<log_position> before = m_topic.get_next_position();
        try {
            co_await follow_once();
            m_dependency.record_success(m_state->time.now());
        } catch (const platform::store_history_dropped_error&) {
            m_topic.record_truncation();
        } catch (const platform::store_unavailable_error& fault) {
            m_dependency.record_failure(m_state->time.now(), fault.what());
            has_failed = true;
        }
        // While the store answers with stale state, reading it again at once returns nothing new.
        const bool is_stale = m_topic.is_lagging() && m_topic.get_next_position() == before;
        if (has_failed) {
            co_await m_store->wait_until_call_allowed();
        } else if (is_stale) {
            co_await servers::sleep_for(stale_pause);
        }
    }
}

servers::asio::awaitable<void> configuration_follower::wait_for_leader() {
    m_read_timer.expires_after(m_max_age - m_topic.get_staleness(m_state->time.now()));
    servers::error_code ignored;
    co_await m_read_timer.async_wait(servers::store_error(ignored));
}

void configuration_follower::set_reader(bool is_reader) {
    if (m_is_reader != is_reader) {
        m_is_reader = is_reader;
        m_read_timer.cancel();
    }
}

void configuration_follower::update_leader_position(const servers::digest_read_position& position) {
    if (m_topic.update_leader_position(position.end.value_or(log_position()), position.age, m_state->time.now())) {
        m_read_timer.cancel();
    }
    m_state->set_configuration_current_at(m_topic.get_caught_up_at());
}

void configuration_follower::on_era_changed(std::uint64_t era) {
    if (m_topic.note_era(era)) {
        m_read_timer.cancel();
    }
}

servers::digest_read_position configuration_follower::get_read_position() const {
    return {.end = m_topic.get_next_position(), .age = m_topic.get_staleness(m_state->time.now())};
}

servers::asio::awaitable<void> configuration_follower::follow_once() {
    const std::optional<log_position> next = m_topic.get_next_position();
    const steady_time sent_at = m_state->time.now();
    // Configurations may be large, so versions that are already replaced are not fetched.
    if (!next || m_topic.get_lag() > 1) {
        const platform::store_page listing = co_await m_store->read_newest(platform::wire::operator_topic);
        if (m_topic.is_stale_listing(listing.next)) {
            throw platform::store_unavailable_error("the listing of the store is older than what was read before",
                                                    false);
        }
        apply(listing, sent_at, sent_at);
        co_return;
    }
    // Only the group leader uses long polls, and only while the store is available and this host is up to date.
    const bool may_wait = m_is_reader && !m_topic.is_lagging() && !m_dependency.is_unavailable();
    const duration wait = may_wait ? m_long_poll_time : duration::zero();
    const std::optional<duration> header_timeout =
        m_topic.is_lagging() ? std::optional(m_change_timeout) : std::nullopt;
    const platform::store_page page =
        co_await m_store->read(platform::wire::operator_topic, *next, wait, header_timeout);
    // The store sends an empty answer when the long poll ends.
    apply(page, page.records.empty() ? m_state->time.now() : sent_at, sent_at);
}

void configuration_follower::apply(const platform::store_page& page, steady_time at, steady_time sent_at) {
    for (auto record = page.records.rbegin(); record != page.records.rend(); ++record) {
        // Earlier records matter when the newest one is invalid or, after a return of the store, an earlier version.
        if (record->key == platform::wire::configuration_key && record->value) {
            apply_configuration(*record, page.next, sent_at);
        }
    }
    const bool has_records = !page.records.empty();
    m_topic.record_read(page.next, page.end, at);
    apply_pending_changes();
    m_state->set_configuration_current_at(m_topic.get_caught_up_at());
    if (has_records && m_is_reader) {
        m_state->notify_load_change();
    }
}

void configuration_follower::apply_configuration(const platform::keyed_record& record, const log_position& next,
                                                 steady_time sent_at) {
    const steady_time received_at = m_state->time.now();
    try {
        fleet::serving_configuration configuration = platform::decode_configuration(*record.value);
        const std::shared_ptr<const fleet::serving_view> previous = m_state->get_view();
        if (previous != nullptr && configuration.version <= previous->get_version()) {
            return;
        }
        put_in_force(std::move(configuration));
        log_event("configuration_in_force")
            .add("version", m_state->get_view()->get_version())
            .add("source", "store")
            .add("offset", record.offset)
            .add("routes", m_state->get_view()->get_configuration().routes.size())
            .add("bytes", record.value->size())
            .add("read_ms", received_at - sent_at)
            .add("decode_ms", m_state->time.now() - received_at)
            .write(*m_log, spdlog::level::info);
        if (m_is_reader && m_relay && previous != nullptr) {
            relay_change(previous->get_configuration(), next);
        }
    } catch (const malformed_message_error& fault) {
        log_event("configuration_rejected")
            .add("offset", record.offset)
            .add("reason", fault.what())
            .write(*m_log, spdlog::level::err);
    }
}

void configuration_follower::put_in_force(fleet::serving_configuration configuration) {
    m_state->set_view(std::make_shared<fleet::serving_view>(std::move(configuration)));
    m_on_change();
}

void configuration_follower::relay_change(const fleet::serving_configuration& previous, const log_position& next) {
    std::optional<fleet::configuration_delta> delta =
        fleet::make_delta(previous, m_state->get_view()->get_configuration());
    if (!delta) {
        m_relayed_changes.clear();
        return;
    }
    std::erase_if(m_relayed_changes, [&](const gossip::relayed_change& change) { return change.next.era != next.era; });
    m_relayed_changes.push_back({.delta = std::move(*delta), .next = next});
    if (m_relayed_changes.size() > max_relayed_changes) {
        m_relayed_changes.erase(m_relayed_changes.begin());
    }
    m_relay(m_relayed_changes);
}

void configuration_follower::apply_relayed(gossip::relayed_configuration changes) {
    for (const gossip::relayed_change& change : changes) {
        on_era_changed(change.next.era);
    }
    m_pending_changes = std::move(changes);
    apply_pending_changes();
}

void configuration_follower::apply_pending_changes() {
    for (const gossip::relayed_change& change : m_pending_changes) {
        const std::shared_ptr<const fleet::serving_view> current = m_state->get_view();
        const std::optional<log_position> next = m_topic.get_next_position();
        const bool is_same_era = next && next->era == change.next.era;
        const bool continues = is_same_era && current != nullptr &&
                               current->get_version() == change.delta.base_version &&
                               change.delta.version > change.delta.base_version;
        if (!continues) {
            continue;
        }
        const steady_time received_at = m_state->time.now();
        put_in_force(fleet::apply_delta(current->get_configuration(), change.delta));
        // The leader's next digest states when the topic ended there.
        m_topic.record_read(change.next, change.next, m_topic.get_caught_up_at());
        log_event("configuration_in_force")
            .add("version", change.delta.version)
            .add("source", "relay")
            .add("offset", change.next.offset)
            .add("routes", m_state->get_view()->get_configuration().routes.size())
            .add("decode_ms", m_state->time.now() - received_at)
            .write(*m_log, spdlog::level::info);
    }
}

} // namespace dragonflywell::daemon
