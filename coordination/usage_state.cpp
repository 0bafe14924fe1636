#include "coordination/usage_state.hpp"

#include <algorithm>
#include <charconv>

#include "core/error.hpp"
#include "core/json.hpp"

namespace dragonflywell::coordination {

namespace {

constexpr std::string_view copy_suffix = "/copy";

usage_window_number parse_window(std::string_view text) {
    usage_window_number window = 0;
    const auto [end, fault] = std::from_chars(text.data(), text.data() + text.size(), window);
    if (fault != std::errc() || end != text.data() + text.size()) {
        throw malformed_message_error("window number must be a whole number");
    }
    return window;
}

boost::json::object encode_counts(const usage_counts& counts) {
    boost::json::object object;
    for (const auto& [organisation, count] : counts) {
        object[organisation.value()] = count;
    }
    return object;
}

usage_counts decode_counts(const boost::json::value& value) {
    usage_counts counts;
    const boost::json::object& object = json::as_object(value, "usage counts of a window");
    for (const auto& item : object) {
        counts[organisation_name(std::string_view(item.key()))] = json::get_unsigned(object, item.key());
    }
    return counts;
}

} // namespace

std::string encode_usage_record(const usage_record& record) {
    boost::json::object windows;
    for (const auto& [window, counts] : record.windows) {
        windows[std::to_string(window)] = encode_counts(counts);
    }
    return boost::json::serialize(boost::json::object{{"closed", record.closed}, {"windows", windows}});
}

usage_record decode_usage_record(std::string_view text) {
    const boost::json::value document = json::parse(text);
    const boost::json::object& object = json::as_object(document, "usage record of a host");
    usage_record record{.windows = {},
                        .closed = static_cast<usage_window_number>(json::get_unsigned(object, "closed"))};
    for (const auto& item : json::get_object(object, "windows")) {
        record.windows.emplace(parse_window(item.key()), decode_counts(item.value()));
    }
    return record;
}

std::string encode_report_state(const report_state& state) {
    boost::json::array pending;
    for (const window_usage& usage : state.pending) {
        pending.push_back(boost::json::object{{"window", usage.window}, {"counts", encode_counts(usage.counts)}});
    }
    boost::json::object object{{"pending", pending}, {"era", state.era}};
    if (state.last) {
        object["last"] = *state.last;
    }
    if (state.settled) {
        object["settled"] = *state.settled;
    }
    return boost::json::serialize(object);
}

report_state decode_report_state(std::string_view text) {
    const boost::json::value document = json::parse(text);
    const boost::json::object& object = json::as_object(document, "usage report state");
    report_state state;
    if (object.contains("last")) {
        state.last = static_cast<usage_window_number>(json::get_unsigned(object, "last"));
    }
    if (object.contains("settled")) {
        state.settled = static_cast<usage_window_number>(json::get_unsigned(object, "settled"));
    }
    state.era = json::get_unsigned_or(object, "era", 0);
    for (const boost::json::value& item : json::get_array(object, "pending")) {
        const boost::json::object& usage = json::as_object(item, "pending usage report");
        state.pending.push_back({.window = static_cast<usage_window_number>(json::get_unsigned(usage, "window")),
                                 .counts = decode_counts(json::get_object(usage, "counts"))});
    }
    return state;
}

std::string make_usage_key(std::string_view host, std::uint64_t incarnation) {
    return std::string(host) + "/" + std::to_string(incarnation);
}

std::string make_usage_copy_key(std::string_view host, std::uint64_t incarnation) {
    return make_usage_key(host, incarnation) + std::string(copy_suffix);
}

std::string_view get_usage_owner(std::string_view key) {
    return key.ends_with(copy_suffix) ? key.substr(0, key.size() - copy_suffix.size()) : key;
}

usage_record merge_usage_records(const usage_record& left, const usage_record& right) {
    usage_record merged = left;
    merged.closed = std::max(left.closed, right.closed);
    for (const auto& [window, counts] : right.windows) {
        usage_counts& kept = merged.windows[window];
        for (const auto& [organisation, count] : counts) {
            kept[organisation] = std::max(kept[organisation], count);
        }
    }
    return merged;
}

window_usage sum_window(const std::vector<usage_record>& records, usage_window_number window) {
    window_usage usage{.window = window, .counts = {}};
    for (const usage_record& record : records) {
        const auto found = record.windows.find(window);
        if (found == record.windows.end()) {
            continue;
        }
        for (const auto& [organisation, count] : found->second) {
            usage.counts[organisation] += count;
        }
    }
    return usage;
}

} // namespace dragonflywell::coordination
