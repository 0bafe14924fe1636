#include "daemon/demand_exchange.hpp"

#include <array>
#include <boost/json.hpp>

#include "core/json.hpp"

namespace dragonflywell::daemon {

namespace {

constexpr std::size_t records_per_fetch = 1000;

std::string encode_report(const policy::demand_report& report) {
    boost::json::array rows;
    for (const policy::demand_row& row : report.rows) {
        rows.push_back({{"organisation", row.key.organisation.value()},
                        {"model", row.key.model.value()},
                        {"service", row.key.service.value()},
                        {"arrivals", row.arrivals},
                        {"prompt_tokens", row.prompt_tokens},
                        {"output_tokens", row.output_tokens}});
    }
    return boost::json::serialize(boost::json::object{{"host", report.host.value()},
                                                      {"incarnation", report.incarnation},
                                                      {"start_ns", report.start.time_since_epoch().count()},
                                                      {"length_ns", report.length.count()},
                                                      {"rows", std::move(rows)}});
}

policy::demand_report decode_report(std::string_view text) {
    const boost::json::value document = json::parse(text);
    const boost::json::object& object = json::as_object(document, "demand report");
    policy::demand_report report{
        .host = host_name(json::get_string(object, "host")),
        .incarnation = json::get_unsigned(object, "incarnation"),
        .start = wall_time(duration(static_cast<std::int64_t>(json::get_unsigned(object, "start_ns")))),
        .length = duration(static_cast<std::int64_t>(json::get_unsigned(object, "length_ns"))),
        .rows = {}};
    for (const boost::json::value& item : json::get_array(object, "rows")) {
        const boost::json::object& row = json::as_object(item, "row");
        report.rows.push_back({.key = {.organisation = organisation_name(json::get_string(row, "organisation")),
                                       .model = model_name(json::get_string(row, "model")),
                                       .service = service_name(json::get_string(row, "service"))},
                               .arrivals = json::get_unsigned(row, "arrivals"),
                               .prompt_tokens = json::get_unsigned(row, "prompt_tokens"),
                               .output_tokens = json::get_unsigned(row, "output_tokens")});
    }
    return report;
}

} // namespace

void demand_exchange::publish(const policy::demand_report& report) {
    const std::array<std::string, 1> records{encode_report(report)};
    m_log->append(demand_stream, records);
}

std::vector<policy::demand_report> demand_exchange::fetch() {
    std::vector<policy::demand_report> reports;
    if (!m_next) {
        m_next = m_log->read(demand_stream, 0, 1).end;
        return reports;
    }
    const coordination::log_batch batch = m_log->read(demand_stream, *m_next, records_per_fetch);
    for (const coordination::log_entry& entry : batch.entries) {
        m_next = entry.offset + 1;
        try {
            reports.push_back(decode_report(entry.data));
        } catch (const malformed_message_error&) { // NOLINT(bugprone-empty-catch)
            // A malformed report is skipped; the estimator fills the gap.
        }
    }
    return reports;
}

} // namespace dragonflywell::daemon
