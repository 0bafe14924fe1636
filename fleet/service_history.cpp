#include "fleet/service_history.hpp"

#include <algorithm>
#include <boost/json.hpp>
#include <vector>

#include "core/json.hpp"

namespace dragonflywell::fleet {

namespace {

constexpr std::uint64_t fine_kept_seconds = 86400;
constexpr std::uint64_t hours_kept_seconds = 90ULL * 86400;
/// Number of organisations that one span lists by name; the others are summed under an empty name.
constexpr std::size_t max_named_organisations = 64;

boost::json::object encode_counts(const service_counts& counts) {
    boost::json::object organisations;
    for (const auto& [name, service] : counts.organisations) {
        organisations[name.value()] = boost::json::array{service.requested, service.completed};
    }
    boost::json::object refusals;
    for (const auto& [reason, count] : counts.refusals) {
        refusals[reason] = count;
    }
    return {{"organisations", std::move(organisations)},
            {"refusals", std::move(refusals)},
            {"delivered_tokens", counts.delivered_tokens},
            {"spend_milli", counts.spend_milli}};
}

std::uint64_t get_item(const boost::json::value& value, std::size_t index) {
    if (!value.is_array() || value.get_array().size() <= index) {
        throw malformed_message_error("service of an organisation must have two numbers");
    }
    return json::get_unsigned({{"item", value.get_array()[index]}}, "item");
}

service_counts decode_counts(const boost::json::object& object) {
    service_counts counts{.organisations = {},
                          .refusals = {},
                          .delivered_tokens = json::get_unsigned(object, "delivered_tokens"),
                          .spend_milli = json::get_unsigned(object, "spend_milli")};
    for (const auto& [name, value] : json::get_object(object, "organisations")) {
        counts.organisations[organisation_name(std::string(name))] = {.requested = get_item(value, 0),
                                                                      .completed = get_item(value, 1)};
    }
    for (const auto& [reason, value] : json::get_object(object, "refusals")) {
        counts.refusals[std::string(reason)] = json::get_unsigned({{"count", value}}, "count");
    }
    return counts;
}

void drop_old_spans(service_history::series& spans, std::uint64_t kept_seconds) {
    const std::uint64_t newest = spans.rbegin()->first;
    while (spans.begin()->first + kept_seconds < newest) {
        spans.erase(spans.begin());
    }
}

/// Keeps the organisations with the most lost requests by name, since a report is about those.
void limit_organisations(service_counts& counts) {
    if (counts.organisations.size() <= max_named_organisations) {
        return;
    }
    std::vector<std::pair<std::uint64_t, organisation_name>> by_lost_requests;
    for (const auto& [name, service] : counts.organisations) {
        if (!name.empty()) {
            by_lost_requests.emplace_back(service.requested - std::min(service.requested, service.completed), name);
        }
    }
    std::sort(by_lost_requests.rbegin(), by_lost_requests.rend());
    for (std::size_t index = max_named_organisations - 1; index < by_lost_requests.size(); ++index) {
        const auto found = counts.organisations.find(by_lost_requests[index].second);
        const request_counts moved = found->second;
        counts.organisations.erase(found);
        counts.organisations[organisation_name()].requested += moved.requested;
        counts.organisations[organisation_name()].completed += moved.completed;
    }
}

/// Adds to one span and limits the organisations of the span and the length of the series.
void add_to_series(service_history::series& spans, std::uint64_t start, const service_counts& counts,
                   std::uint64_t kept_seconds) {
    add_counts(spans[start], counts);
    limit_organisations(spans[start]);
    drop_old_spans(spans, kept_seconds);
}

boost::json::object encode_series(const service_history::series& spans) {
    boost::json::object result;
    for (const auto& [start, counts] : spans) {
        result[std::to_string(start)] = encode_counts(counts);
    }
    return result;
}

service_history::series decode_series(const boost::json::object& object) {
    service_history::series spans;
    for (const auto& [start, value] : object) {
        const std::string text(start);
        if (text.empty() ||
            !std::all_of(text.begin(), text.end(), [](char digit) { return digit >= '0' && digit <= '9'; })) {
            throw malformed_message_error("start of a time span must be a number");
        }
        spans[std::stoull(text)] = decode_counts(json::as_object(value, "figures"));
    }
    return spans;
}

} // namespace

void add_counts(service_counts& sum, const service_counts& part) {
    for (const auto& [name, service] : part.organisations) {
        sum.organisations[name].requested += service.requested;
        sum.organisations[name].completed += service.completed;
    }
    for (const auto& [reason, count] : part.refusals) {
        sum.refusals[reason] += count;
    }
    sum.delivered_tokens += part.delivered_tokens;
    sum.spend_milli += part.spend_milli;
}

double get_goodput(const service_counts& counts) {
    request_counts sum;
    for (const auto& [name, service] : counts.organisations) {
        sum.requested += service.requested;
        sum.completed += service.completed;
    }
    // A request may arrive in one span and complete in the next, so the quotient can exceed 1.
    return sum.requested == 0 ? 1
                              : std::min(1.0, static_cast<double>(sum.completed) / static_cast<double>(sum.requested));
}

double get_worst_goodput(const service_counts& counts, std::uint64_t min_requests) {
    double worst = 1;
    for (const auto& [name, service] : counts.organisations) {
        if (service.requested >= std::max<std::uint64_t>(min_requests, 1)) {
            worst = std::min(worst, static_cast<double>(service.completed) / static_cast<double>(service.requested));
        }
    }
    return worst;
}

coordination::record_draft make_history_draft(std::uint64_t second, const service_counts& counts) {
    boost::json::object body = encode_counts(counts);
    body["second"] = second;
    return {.type = std::string(history_record_type), .body = std::move(body), .condition = {}, .fence = {}};
}

void service_history::on_record(coordination::log_offset /*offset*/, const coordination::record& value) {
    if (value.type != history_record_type) {
        return;
    }
    const std::uint64_t second = json::get_unsigned(value.body, "second");
    const service_counts counts = decode_counts(value.body);
    add_to_series(m_fine, second - second % fine_seconds, counts, fine_kept_seconds);
    add_to_series(m_hours, second - second % hour_seconds, counts, hours_kept_seconds);
}

boost::json::value service_history::save_state() const {
    return boost::json::object{{"fine", encode_series(m_fine)}, {"hours", encode_series(m_hours)}};
}

void service_history::restore_state(const boost::json::value& state) {
    const boost::json::object& object = json::as_object(state, "service history");
    series fine = decode_series(json::get_object(object, "fine"));
    series hours = decode_series(json::get_object(object, "hours"));
    m_fine = std::move(fine);
    m_hours = std::move(hours);
}

} // namespace dragonflywell::fleet
