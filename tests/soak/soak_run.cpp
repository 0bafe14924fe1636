#include "soak/soak_run.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <fmt/format.h>

#include "core/log.hpp"
#include "servers/sleep.hpp"
#include "soak/http_probe.hpp"
#include "support/event_loop.hpp"

namespace dragonflywell::soak {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration usage_window = seconds(2);
/// All time limits apply again when no unplanned fault has begun or ended for this long.
constexpr duration settle_time = seconds(3);
/// Lengths of the two parts of the final fault-free period: the system recovers in the first, and the second contains
/// several usage windows that are checked.
constexpr duration recovery_time = seconds(12);
constexpr duration checked_period = seconds(10);
constexpr duration start_timeout = seconds(15);
constexpr duration poll_interval = milliseconds(250);
/// Fraction of the owed requests in the final fault-free period that must be served.
constexpr double min_served_fraction = 0.97;
constexpr std::size_t organisation_count = 4;

} // namespace

soak_run::soak_run(soak_options options)
    : m_options(std::move(options)), m_random(m_options.seed), m_checker(m_time), m_platform(m_loop, m_checker),
      m_configurations(m_time, m_checker, [this] { return is_planned_only(); }),
      m_restorer(m_platform, m_options.seed, [this] { publish(); }), m_restores_left(m_options.restores) {
    m_platform.set_on_published([this](std::uint64_t version) { m_configurations.add_publication(version); });
    m_context = {.checker = &m_checker,
                 .random = &m_random,
                 .hosts = &m_hosts,
                 .revoked_at = &m_revoked_at,
                 .is_planned_only = [this] { return is_planned_only(); },
                 .is_over = false};
}

bool soak_run::is_planned_only() const {
    return m_unplanned_faults == 0 && m_checker.is_settled(settle_time);
}

soak_result soak_run::run() {
    testing::run_until_done(m_loop, [this] { return run_phases(); });
    return {.violations = m_checker.get_violations(),
            .faults = m_fault_counts,
            .requests = m_checker.get_requests(),
            .served = m_checker.get_served(),
            .reports = m_checker.get_reports()};
}

asio::awaitable<void> soak_run::run_phases() {
    m_platform.start();
    for (std::size_t number = 0; number < m_options.engines + m_options.instances; ++number) {
        const bool is_engine = number < m_options.engines;
        soak_server_options options{.id = fmt::format("s{}", number),
                                    .service = is_engine ? "llm" : "app",
                                    .zone = number % 2 == 0 ? "z1" : "z2",
                                    .stage = is_engine ? (number % 2 == 0 ? "prefill" : "decode") : "",
                                    .usage_window = usage_window};
        m_servers.push_back(
            std::make_unique<soak_server>(m_loop, m_platform, m_checker, m_prompts, m_random, std::move(options)));
        m_servers.back()->start();
    }
    for (std::size_t number = 0; number < organisation_count; ++number) {
        m_keys[fmt::format("org{}", number)] = {fmt::format("key{}", number)};
    }
    publish();
    for (std::size_t number = 0; number < m_options.hosts; ++number) {
        soak_host_options options{.name = fmt::format("h{}", number),
                                  .zone = number % 2 == 0 ? "z1" : "z2",
                                  .program = m_options.program,
                                  .folder = m_options.folder,
                                  .store = m_platform.get_store_endpoint(),
                                  .reports = m_platform.get_reports_endpoint(),
                                  .usage_window = usage_window};
        m_hosts.push_back(std::make_unique<soak_host>(m_loop, m_checker, std::move(options)));
        m_hosts.back()->start();
    }
    asio::co_spawn(m_loop, watch_hosts(), asio::detached);
    co_await wait_until_ready();
    for (std::size_t number = 0; number < m_options.callers; ++number) {
        const std::size_t organisation = number % organisation_count;
        soak_caller_options options{.name = fmt::format("c{}", number),
                                    .organisation = fmt::format("org{}", organisation),
                                    .key = fmt::format("key{}", organisation)};
        m_callers.push_back(std::make_unique<soak_caller>(m_context, std::move(options)));
        asio::co_spawn(m_loop, m_callers.back()->run(), asio::detached);
    }
    co_await inject_faults();
    co_await check_recovery();
    m_context.is_over = true;
    m_checker.check_end();
}

asio::awaitable<void> soak_run::wait_until_ready() {
    const steady_time last = m_time.now() + start_timeout;
    const auto is_ready = [](const std::unique_ptr<soak_host>& host) { return host->is_ready; };
    while (!std::all_of(m_hosts.begin(), m_hosts.end(), is_ready)) {
        if (m_time.now() > last) {
            m_checker.add_violation("not all hosts became ready after their start");
            co_return;
        }
        co_await servers::sleep_for(poll_interval);
    }
}

asio::awaitable<void> soak_run::watch_hosts() {
    while (!m_context.is_over) {
        for (const std::unique_ptr<soak_host>& host : m_hosts) {
            host->check_alive();
            asio::co_spawn(m_loop, check_ready(*host), asio::detached);
            asio::co_spawn(m_loop, check_configuration(*host), asio::detached);
        }
        co_await servers::sleep_for(poll_interval);
    }
}

asio::awaitable<void> soak_run::check_ready(soak_host& host) {
    const std::optional<std::string> page = co_await get_page(host.get_ready(), "/-/ready", poll_interval * 2);
    host.is_ready = page.has_value();
}

asio::awaitable<void> soak_run::check_configuration(soak_host& host) {
    const steady_time asked_at = m_time.now();
    const int start_count = host.get_start_count();
    const std::optional<std::string> page = co_await get_page(host.get_metrics(), "/metrics", poll_interval * 2);
    if (page && host.get_start_count() == start_count) {
        m_configurations.check(host.get_name(), start_count, *page, asked_at);
    }
}

duration soak_run::draw_length(duration least, duration most) {
    return duration(std::uniform_int_distribution<duration::rep>(least.count(), most.count())(m_random));
}

soak_host& soak_run::draw_host() {
    return *m_hosts[std::uniform_int_distribution<std::size_t>(0, m_hosts.size() - 1)(m_random)];
}

soak_server& soak_run::draw_server() {
    return *m_servers[std::uniform_int_distribution<std::size_t>(0, m_servers.size() - 1)(m_random)];
}

void soak_run::publish() {
    m_platform.publish(m_keys);
}

void soak_run::revoke_key() {
    // One organisation loses its only key; the other organisations keep theirs.
    const std::string organisation = fmt::format("org{}", organisation_count - 1);
    for (const std::string& key : m_keys[organisation]) {
        m_revoked_at.emplace(key, m_time.now());
    }
    m_keys[organisation].clear();
    publish();
}

asio::awaitable<void> soak_run::inject_fault(const fault& chosen) {
    // The coroutine owns a copy, because the list from which the fault was chosen may be destroyed before it ends.
    const fault own = chosen;
    if (!own.is_planned) {
        ++m_unplanned_faults;
        m_checker.record_unplanned_fault();
    }
    co_await own.inject();
    if (!own.is_planned) {
        --m_unplanned_faults;
        m_checker.record_unplanned_fault();
    }
}

asio::awaitable<void> soak_run::restore_store() {
    for (; m_restores_left > 0; --m_restores_left) {
        co_await m_restorer.prepare();
        // An unplanned fault: usage is judged only in windows that begin after the recovery from it.
        const fault restore{
            .name = "store restored", .is_planned = false, .inject = [this] { return m_restorer.restore(); }};
        ++m_fault_counts[restore.name];
        co_await inject_fault(restore);
    }
}

asio::awaitable<void> soak_run::inject_faults() {
    co_await servers::sleep_for(seconds(2));
    asio::co_spawn(m_loop, restore_store(), asio::detached);
    const std::vector<fault> faults = make_faults();
    const steady_time last = m_time.now() + m_options.faults;
    while (m_time.now() < last) {
        const fault& chosen = faults[std::uniform_int_distribution<std::size_t>(0, faults.size() - 1)(m_random)];
        ++m_fault_counts[chosen.name];
        asio::co_spawn(m_loop, inject_fault(chosen), asio::detached);
        co_await servers::sleep_for(draw_length(milliseconds(200), seconds(3)));
    }
}

asio::awaitable<void> soak_run::check_recovery() {
    while (m_unplanned_faults > 0 || m_restores_left > 0) {
        m_checker.record_unplanned_fault();
        co_await servers::sleep_for(poll_interval);
    }
    // A stop without other faults: all guarantees of a planned operation hold for its whole length.
    asio::co_spawn(m_loop, stop_host(*m_hosts[m_options.seed % m_hosts.size()]), asio::detached);
    co_await servers::sleep_for(recovery_time);
    static_cast<void>(m_checker.take_served_fraction());
    const auto get_window = [] { return std::chrono::system_clock::now().time_since_epoch() / usage_window; };
    const std::int64_t first = get_window() + 1;
    co_await servers::sleep_for(checked_period);
    const double share = m_checker.take_served_fraction();
    if (share < min_served_fraction) {
        m_checker.add_violation(
            fmt::format("only {:.0f} % of the owed requests in the final fault-free period were served", share * 100));
    }
    // The report of a window is due two windows after its end. The last windows are therefore not checked.
    m_checker.check_usage(first, get_window() - 4);
}

} // namespace dragonflywell::soak
