#include "coordination/usage_report.hpp"

#include <algorithm>
#include <array>

namespace dragonflywell::coordination {

usage_reporter::usage_reporter(folded_stream& stream, const clock_source& time, order_receiver& reporting,
                               const host_liveness& hosts, const usage_reporter_options& options)
    : m_stream(&stream), m_time(&time), m_hosts(&hosts), m_options(options),
      m_lease(stream, time, {.scope = std::string(reporting_scope)}), m_dispatcher(stream, m_lease, reporting, hosts) {
    m_stream->add_observer(m_fold);
    // Records that retention has deleted belong to reported windows: retention is longer than a window and its
    // reporting.
    m_stream->allow_gaps();
}

void usage_reporter::tick() {
    m_lease.tick();
    m_dispatcher.reconcile();
    const std::optional<fencing_token> token = m_lease.get_authority();
    if (!token) {
        return;
    }
    if (const window_report* unreported = m_fold.get_unreported()) {
        report(*unreported);
        return;
    }
    seal(*token);
}

void usage_reporter::report(const window_report& report) {
    m_dispatcher.submit({.subject = std::string(usage_report_subject),
                         .kind = "usage.report",
                         .body = encode_window_report(report),
                         .idempotency_key = get_report_key(report.window),
                         .receiver = receiver_kind::ignores_fencing,
                         .duplicates = duplicate_handling::deduplicated});
}

void usage_reporter::seal(const fencing_token& token) {
    const std::optional<window_number> window = m_fold.get_next_window();
    if (!window || !is_complete(*window)) {
        return;
    }
    std::vector<writer_id> terminated;
    for (const writer_id& owner : m_fold.get_open_owners(*window)) {
        if (m_hosts->has_terminated(owner)) {
            terminated.push_back(owner);
        }
    }
    const std::array drafts{
        make_seal_record(*window, terminated, token, m_stream->get_fold().get_newest(std::string(usage_seal_subject)))};
    m_stream->submit(drafts);
}

bool usage_reporter::is_complete(window_number window) const {
    const auto now = std::chrono::duration_cast<std::chrono::seconds>(m_time->wall_now().time_since_epoch());
    const std::chrono::seconds end = m_options.window_length * static_cast<std::chrono::seconds::rep>(window + 1);
    if (now < end) {
        return false;
    }
    const std::vector<writer_id> open = m_fold.get_open_owners(window);
    const bool have_all_terminated =
        std::ranges::all_of(open, [this](const writer_id& owner) { return m_hosts->has_terminated(owner); });
    return have_all_terminated || now >= end + m_options.max_wait;
}

} // namespace dragonflywell::coordination
