#include "daemon/host_exchange.hpp"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json.hpp>

#include "coordination/usage_book.hpp"
#include "core/error.hpp"
#include "core/json.hpp"
#include "core/log_event.hpp"
#include "daemon/store_topics.hpp"
#include "servers/pause.hpp"

namespace dragonflywell::daemon {

using boost::asio::ip::udp;
using servers::error_code;

namespace {

/// Changes of this span are told together; a prompt is read in some ten times as long.
constexpr duration send_interval = std::chrono::milliseconds(25);
constexpr duration keep_alive_interval = std::chrono::milliseconds(500);
/// A host that was not heard for this long counts as gone: its work is not known any more.
constexpr duration silence = std::chrono::milliseconds(2500);
constexpr duration list_wait = std::chrono::seconds(10);
constexpr duration list_retry = std::chrono::milliseconds(500);
/// Windows whose counts are told: the current one, and those that may not be reported yet.
constexpr std::int64_t told_windows = 3;
constexpr int most_record_attempts = 10;
constexpr std::size_t most_datagram_bytes = 60'000;
/// Hosts' clocks that are this close are as close as clocks are.
constexpr duration tolerated_time_difference = std::chrono::milliseconds(150);

std::string encode_host_entry(const endpoint& address, std::uint64_t incarnation) {
    return boost::json::serialize(
        boost::json::object{{"address", format_endpoint(address)}, {"incarnation", incarnation}});
}

} // namespace

host_exchange::host_exchange(boost::asio::io_context& loop, platform::store_client& store,
                             servers::serving_state& state, host_exchange_options options)
    : m_store(&store), m_state(&state), m_options(std::move(options)), m_log(get_logger("hosts")),
      m_dependency(*m_log, "host_list"),
      m_socket(loop, udp::endpoint(boost::asio::ip::make_address(m_options.listen.address), m_options.listen.port)),
      m_send_timer(loop) {
    m_socket.non_blocking(true);
}

void host_exchange::start() {
    boost::asio::co_spawn(m_state->executor, follow_hosts(), boost::asio::detached);
    boost::asio::co_spawn(m_state->executor, receive(), boost::asio::detached);
    boost::asio::co_spawn(m_state->executor, keep_alive(), boost::asio::detached);
    m_state->on_load_change = [this] { schedule(); };
}

void host_exchange::schedule() {
    if (m_is_scheduled) {
        return;
    }
    m_is_scheduled = true;
    m_send_timer.expires_after(send_interval);
    m_send_timer.async_wait([this](const error_code& fault) {
        m_is_scheduled = false;
        if (!fault) {
            send();
        }
    });
}

servers::asio::awaitable<void> host_exchange::follow_hosts() {
    bool is_announced = false;
    for (;;) {
        bool has_failed = false;
        try {
            if (!is_announced) {
                co_await announce();
                is_announced = true;
            }
            if (m_next) {
                take_hosts(co_await m_store->read(topics::hosts, *m_next, list_wait));
            } else {
                take_hosts(co_await m_store->read_newest(topics::hosts));
            }
            m_dependency.set_reached(m_state->time.now());
        } catch (const platform::store_history_dropped_error&) {
            m_next.reset();
        } catch (const platform::store_unavailable_error& fault) {
            m_dependency.set_lost(m_state->time.now(), fault.what());
            has_failed = true;
        }
        if (has_failed) {
            co_await servers::pause(list_retry);
        }
    }
}

servers::asio::awaitable<void> host_exchange::announce() {
    co_await m_store->append(topics::hosts, m_options.host, encode_host_entry(m_options.listen, m_options.incarnation));
}

void host_exchange::take_hosts(const platform::store_page& page) {
    for (const platform::keyed_record& record : page.records) {
        if (record.key == m_options.host || !record.value || record.value->empty()) {
            continue;
        }
        try {
            const boost::json::value document = json::parse(*record.value);
            const boost::json::object& entry = json::as_object(document, "entry of a host");
            const std::optional<endpoint> address = parse_endpoint(json::get_string(entry, "address"));
            if (!address) {
                throw malformed_message_error("address is no IP number and port");
            }
            m_others[record.key].address =
                udp::endpoint(boost::asio::ip::make_address(address->address), address->port);
        } catch (const malformed_message_error& fault) {
            log_event("host_entry_rejected")
                .add("host", record.key)
                .add("reason", fault.what())
                .write(*m_log, spdlog::level::warn);
        }
    }
    m_next = page.end;
}

servers::asio::awaitable<void> host_exchange::receive() {
    std::string buffer(most_datagram_bytes, '\0');
    for (;;) {
        udp::endpoint sender;
        error_code fault;
        const std::size_t received =
            co_await m_socket.async_receive_from(boost::asio::buffer(buffer), sender, servers::store_error(fault));
        if (fault) {
            co_await servers::pause(send_interval);
            continue;
        }
        try {
            take(servers::decode_host_digest(std::string_view(buffer).substr(0, received)));
        } catch (const malformed_message_error& broken) {
            log_event("digest_rejected").add("reason", broken.what()).write(*m_log, spdlog::level::warn);
        }
    }
}

void host_exchange::take(const servers::host_digest& digest) {
    const auto found = m_others.find(digest.host);
    if (found == m_others.end()) {
        // A host that isn't listed here yet will be; what it says can wait until then.
        return;
    }
    other_host& other = found->second;
    const bool is_older_life = digest.incarnation < other.incarnation;
    const bool is_older = digest.incarnation == other.incarnation && digest.sequence <= other.sequence;
    if (is_older_life || is_older) {
        return;
    }
    other.incarnation = digest.incarnation;
    other.sequence = digest.sequence;
    if (!other.heard_at) {
        log_event("host_heard").add("host", digest.host).write(*m_log, spdlog::level::info);
    }
    other.heard_at = m_state->time.now();
    other.ahead = digest.true_time - m_state->get_true_time();
    if (!digest.usage.empty()) {
        other.usage = digest.usage;
        m_state->set_other_usage(digest.host, digest.incarnation, digest.usage);
    }
    apply_load(digest);
}

void host_exchange::apply_load(const servers::host_digest& digest) {
    const steady_time now = m_state->time.now();
    std::map<backend_server_name, policy::engine_share> shares;
    for (const auto& [name, engine] : digest.engines) {
        policy::engine_share share{.prompts = {}, .running = engine.running, .running_tokens = engine.running_tokens};
        for (const servers::digest_prompt& prompt : engine.prompts) {
            share.prompts.push_back(
                {.number = prompt.number, .sent_at = now - prompt.age, .cost = prompt.cost, .urgency = prompt.urgency});
        }
        shares.emplace(name, std::move(share));
    }
    for (auto& [service, engines] : m_state->get_engines()) {
        engines.board.set_other(digest.host, shares, now);
        for (const servers::digest_touch& touch : digest.touches) {
            engines.board.touch(touch.engine, touch.parts);
        }
    }
    m_state->set_other_in_flight(digest.host, digest.instances);
    servers::serving_state::stage_transitions transitions;
    for (const auto& [name, transition] : digest.transitions) {
        transitions.emplace(
            name, servers::serving_state::stage_transition{.stage = transition.stage, .until = now + transition.left});
    }
    m_state->set_other_read_demand(digest.host, digest.incarnation, digest.read_demand);
    m_state->set_other_changing(digest.host, std::move(transitions));
}

servers::asio::awaitable<void> host_exchange::keep_alive() {
    for (;;) {
        co_await servers::pause(keep_alive_interval);
        drop_silent();
        correct_time();
        m_tells_usage = true;
        schedule();
    }
}

void host_exchange::drop_silent() {
    const steady_time now = m_state->time.now();
    std::size_t heard = 0;
    for (auto& [name, other] : m_others) {
        if (other.heard_at && now - *other.heard_at > silence) {
            other.heard_at.reset();
            m_state->drop_other(name);
            log_event("host_silent").add("host", name).write(*m_log, spdlog::level::info);
            if (is_first_alive() && !other.usage.empty()) {
                boost::asio::co_spawn(m_state->executor,
                                      record_usage_of(name, other.incarnation, std::exchange(other.usage, {})),
                                      boost::asio::detached);
            }
        }
        heard += other.heard_at ? 1 : 0;
    }
    m_state->set_hosts(heard + 1);
}

bool host_exchange::is_first_alive() const {
    return std::none_of(m_others.begin(), m_others.end(), [&](const auto& item) {
        return item.second.heard_at && item.first < m_options.host;
    });
}

servers::asio::awaitable<void> host_exchange::record_usage_of(std::string host, std::uint64_t incarnation,
                                                              std::map<std::int64_t, policy::window_counts> usage) {
    const std::string key = coordination::make_usage_copy_key(host, incarnation);
    coordination::usage_record record{.windows = {}, .closed = 0};
    for (auto& [window, counts] : usage) {
        record.windows.emplace(window, std::move(counts));
    }
    const std::string text = coordination::encode_usage_record(record);
    bool is_recorded = false;
    for (int attempt = 0; attempt < most_record_attempts && !is_recorded; ++attempt) {
        try {
            co_await m_store->append(topics::usage, key, text);
            is_recorded = true;
        } catch (const platform::store_unavailable_error& fault) {
            m_dependency.set_lost(m_state->time.now(), fault.what());
        }
        if (!is_recorded) {
            co_await servers::pause(list_retry);
        }
    }
    log_event("usage_copied").add("host", host).add("recorded", is_recorded).write(*m_log, spdlog::level::info);
}

void host_exchange::correct_time() {
    std::vector<duration> differences{duration::zero()};
    for (const auto& [name, other] : m_others) {
        if (other.heard_at) {
            differences.push_back(other.ahead);
        }
    }
    // With two hosts nobody knows which one is right.
    constexpr std::size_t least_hosts = 3;
    if (differences.size() < least_hosts) {
        return;
    }
    const auto middle = differences.begin() + static_cast<std::ptrdiff_t>(differences.size() / 2);
    std::nth_element(differences.begin(), middle, differences.end());
    if (std::chrono::abs(*middle) <= tolerated_time_difference) {
        return;
    }
    log_event("time_corrected").add("by_ms", *middle).write(*m_log, spdlog::level::warn);
    m_state->correct_true_time(*middle);
    for (auto& [name, other] : m_others) {
        other.ahead -= *middle;
    }
}

servers::host_digest host_exchange::make_digest() {
    const steady_time now = m_state->time.now();
    servers::host_digest digest{.host = m_options.host,
                                .incarnation = m_options.incarnation,
                                .sequence = ++m_sequence,
                                .true_time = m_state->get_true_time(),
                                .is_stopping = m_state->is_stopping,
                                .engines = {},
                                .instances = m_state->get_own_in_flight(),
                                .touches = std::exchange(m_state->touches, {}),
                                .transitions = {},
                                .read_demand = {},
                                .usage = {}};
    if (std::exchange(m_tells_usage, false)) {
        const std::int64_t current = m_state->usage.get_window(m_state->get_true_time());
        const auto& windows = m_state->usage.get_windows();
        digest.usage = {windows.lower_bound(current - told_windows + 1), windows.end()};
    }
    for (const auto& [name, transition] : m_state->get_own_changing()) {
        if (m_state->is_changing(name)) {
            digest.transitions.emplace(
                name, servers::digest_transition{.stage = transition.stage, .left = transition.until - now});
        }
    }
    for (const auto& [service, engines] : m_state->get_engines()) {
        digest.read_demand.emplace(service, engines.get_read_demand());
        for (const auto& [name, engine] : engines.board.get_engines()) {
            if (engine.own.running == 0 && engine.own.prompts.empty()) {
                continue;
            }
            servers::digest_engine& told = digest.engines[name];
            told.running = engine.own.running;
            told.running_tokens = engine.own.running_tokens;
            for (const policy::prompt_job& job : engine.own.prompts) {
                told.prompts.push_back(
                    {.number = job.number, .age = now - job.sent_at, .cost = job.cost, .urgency = job.urgency});
            }
        }
    }
    return digest;
}

void host_exchange::send() {
    const std::string text = servers::encode_host_digest(make_digest());
    if (text.size() > most_datagram_bytes) {
        log_event("digest_too_large").add("bytes", text.size()).write(*m_log, spdlog::level::warn);
        return;
    }
    for (const auto& [name, other] : m_others) {
        error_code ignored;
        // A datagram that is lost is replaced by the next one.
        m_socket.send_to(boost::asio::buffer(text), other.address, 0, ignored);
    }
}

} // namespace dragonflywell::daemon
