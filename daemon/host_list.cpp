#include "daemon/host_list.hpp"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json.hpp>
#include <limits>

#include "core/error.hpp"
#include "core/json.hpp"
#include "core/log_event.hpp"
#include "core/text.hpp"
#include "daemon/store_topics.hpp"
#include "servers/sleep.hpp"

namespace dragonflywell::daemon {

namespace {

/// Length of a long poll of the list.
constexpr duration list_poll_time = std::chrono::seconds(20);
/// Pause between two reads, which batches changes. Without it, each host would read once for every other host that
/// registers when a fleet starts.
constexpr duration list_pause = std::chrono::seconds(1);

} // namespace

std::string encode_host_entry(const listed_host& host) {
    boost::json::object entry{
        {"address", format_endpoint(host.address)}, {"zone", host.zone.value()}, {"incarnation", host.incarnation}};
    if (host.core_thousandths != 0) {
        entry["core_thousandths"] = host.core_thousandths;
    }
    return boost::json::serialize(entry);
}

listed_host decode_host_entry(const std::string& name, std::string_view text) {
    if (!is_entry_name(name)) {
        throw malformed_message_error("the name of the host entry is no name");
    }
    const boost::json::value document = json::parse(text);
    const boost::json::object& entry = json::as_object(document, "host entry");
    const std::optional<endpoint> address = parse_endpoint(json::get_string(entry, "address"));
    if (!address) {
        throw malformed_message_error("key \"address\" must be an IP address and port");
    }
    const std::uint64_t cores = json::get_unsigned_or(entry, "core_thousandths", 0);
    if (cores > std::numeric_limits<std::uint32_t>::max()) {
        throw malformed_message_error("key \"core_thousandths\" is out of range");
    }
    return {.name = name,
            .zone = zone_name(json::get_string(entry, "zone")),
            .address = *address,
            .incarnation = json::get_unsigned_or(entry, "incarnation", 0),
            .core_thousandths = static_cast<std::uint32_t>(cores)};
}

host_list::host_list(platform::store_client& store, servers::serving_state& state, listed_host own)
    : m_store(&store), m_state(&state), m_own(std::move(own)), m_log(get_logger("hosts")),
      m_dependency(*m_log, "host_list") {}

void host_list::start(listeners listeners) {
    m_listeners = std::move(listeners);
    boost::asio::co_spawn(m_state->executor, follow(), boost::asio::detached);
}

servers::asio::awaitable<void> host_list::follow() {
    for (;;) {
        bool has_failed = false;
        duration pause = list_pause;
        try {
            if (!m_is_registered) {
                const std::string entry = encode_host_entry(m_own);
                co_await m_store->append(topics::hosts, m_own.name, entry);
                m_is_registered = true;
            }
            if (m_next) {
                apply(co_await m_store->read(topics::hosts, *m_next, list_poll_time));
            } else {
                const platform::store_page listing = co_await m_store->read_newest(topics::hosts);
                m_is_registered = is_listed_in(listing);
                apply(listing);
            }
            m_dependency.record_success(m_state->time.now());
        } catch (const platform::store_history_dropped_error&) {
            m_next.reset();
            pause = duration::zero();
        } catch (const platform::store_unavailable_error& fault) {
            m_dependency.record_failure(m_state->time.now(), fault.what());
            has_failed = true;
        }
        if (has_failed) {
            co_await m_store->wait_until_call_allowed();
        } else {
            co_await servers::sleep_for(pause);
        }
    }
}

bool host_list::is_listed_in(const platform::store_page& listing) const {
    const std::string entry = encode_host_entry(m_own);
    return std::any_of(listing.records.begin(), listing.records.end(), [&](const platform::keyed_record& record) {
        return record.key == m_own.name && record.value == entry;
    });
}

void host_list::apply(const platform::store_page& page) {
    for (const platform::keyed_record& record : page.records) {
        if (record.key == m_own.name) {
            continue;
        }
        if (!record.value || record.value->empty()) {
            m_listeners.on_removed(record.key);
            continue;
        }
        try {
            m_listeners.on_listed(decode_host_entry(record.key, *record.value));
        } catch (const malformed_message_error& fault) {
            log_event("host_entry_rejected")
                .add("host", record.key)
                .add("reason", fault.what())
                .write(*m_log, spdlog::level::warn);
        }
    }
    m_next = page.next;
    m_listeners.on_page();
}

void host_list::remove(const std::string& host) {
    boost::asio::co_spawn(m_state->executor, send_removal(host), boost::asio::detached);
}

servers::asio::awaitable<void> host_list::send_removal(std::string host) {
    try {
        co_await m_store->append(topics::hosts, host, "");
        log_event("host_entry_dropped").add("host", host).write(*m_log, spdlog::level::info);
    } catch (const platform::store_unavailable_error& fault) {
        m_dependency.record_failure(m_state->time.now(), fault.what());
    }
}

} // namespace dragonflywell::daemon
