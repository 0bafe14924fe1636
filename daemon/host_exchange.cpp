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
/// The same in a group of this many hosts or more, each of which has to take what all others send.
constexpr duration large_group_send_interval = std::chrono::milliseconds(50);
constexpr std::size_t many_hosts = 10;
constexpr duration keep_alive_interval = std::chrono::milliseconds(500);
/// A host that was not heard for this long counts as gone: its work is not known any more.
constexpr duration silence = std::chrono::milliseconds(2500);
constexpr duration list_wait = std::chrono::seconds(20);
/// How long news of hosts gather before they are read: when a fleet starts, each host would read once for each other.
constexpr duration list_pause = std::chrono::seconds(1);
/// Time between two tries to record what a silent host had counted.
constexpr duration record_retry = std::chrono::milliseconds(500);
/// Windows whose counts are told: the current one, and those that may not be reported yet.
constexpr std::int64_t told_windows = 3;
/// A death is told a few times, so that a lost datagram does not matter, and so many at once that they fit.
constexpr duration told_death_age = std::chrono::seconds(3);
constexpr std::size_t most_told_deaths = 64;
constexpr int most_record_attempts = 10;
/// Windows for which the counts of other hosts are kept: older ones are reported, or too late to be.
constexpr std::int64_t kept_usage_windows = 6;
/// How long a host of the group is silent until its entry is dropped; a host that comes back announces itself.
constexpr duration gone_after = std::chrono::seconds(60);
constexpr std::size_t most_datagram_bytes = 60'000;
/// Hosts' clocks that are this close are as close as clocks are.
constexpr duration tolerated_time_difference = std::chrono::milliseconds(150);

std::string encode_host_entry(const host_exchange_options& options) {
    return boost::json::serialize(boost::json::object{{"address", format_endpoint(options.listen)},
                                                      {"zone", options.zone.value()},
                                                      {"incarnation", options.incarnation}});
}

/// Encodes records that this host has read, for others of its group.
std::string encode_news(std::uint64_t from, const platform::store_page& page) {
    boost::json::array records;
    for (const platform::keyed_record& record : page.records) {
        const boost::json::value value = record.value ? boost::json::value(*record.value) : boost::json::value();
        records.push_back(boost::json::array{record.offset, record.key, value});
    }
    return boost::json::serialize(boost::json::object{{"from", from}, {"end", page.end}, {"news", records}});
}

/// Throws `malformed_message_error`.
platform::store_page decode_news(const boost::json::object& news) {
    constexpr std::size_t fields = 3;
    platform::store_page page{.records = {}, .end = json::get_unsigned(news, "end"), .topic_end = 0};
    page.topic_end = page.end;
    for (const boost::json::value& item : json::get_array(news, "news")) {
        const boost::json::array* record = item.if_array();
        if (record == nullptr || record->size() != fields || !(*record)[1].is_string()) {
            throw malformed_message_error("a record of the news has another form");
        }
        platform::keyed_record decoded{.offset = (*record)[0].to_number<std::uint64_t>(),
                                       .key = std::string((*record)[1].get_string()),
                                       .value = {}};
        if ((*record)[2].is_string()) {
            decoded.value = std::string((*record)[2].get_string());
        }
        page.records.push_back(std::move(decoded));
    }
    return page;
}

} // namespace

host_exchange::host_exchange(boost::asio::io_context& loop, platform::store_client& store,
                             servers::serving_state& state, configuration_follower& configuration,
                             server_list_follower& servers, lease_keeper& lease, host_exchange_options options)
    : m_store(&store), m_state(&state), m_configuration(&configuration), m_servers(&servers), m_lease(&lease),
      m_options(std::move(options)), m_log(get_logger("hosts")), m_dependency(*m_log, "host_list"),
      m_socket(loop, udp::endpoint(boost::asio::ip::make_address(m_options.listen.address), m_options.listen.port)),
      m_send_timer(loop) {
    m_socket.non_blocking(true);
}

void host_exchange::start() {
    boost::asio::co_spawn(m_state->executor, follow_hosts(), boost::asio::detached);
    boost::asio::co_spawn(m_state->executor, receive(), boost::asio::detached);
    boost::asio::co_spawn(m_state->executor, keep_alive(), boost::asio::detached);
    m_state->on_load_change = [this] { schedule(); };
    m_servers->set_on_news([this](std::uint64_t from, const platform::store_page& page) { pass_news_on(from, page); });
}

void host_exchange::schedule() {
    if (m_is_scheduled) {
        return;
    }
    m_is_scheduled = true;
    const bool is_large_group = m_others.size() > many_hosts;
    m_send_timer.expires_after(is_large_group ? large_group_send_interval : send_interval);
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
        co_await servers::pause(has_failed ? m_dependency.get_retry_pause() : list_pause);
    }
}

servers::asio::awaitable<void> host_exchange::announce() {
    const std::string entry = encode_host_entry(m_options);
    co_await m_store->append(topics::hosts, m_options.host, entry);
}

void host_exchange::take_hosts(const platform::store_page& page) {
    for (const platform::keyed_record& record : page.records) {
        if (record.key == m_options.host) {
            continue;
        }
        if (!record.value || record.value->empty()) {
            m_others.erase(record.key);
            continue;
        }
        try {
            const boost::json::value document = json::parse(*record.value);
            const boost::json::object& entry = json::as_object(document, "entry of a host");
            const std::optional<endpoint> address = parse_endpoint(json::get_string(entry, "address"));
            if (!address) {
                throw malformed_message_error("address is no IP number and port");
            }
            other_host& other = m_others[record.key];
            other.address = udp::endpoint(boost::asio::ip::make_address(address->address), address->port);
            other.zone = zone_name(json::get_string(entry, "zone"));
        } catch (const malformed_message_error& fault) {
            log_event("host_entry_rejected")
                .add("host", record.key)
                .add("reason", fault.what())
                .write(*m_log, spdlog::level::warn);
        }
    }
    m_next = page.end;
    update_groups();
}

void host_exchange::update_groups() {
    std::map<std::string, zone_name> zones;
    for (const auto& [name, other] : m_others) {
        zones.emplace(name, other.zone);
    }
    m_state->peers.groups.set_hosts(zones);
    for (auto& [name, other] : m_others) {
        other.is_near = m_state->peers.groups.is_near(name, other.zone);
        if (!other.is_near) {
            m_state->drop_other(name);
        }
    }
    m_state->set_hosts(m_others.size() + 1);
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
        take_datagram(std::string_view(buffer).substr(0, received));
    }
}

void host_exchange::take_datagram(std::string_view text) {
    try {
        const boost::json::value document = json::parse(text);
        const boost::json::object& message = json::as_object(document, "datagram");
        if (message.contains("news")) {
            take_news(message);
        } else {
            take(servers::decode_host_digest(message));
        }
    } catch (const malformed_message_error& broken) {
        log_event("datagram_rejected").add("reason", broken.what()).write(*m_log, spdlog::level::warn);
    }
}

void host_exchange::take_news(const boost::json::object& news) {
    const platform::store_page page = decode_news(news);
    m_servers->take_news(json::get_unsigned(news, "from"), page);
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
    other.silent_since.reset();
    other.ahead = digest.true_time - m_state->get_true_time();
    other.is_stopping = digest.is_stopping;
    if (digest.holds_lease) {
        m_lease->note_holder_alive();
    }
    for (const policy::engine_death& death : digest.deaths) {
        m_state->suspects.add_death(death);
    }
    if (!other.is_near) {
        m_state->peers.take_far(digest);
        take_touches(digest);
        return;
    }
    if (!digest.usage.empty()) {
        other.usage = digest.usage;
    }
    m_state->peers.take_near(digest);
    apply_load(digest);
    take_readings(digest);
}

void host_exchange::take_readings(const servers::host_digest& digest) {
    if (digest.configuration) {
        m_configuration->take_hint(*digest.configuration);
    }
    if (digest.servers) {
        m_servers->take_hint(*digest.servers);
    }
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
    }
    take_touches(digest);
    share_prompts(digest.touches);
}

void host_exchange::take_touches(const servers::host_digest& digest) {
    for (auto& [service, engines] : m_state->get_engines()) {
        for (const servers::digest_touch& touch : digest.touches) {
            engines.board.touch(touch.engine, touch.parts);
        }
    }
}

void host_exchange::share_prompts(const std::vector<servers::digest_touch>& touches) {
    if (!has_far_hosts() || !is_first_alive()) {
        return;
    }
    for (const servers::digest_touch& touch : touches) {
        m_shared_prompts.add(touch, m_state->time.now());
    }
}

bool host_exchange::has_far_hosts() const {
    return std::any_of(m_others.begin(), m_others.end(), [](const auto& item) { return !item.second.is_near; });
}

servers::asio::awaitable<void> host_exchange::keep_alive() {
    for (;;) {
        co_await servers::pause(keep_alive_interval);
        drop_silent();
        drop_entries_of_gone();
        correct_time();
        const bool is_first = is_first_alive();
        m_configuration->set_reader(is_first);
        m_servers->set_reader(is_first);
        m_state->peers.forget_usage_before(m_state->usage.get_window(m_state->get_true_time()) - kept_usage_windows);
        m_is_keep_alive_due = true;
        schedule();
    }
}

void host_exchange::drop_silent() {
    const steady_time now = m_state->time.now();
    for (auto& [name, other] : m_others) {
        if (!other.heard_at || now - *other.heard_at <= silence) {
            continue;
        }
        other.heard_at.reset();
        other.silent_since = now;
        m_state->drop_other(name);
        if (!other.is_near) {
            continue;
        }
        log_event("host_silent").add("host", name).write(*m_log, spdlog::level::info);
        if (is_first_alive() && !other.usage.empty()) {
            boost::asio::co_spawn(m_state->executor,
                                  record_usage_of(name, other.incarnation, std::exchange(other.usage, {})),
                                  boost::asio::detached);
        }
    }
}

void host_exchange::drop_entries_of_gone() {
    const steady_time now = m_state->time.now();
    if (!is_first_alive()) {
        return;
    }
    for (auto& [name, other] : m_others) {
        if (other.is_near && other.silent_since && now - *other.silent_since > gone_after) {
            other.silent_since.reset();
            boost::asio::co_spawn(m_state->executor, drop_entry(name), boost::asio::detached);
        }
    }
}

servers::asio::awaitable<void> host_exchange::drop_entry(std::string host) {
    try {
        co_await m_store->append(topics::hosts, host, "");
        log_event("host_entry_dropped").add("host", host).write(*m_log, spdlog::level::info);
    } catch (const platform::store_unavailable_error& fault) {
        // The entry of a host that is gone only costs some datagrams to nobody.
        m_dependency.set_lost(m_state->time.now(), fault.what());
    }
}

bool host_exchange::is_first_alive() const {
    return !m_state->is_stopping && std::none_of(m_others.begin(), m_others.end(), [&](const auto& item) {
        const other_host& other = item.second;
        return other.is_near && other.heard_at && !other.is_stopping && item.first < m_options.host;
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
            co_await servers::pause(record_retry);
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

servers::host_digest host_exchange::make_head() {
    servers::host_digest digest;
    digest.host = m_options.host;
    digest.zone = m_options.zone;
    digest.group = m_state->peers.groups.get_name();
    digest.incarnation = m_options.incarnation;
    digest.sequence = ++m_sequence;
    digest.true_time = m_state->get_true_time();
    digest.is_stopping = m_state->is_stopping;
    digest.holds_lease = m_lease->is_held();
    if (m_is_keep_alive_due) {
        digest.deaths = m_state->suspects.get_newest_deaths(digest.true_time, told_death_age, most_told_deaths);
    }
    digest.transitions = m_state->get_own_transitions();
    return digest;
}

servers::host_digest host_exchange::make_near_digest() {
    servers::host_digest digest = make_head();
    digest.instances = m_state->get_own_in_flight();
    digest.touches = std::exchange(m_state->touches, {});
    share_prompts(digest.touches);
    add_engines(digest);
    if (m_is_keep_alive_due) {
        add_usage(digest);
    }
    if (is_first_alive()) {
        digest.configuration = m_configuration->get_reading();
        digest.servers = m_servers->get_reading();
    }
    return digest;
}

servers::host_digest host_exchange::make_far_digest() {
    servers::host_digest digest = make_head();
    if (is_first_alive()) {
        add_summaries(digest);
        digest.touches = m_shared_prompts.take(m_state->time.now());
    }
    return digest;
}

void host_exchange::add_usage(servers::host_digest& digest) const {
    const std::int64_t current = m_state->usage.get_window(m_state->get_true_time());
    const auto& windows = m_state->usage.get_windows();
    digest.usage = {windows.lower_bound(current - told_windows + 1), windows.end()};
}

void host_exchange::add_engines(servers::host_digest& digest) const {
    const steady_time now = m_state->time.now();
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
}

void host_exchange::add_summaries(servers::host_digest& digest) const {
    for (const auto& [service, engines] : m_state->get_engines()) {
        digest.read_demand.emplace(service, m_state->get_near_read_demand(service));
        digest.summaries.emplace(service, m_state->get_summary(service));
    }
}

void host_exchange::send() {
    send_to(servers::encode_host_digest(make_near_digest()), true);
    const bool speaks = is_first_alive() || m_lease->is_held();
    if (m_is_keep_alive_due && speaks && has_far_hosts()) {
        send_to(servers::encode_host_digest(make_far_digest()), false);
    }
    m_is_keep_alive_due = false;
}

void host_exchange::send_to(const std::string& text, bool is_near) {
    if (text.size() > most_datagram_bytes) {
        log_event("datagram_too_large").add("bytes", text.size()).write(*m_log, spdlog::level::warn);
        return;
    }
    for (const auto& [name, other] : m_others) {
        if (other.is_near != is_near) {
            continue;
        }
        error_code ignored;
        // A datagram that is lost is replaced by the next one.
        m_socket.send_to(boost::asio::buffer(text), other.address, 0, ignored);
    }
}

void host_exchange::pass_news_on(std::uint64_t from, const platform::store_page& page) {
    const std::string text = encode_news(from, page);
    if (text.size() <= most_datagram_bytes) {
        send_to(text, true);
    }
}

} // namespace dragonflywell::daemon
