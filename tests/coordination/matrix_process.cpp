#include "matrix_process.hpp"

#include <boost/json.hpp>

namespace dragonflywell::testing {

namespace {

using namespace std::chrono_literals;
using namespace coordination;

constexpr std::int64_t order_interval_s = 4;
constexpr std::int64_t capacity_interval_s = 6;
constexpr std::int64_t publish_interval_s = 5;
constexpr std::int64_t last_publication_s = 130;
constexpr std::int64_t planned_stop_s = 30;
constexpr snapshot_writer_options snapshot_options{.retention = 60s, .snapshots_per_retention = 6};

std::string get_type(const std::string& data) {
    return boost::json::parse(data).at("type").as_string().c_str();
}

/// Injects the faults that happen before a call takes effect.
void inject_before_call(matrix_simulation& simulation, const std::string& host, std::optional<matrix_fault> fault) {
    if (fault == matrix_fault::crash_before || fault == matrix_fault::host_replaced) {
        throw process_crashed{.is_replaced = fault == matrix_fault::host_replaced};
    }
    if (fault == matrix_fault::pause) {
        simulation.pause();
    }
    if (fault == matrix_fault::log_down) {
        simulation.take_log_down();
    }
    if (fault == matrix_fault::zone_cut) {
        simulation.cut_off(host);
    }
}

[[noreturn]] void fail(const char* reason) {
    throw log_unavailable_error(reason);
}

} // namespace

void matrix_log::check_log_reachable() const {
    if (!m_simulation->is_log_reachable(m_host)) {
        fail("log cannot be reached");
    }
}

log_offset matrix_log::append(std::string_view stream, std::span<const std::string> records) {
    m_appended = get_type(records.front());
    const std::optional<matrix_fault> fault = m_simulation->get_fault("append " + m_appended);
    const std::string name(stream);
    inject_before_call(*m_simulation, m_host, fault);
    check_log_reachable();
    if (fault == matrix_fault::answer_late) {
        const std::vector<std::string> copies(records.begin(), records.end());
        m_simulation->run_later([simulation = m_simulation, name, copies] { simulation->append(name, copies); });
        fail("append is in flight");
    }
    const log_offset first = m_simulation->append(name, records);
    if (fault == matrix_fault::duplicate) {
        m_simulation->append(name, records);
    }
    if (fault == matrix_fault::crash_after) {
        throw process_crashed{};
    }
    if (fault == matrix_fault::answer_lost) {
        fail("answer lost after the effect");
    }
    return first;
}

log_batch matrix_log::read(std::string_view stream, log_offset from, std::size_t max_records) {
    const bool is_snapshot = stream.ends_with(".snapshots");
    std::string step = is_snapshot ? "read snapshot" : "poll";
    if (!m_appended.empty() && !is_snapshot) {
        step = "read back " + m_appended;
    }
    m_appended.clear();
    const std::optional<matrix_fault> fault = m_simulation->get_fault(step);
    inject_before_call(*m_simulation, m_host, fault);
    check_log_reachable();
    log_batch batch = m_simulation->get_log().read(stream, from, max_records);
    if (fault == matrix_fault::crash_after) {
        throw process_crashed{};
    }
    if (fault == matrix_fault::answer_lost) {
        fail("answer lost");
    }
    if (fault == matrix_fault::answer_late) {
        m_simulation->pause();
    }
    for (log_entry& entry : batch.entries) {
        entry.data = mutate(std::string(stream), entry.data);
    }
    return batch;
}

std::string matrix_log::mutate(const std::string& stream, const std::string& data) {
    const matrix_mutation mutation = m_simulation->get_mutation();
    if (mutation == matrix_mutation::none) {
        return data;
    }
    boost::json::object value = boost::json::parse(data).as_object();
    if (mutation == matrix_mutation::condition_ignored && stream == configuration_stream) {
        value.erase("subject");
        value.erase("supersedes");
        value["subject"] = std::string(configuration_subject);
        const auto newest = m_newest.find(stream);
        if (newest != m_newest.end()) {
            value["supersedes"] = newest->second;
        }
        m_newest[stream] = m_newest.contains(stream) ? m_newest[stream] + 1 : 0;
    }
    if (mutation == matrix_mutation::fence_ignored && stream == "control/a") {
        const std::uint64_t offset = m_newest[stream]++;
        if (value.at("type").as_string() == lease_acquisition_type) {
            m_newest["claim"] = offset;
        }
        if (value.at("type").as_string() == order_intent_type) {
            value["fence"] = m_newest["claim"];
        }
    }
    if (mutation == matrix_mutation::snapshot_end_offset_too_high && stream.ends_with(".snapshots")) {
        value.at("body").as_object()["covers"] = value.at("body").at("covers").to_number<std::uint64_t>() + 1;
    }
    return boost::json::serialize(value);
}

order_reply matrix_channel::send(const order& value, const fencing_token& token, duration) {
    const std::string receiver = value.subject;
    const std::optional<matrix_fault> fault = m_simulation->get_fault("send to " + receiver);
    inject_before_call(*m_simulation, m_host, fault);
    if (m_simulation->is_cut_off(m_host)) {
        return order_reply::unknown;
    }
    if (fault == matrix_fault::answer_late) {
        m_simulation->run_later([simulation = m_simulation, receiver, value, token] {
            simulation->receive_order(receiver, value, token.number);
        });
        return order_reply::unknown;
    }
    const order_reply reply = m_simulation->receive_order(receiver, value, token.number);
    if (fault == matrix_fault::crash_after) {
        throw process_crashed{};
    }
    return fault == matrix_fault::answer_lost ? order_reply::unknown : reply;
}

order_query_result matrix_channel::query(const order& value) {
    if (m_simulation->is_cut_off(m_host)) {
        return order_query_result::unknown;
    }
    return m_simulation->has_applied(value.subject, value.idempotency_key) ? order_query_result::applied
                                                                           : order_query_result::not_seen;
}

bool matrix_dispatcher::may_send(const order& value, const unresolved_order* existing,
                                 const fencing_token& token) const {
    return m_mutation == matrix_mutation::sends_beside_unresolved_order ||
           order_dispatcher::may_send(value, existing, token);
}

bool matrix_dispatcher::is_accepted(const order& value, const submit_result& intent) const {
    return m_mutation == matrix_mutation::intent_not_read_back || order_dispatcher::is_accepted(value, intent);
}

bool matrix_dispatcher::has_authority(const fencing_token& token) const {
    return m_mutation == matrix_mutation::intent_not_read_back || order_dispatcher::has_authority(token);
}

bool matrix_dispatcher::is_resolved_by_query(const unresolved_order& existing) const {
    return m_mutation == matrix_mutation::query_resolves_repeated_order ||
           order_dispatcher::is_resolved_by_query(existing);
}

matrix_process::matrix_process(matrix_simulation& simulation, writer_id self, double clock_rate)
    : m_simulation(&simulation), m_self(std::move(self)), m_time(simulation.get_true_time(), clock_rate),
      m_log(simulation, m_self.host), m_channel(simulation, m_self.host), m_control(m_log, "control/a", m_self),
      m_configuration_stream(m_log, std::string(configuration_stream), m_self),
      m_lease(m_control, m_time, {.scope = "control/a"}), m_dispatcher(simulation, m_control, m_lease, m_channel),
      m_control_snapshots(m_log, m_control, m_time, snapshot_options),
      m_configuration_snapshots(m_log, m_configuration_stream, m_time, snapshot_options) {
    m_configuration_stream.add_observer(m_configuration);
}

std::string matrix_process::get_name() const {
    return m_self.host + "/" + std::to_string(m_self.incarnation);
}

log_offset matrix_process::get_version() const {
    return m_applied_version.value_or(0);
}

std::int64_t matrix_process::get_second() const {
    return std::chrono::duration_cast<std::chrono::seconds>(m_simulation->get_true_time().now().time_since_epoch() - 1h)
        .count();
}

void matrix_process::run_round() {
    attempt(&matrix_process::maintain_lease);
    attempt(&matrix_process::send_orders);
    attempt(&matrix_process::follow_configuration);
    attempt(&matrix_process::publish);
    attempt(&matrix_process::write_snapshots);
}

void matrix_process::attempt(void (matrix_process::*task)()) {
    try {
        (this->*task)();
    } catch (const log_unavailable_error&) { // NOLINT(bugprone-empty-catch)
        // The next round tries again.
    } catch (const log_gap_error&) { // NOLINT(bugprone-empty-catch)
        // The next round tries again as well: another process may write a snapshot.
    }
}

void matrix_process::maintain_lease() {
    if (get_second() % planned_stop_s == 0 && m_lease.get_authority()) {
        m_lease.release();
        return;
    }
    m_lease.tick();
}

void matrix_process::send_orders() {
    m_dispatcher.reconcile();
    if (!m_lease.get_authority()) {
        return;
    }
    send_order("checking", get_second() / order_interval_s);
    send_order("ignoring", get_second() / order_interval_s);
    send_order("platform", get_second() / capacity_interval_s);
}

void matrix_process::send_order(const std::string& receiver, std::int64_t bucket) {
    const bool is_platform = receiver == "platform";
    const std::string name = is_platform ? "capacity" : get_name();
    order wanted{.subject = receiver,
                 .kind = is_platform ? "order_servers" : "set_role",
                 .body = {},
                 .idempotency_key = name + "/" + std::to_string(bucket),
                 .receiver = receiver == "checking" ? receiver_kind::checks_fencing : receiver_kind::ignores_fencing,
                 .duplicates = is_platform ? duplicate_handling::deduplicated : duplicate_handling::idempotent};
    if (m_simulation->has_applied(receiver, wanted.idempotency_key)) {
        return;
    }
    for (const unresolved_order& unresolved : m_dispatcher.get_unresolved()) {
        // Submits a new order in one round and the unresolved one in the next.
        if (unresolved.value.subject == receiver && get_second() % 2 == 0) {
            wanted = unresolved.value;
        }
    }
    m_dispatcher.submit(wanted);
}

void matrix_process::follow_configuration() {
    m_configuration_stream.poll();
    const std::shared_ptr<const configuration> current = m_configuration.get();
    if (!current->version || current->version == m_applied_version) {
        return;
    }
    m_applied_version = current->version;
    m_simulation->get_evidence().applied.push_back(
        {.process = get_name(), .version = *current->version, .entries = current->entries});
}

void matrix_process::publish() {
    if (get_second() % publish_interval_s != 0 || get_second() > last_publication_s || m_self.host == "host-3") {
        return;
    }
    publication_result publication{
        .path = m_self.host, .text = "\"" + get_name() + "/" + std::to_string(get_second()) + "\"", .version = {}};
    // Both operators start from the version that they read before, so that they race.
    try {
        publication.version = publish_configuration(m_configuration_stream,
                                                    {.set = {{publication.path, publication.text}}, .removed = {}},
                                                    m_configuration.get()->version);
    } catch (const configuration_conflict_error&) { // NOLINT(bugprone-empty-catch)
        // The result has no version, which reports the conflict.
    }
    m_simulation->get_evidence().publications.push_back(publication);
}

void matrix_process::write_snapshots() {
    if (!m_lease.get_authority()) {
        return;
    }
    m_control_snapshots.tick();
    m_configuration_snapshots.tick();
}

} // namespace dragonflywell::testing
