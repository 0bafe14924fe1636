#include "soak/soak_platform.hpp"

#include <boost/json.hpp>
#include <fmt/format.h>

#include "daemon/store_topics.hpp"
#include "servers/sleep.hpp"
#include "standin/fault_plan.hpp"
#include "support/odd_keys.hpp"

namespace dragonflywell::soak {

namespace {

constexpr duration response_delay = std::chrono::milliseconds(300);
constexpr duration away_poll_interval = std::chrono::milliseconds(10);
constexpr duration unresponsive_time = std::chrono::seconds(20);
/// In the state `loses_responses`, a call whose number is a multiple of this and that is a write takes effect but gets
/// no response.
constexpr std::uint64_t lost_write_interval = 3;
constexpr const char* operator_topic = "keyed.op";
constexpr const char* servers_topic = "keyed.servers";
constexpr int long_timeout_ms = 20000;
constexpr unsigned status_busy = 503;
constexpr unsigned status_conflict = 409;
constexpr unsigned status_ok = 200;

boost::json::object make_route(const std::string& prefix, const std::string& service, const std::string& kind,
                               bool is_resumable, int attempts, int timeout_ms = 4000) {
    return {{"name", prefix},
            {"host", "soak.example"},
            {"pathPrefix", "/" + prefix + "/"},
            {"service", service},
            {"kind", kind},
            {"resumable", is_resumable},
            {"attempts", attempts},
            {"timeoutMs", timeout_ms},
            {"targetLatencyMs", 500},
            {"targetGapMs", 300},
            {"sticky", kind == "stream"}};
}

std::string get_header(const servers::http_request& request, const std::string& name) {
    return std::string(request[name]);
}

} // namespace

servers::asio::awaitable<void> faulty_store::handle(servers::http_request request, servers::caller_channel& caller) {
    ++m_calls;
    if (is_away) {
        while (is_away) {
            co_await servers::sleep_for(away_poll_interval);
        }
        throw servers::caller_disconnected_error("the store is away");
    }
    const bool is_write = request.method() == servers::http::verb::post;
    switch (state) {
    case store_state::busy: {
        servers::http_response refusal = standin::make_json_response(status_busy, "{}");
        inner.add_era(refusal);
        co_await caller.send(std::move(refusal));
        co_return;
    }
    case store_state::unresponsive:
        co_await servers::sleep_for(unresponsive_time);
        throw servers::caller_disconnected_error("the store does not respond");
    case store_state::slow:
        co_await servers::sleep_for(response_delay);
        break;
    case store_state::loses_responses:
        if (is_write && m_calls % lost_write_interval == 0) {
            class discarding_channel final : public servers::caller_channel {
            public:
                servers::asio::awaitable<void> send(servers::http_response /*response*/) override { co_return; }
                servers::asio::awaitable<void> start_stream(servers::stream_head /*head*/) override { co_return; }
                servers::asio::awaitable<void> send_chunk(std::string_view /*data*/) override { co_return; }
                servers::asio::awaitable<void> finish_stream() override { co_return; }
                void abort_stream() override {}
                [[nodiscard]] bool is_started() const noexcept override { return false; }
            } discarded;
            co_await inner.handle(std::move(request), discarded);
            co_await servers::sleep_for(unresponsive_time);
            throw servers::caller_disconnected_error("the response of the store was lost");
        }
        break;
    case store_state::healthy:
        break;
    }
    co_await inner.handle(std::move(request), caller);
}

servers::asio::awaitable<void> usage_report_receiver::handle(servers::http_request request,
                                                             servers::caller_channel& caller) {
    if (is_unavailable) {
        servers::http_response refusal = standin::make_json_response(status_busy, "{}");
        co_await caller.send(std::move(refusal));
        co_return;
    }
    const std::string holder = get_header(request, "Dragonflywell-Duty-Holder");
    const std::uint64_t fence = std::stoull(get_header(request, "Dragonflywell-Fence-Token"));
    if (fence < m_newest_fence) {
        servers::http_response conflict = standin::make_json_response(status_conflict, R"({"why":"fence"})");
        co_await caller.send(std::move(conflict));
        co_return;
    }
    m_newest_fence = fence;
    m_checker->add_fence("usage", fence, holder);
    const boost::json::value document = boost::json::parse(request.body());
    std::map<std::string, std::uint64_t> counts;
    for (const auto& count : document.at("counts").as_object()) {
        counts[std::string(count.key())] = count.value().to_number<std::uint64_t>();
    }
    m_checker->add_report(document.at("windowSeq").to_number<std::int64_t>(), counts);
    servers::http_response taken = standin::make_json_response(status_ok, "{}");
    co_await caller.send(std::move(taken));
}

soak_platform::soak_platform(boost::asio::io_context& loop, invariant_checker& checker)
    : reports(checker), m_store_server({&loop}, store, {.listen = {.address = "127.0.0.1", .port = 0}, .limits = {}}),
      m_reports_server({&loop}, reports, {.listen = {.address = "127.0.0.1", .port = 0}, .limits = {}}) {}

void soak_platform::start() {
    put_odd_entries();
    m_store_server.start();
    m_reports_server.start();
}

void soak_platform::put_odd_entries() {
    for (const std::string& key : testing::make_odd_keys()) {
        store.inner.put(servers_topic, key, "not an entry");
        store.inner.put(std::string(daemon::topics::hosts), key, "not an entry");
    }
}

void soak_platform::publish(const std::map<std::string, std::set<std::string>>& keys) {
    boost::json::array organisations;
    for (const auto& [organisation, in_force] : keys) {
        boost::json::array list;
        for (const std::string& key : in_force) {
            list.emplace_back(key);
        }
        organisations.push_back(boost::json::object{{"name", organisation}, {"apiKeys", std::move(list)}});
    }
    // Versions increase in uneven steps.
    m_version += 1 + m_version % 3;
    const boost::json::object engine{{"slots", 16},  {"kvCapacity", 100000}, {"kvTokenBytes", 100}, {"linkMbps", 1000},
                                     {"kvHoldS", 5}, {"switchS", 1},         {"stride", 1}};
    const boost::json::object document{
        {"version", m_version},
        {"routes",
         boost::json::array{make_route("safe", "app", "safe", false, 2), make_route("once", "app", "unsafe", false, 1),
                            make_route("gen", "llm", "stream", false, 1),
                            make_route("long", "llm", "stream", false, 1, long_timeout_ms),
                            make_route("resume", "llm", "stream", true, 2)}},
        {"services",
         boost::json::array{
             boost::json::object{{"name", "app"}, {"healthPath", "/health"}, {"maxConns", 200}},
             boost::json::object{{"name", "llm"}, {"healthPath", "/health"}, {"maxConns", 400}, {"engine", engine}}}},
        {"tenants", organisations},
        {"limits", boost::json::object{{"maxHeaderBytes", 16384},
                                       {"maxBodyBytes", 1048576},
                                       {"headerTimeoutMs", 5000},
                                       {"idleTimeoutMs", 20000}}}};
    m_configurations.push_back(boost::json::serialize(document));
    if (!m_is_restoring) {
        write_configuration(m_configurations.back());
    }
}

void soak_platform::write_configuration(const std::string& document) {
    store.inner.put(operator_topic, "config", document);
    m_on_published(boost::json::parse(document).at("version").to_number<std::uint64_t>());
}

void soak_platform::begin_restore() {
    store.is_away = true;
    m_is_restoring = true;
}

void soak_platform::finish_restore() {
    store.inner.restore();
    store.is_away = false;
}

void soak_platform::rewrite_configurations(bool is_newest_only) {
    const std::size_t kept = store.inner.get_history(operator_topic).size();
    std::vector<std::string> lost(m_configurations.begin() + static_cast<std::ptrdiff_t>(kept), m_configurations.end());
    if (is_newest_only && !lost.empty()) {
        lost.erase(lost.begin(), lost.end() - 1);
    }
    m_configurations.resize(kept);
    for (const std::string& document : lost) {
        m_configurations.push_back(document);
        write_configuration(document);
    }
    m_is_restoring = false;
}

void soak_platform::rewrite_servers() {
    for (const auto& [id, entry] : m_entries) {
        if (store.inner.get(servers_topic, id).value_or("") != entry) {
            store.inner.put(servers_topic, id, entry);
        }
    }
}

void soak_platform::put_server(const std::string& id, const std::string& entry) {
    m_entries[id] = entry;
    store.inner.put(servers_topic, id, entry);
}

endpoint soak_platform::get_store_endpoint() const {
    return {.address = "127.0.0.1", .port = m_store_server.get_port()};
}

endpoint soak_platform::get_reports_endpoint() const {
    return {.address = "127.0.0.1", .port = m_reports_server.get_port()};
}

} // namespace dragonflywell::soak
