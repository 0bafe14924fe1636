#include "servers/server_limits.hpp"

#include <limits>
#include <string>
#include <utility>

#include "core/hash.hpp"
#include "core/log.hpp"
#include "core/log_event.hpp"

namespace dragonflywell::servers {

namespace {

constexpr duration not_ready_retry_after = std::chrono::milliseconds(500);
/// Shortest time between two lines on changes of the limit of a server, which may change with each response.
constexpr duration log_interval = std::chrono::seconds(1);
/// Least difference between the clocks that counts as a suspension.
constexpr duration min_suspension = std::chrono::milliseconds(1);
/// What a request takes from the limit of its server.
constexpr double one_request = 1;

quota_subject get_subject(const backend_server_name& server) {
    return quota_subject(server.value());
}

log_event make_event(const backend_server_name& server, std::string_view says) {
    log_event event("server_limit");
    event.add("server", server.value()).add("says", says);
    return event;
}

} // namespace

server_limits::server_limits(asio::any_io_executor executor, const clock_source& time, metrics_registry& metrics,
                             policy::quota_node_options options)
    : shared_quotas(std::move(executor), time, options,
                    {.grants = &metrics.get_counter("dragonflywell_server_limit_grants_total"),
                     .bookings = &metrics.get_counter("dragonflywell_server_limit_bookings_total"),
                     .exhausted = &metrics.get_gauge("dragonflywell_servers_at_limit")}),
      m_time(&time), m_log(get_logger("request")), m_metrics(metrics),
      m_table({.origin = get_stable_hash(options.host + " " + std::to_string(options.incarnation))}),
      m_clock_offset(get_time() - time.now()), m_earlier_offset(m_clock_offset) {}

steady_time server_limits::convert(steady_time at) {
    const steady_time now = m_time->now();
    const duration offset = get_time() - now;
    if (offset > m_clock_offset + min_suspension) {
        m_earlier_offset = m_clock_offset;
        m_clock_offset = offset;
        m_suspension_noticed_at = now;
    }
    return at + (at < m_suspension_noticed_at ? m_earlier_offset : m_clock_offset);
}

void server_limits::apply_notice(const backend_server_name& server, std::uint64_t incarnation,
                                 const server_notice& notice, steady_time sent_at) {
    if (!notice.names_limit && !notice.is_of_request) {
        return;
    }
    policy::limit_change change = policy::limit_change::invalid;
    if (notice.limit || !notice.names_limit) {
        change = m_table.record_response(server, incarnation, notice.limit, convert(sent_at), get_time());
    }
    if (change == policy::limit_change::changed) {
        apply_changes();
    } else if (change == policy::limit_change::invalid) {
        m_metrics.invalid->add();
        make_event(server, "invalid").add("started_at", incarnation).write(*m_log, spdlog::level::err);
    }
}

void server_limits::merge(const std::vector<policy::server_limit_report>& reports, duration delay) {
    bool has_changed = false;
    for (policy::server_limit_report report : reports) {
        report.named_age += delay;
        if (report.ended_age) {
            *report.ended_age += delay;
        }
        has_changed = m_table.apply(report, get_time()) == policy::limit_change::changed || has_changed;
    }
    if (has_changed) {
        apply_changes();
    }
}

void server_limits::retain(std::map<backend_server_name, std::uint64_t> listed) {
    m_table.retain(std::move(listed));
    apply_changes();
}

void server_limits::discard_unconfirmed() {
    static_cast<void>(convert(m_time->now()));
    apply_changes();
}

void server_limits::apply_changes() {
    std::map<backend_server_name, double> limits = m_table.get_limits(get_time());
    if (limits == m_limits) {
        return;
    }
    const steady_time now = m_time->now();
    for (const auto& [server, limit] : limits) {
        const auto known = m_limits.find(server);
        if (known != m_limits.end() && known->second == limit) {
            continue;
        }
        ++m_changes;
        const bool is_new = known == m_limits.end();
        (is_new ? m_metrics.begun : m_metrics.changed)->add();
        steady_time& logged_at = m_logged_at[server];
        if (is_new || now >= logged_at + log_interval) {
            logged_at = now;
            make_event(server, is_new ? "begun" : "changed").add("limit", limit).write(*m_log, spdlog::level::info);
        }
    }
    for (const auto& [server, limit] : m_limits) {
        if (!limits.contains(server)) {
            ++m_changes;
            m_metrics.ended->add();
            m_logged_at.erase(server);
            make_event(server, "ended").add("limit", limit).write(*m_log, spdlog::level::info);
        }
    }
    m_limits = std::move(limits);
    m_metrics.limited_servers->set(static_cast<std::int64_t>(m_limits.size()));
    policy::quota_limits buckets;
    for (const auto& [server, limit] : m_limits) {
        buckets.emplace(get_subject(server), policy::make_server_limit(limit));
    }
    get_node().set_limits(buckets, get_time());
    notify_change();
    if (on_limit_change) {
        on_limit_change();
    }
}

std::vector<policy::server_limit_report> server_limits::take_reports(std::size_t max_servers) {
    return m_table.get_reports(get_time(), max_servers);
}

std::vector<policy::server_limit_report> server_limits::get_all_reports() const {
    policy::server_limit_table copy = m_table;
    return copy.get_reports(get_time(), std::numeric_limits<std::size_t>::max());
}

std::optional<double> server_limits::find_limit(const backend_server_name& server) const {
    const auto found = m_limits.find(server);
    return found == m_limits.end() ? std::nullopt : std::optional<double>(found->second);
}

bool server_limits::has_room(const backend_server_name& server) const {
    if (m_limits.empty() || !m_limits.contains(server)) {
        return true;
    }
    return get_node().is_ready() && !get_node().has_no_room(get_subject(server), one_request, get_time());
}

asio::awaitable<permit_result> server_limits::acquire(backend_server_name server, duration time_left) {
    permit_result taken;
    if (!m_limits.contains(server)) {
        taken.permit.emplace(*this, std::move(server));
        co_return taken;
    }
    if (!get_node().is_ready()) {
        m_metrics.not_ready->add();
        taken.retry_after = not_ready_retry_after;
        co_return taken;
    }
    const quota_subject subject = get_subject(server);
    const result made = co_await decide(subject, one_request, time_left);
    m_metrics.waited->add(made.has_waited ? 1 : 0);
    if (made.decision.answer != policy::quota_answer::admitted) {
        m_metrics.refused->add();
        taken.retry_after = made.decision.retry_after;
        co_return taken;
    }
    m_metrics.taken->add();
    taken.permit.emplace(*this, std::move(server), made.decision.session, get_time());
    co_return taken;
}

std::optional<send_permit> server_limits::try_acquire(const backend_server_name& server) {
    if (!m_limits.contains(server)) {
        return send_permit(*this, server);
    }
    const steady_time now = get_time();
    if (get_node().is_ready()) {
        const policy::quota_decision decision = get_node().try_take(get_subject(server), one_request, now);
        if (decision.answer == policy::quota_answer::admitted) {
            m_metrics.taken->add();
            return send_permit(*this, server, decision.session, now);
        }
    }
    m_metrics.left_out->add();
    return std::nullopt;
}

duration server_limits::get_retry_after(const backend_server_name& server) const {
    return get_node().is_ready() ? get_node().get_retry_after(get_subject(server), one_request, get_time())
                                 : not_ready_retry_after;
}

duration server_limits::book_refused(const backend_server_name& server) {
    if (!get_node().is_ready()) {
        return not_ready_retry_after;
    }
    m_metrics.refused->add();
    return get_node().refuse(get_subject(server), one_request, get_time()).retry_after;
}

void server_limits::give_back(const backend_server_name& server, std::uint64_t session) {
    m_metrics.given_back->add();
    get_node().give_back(get_subject(server), one_request, session);
}

} // namespace dragonflywell::servers
