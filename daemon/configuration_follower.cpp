#include "daemon/configuration_follower.hpp"

#include "core/error.hpp"
#include "platform/configuration_decoder.hpp"
#include "platform/wire_names.hpp"
#include "servers/pause.hpp"

namespace dragonflywell::daemon {

namespace {

constexpr duration retry_pause = std::chrono::milliseconds(150);

/// A read waits this part of the bound, so that a connection that went silent is noticed well within it.
constexpr double wait_share = 0.5;

} // namespace

configuration_follower::configuration_follower(platform::store_client& store, servers::serving_state& state,
                                               duration bound, std::function<void()> on_change)
    : m_store(&store), m_state(&state), m_bound(bound), m_on_change(std::move(on_change)),
      m_log(get_logger("configuration")), m_dependency(*m_log, "configuration") {}

servers::asio::awaitable<void> configuration_follower::run() {
    for (;;) {
        bool has_failed = false;
        try {
            co_await follow_once();
            m_dependency.set_reached(m_state->time.now());
        } catch (const platform::store_history_dropped_error&) {
            m_next.reset();
        } catch (const platform::store_unavailable_error& fault) {
            m_dependency.set_lost(m_state->time.now(), fault.what());
            has_failed = true;
        }
        if (has_failed) {
            co_await servers::pause(retry_pause);
        }
    }
}

servers::asio::awaitable<void> configuration_follower::follow_once() {
    if (!m_next) {
        take(co_await m_store->read_newest(platform::wire::operator_topic));
        co_return;
    }
    const auto wait = std::chrono::duration_cast<duration>(m_bound * wait_share);
    take(co_await m_store->read(platform::wire::operator_topic, *m_next, wait));
}

void configuration_follower::take(const platform::store_page& page) {
    for (const platform::keyed_record& record : page.records) {
        if (record.key == platform::wire::configuration_key && record.value) {
            put_in_force(record);
        }
    }
    m_next = page.end;
}

void configuration_follower::put_in_force(const platform::keyed_record& record) {
    try {
        fleet::serving_configuration configuration = platform::decode_configuration(*record.value);
        const std::shared_ptr<const fleet::serving_view>& current = m_state->get_view();
        if (current != nullptr && configuration.version <= current->get_version()) {
            return;
        }
        const std::size_t routes = configuration.routes.size();
        const std::uint64_t version = configuration.version;
        m_state->set_view(std::make_shared<fleet::serving_view>(std::move(configuration)));
        log_event("configuration_in_force")
            .add("version", version)
            .add("offset", record.offset)
            .add("routes", routes)
            .write(*m_log, spdlog::level::info);
        m_on_change();
    } catch (const malformed_message_error& fault) {
        log_event("configuration_rejected")
            .add("offset", record.offset)
            .add("reason", fault.what())
            .write(*m_log, spdlog::level::err);
    }
}

} // namespace dragonflywell::daemon
