#include "ctl/status_text.hpp"

#include <boost/json.hpp>
#include <chrono>
#include <fmt/chrono.h>
#include <fmt/format.h>

#include "core/json.hpp"

namespace dragonflywell::ctl {

namespace {

std::string format_demand(const boost::json::object& demand) {
    return fmt::format("prefill {} decode {} units/s", json::get_unsigned_or(demand, "prefill", 0),
                       json::get_unsigned_or(demand, "decode", 0));
}

double get_number(const boost::json::object& object, std::string_view key) {
    const boost::json::value* value = object.if_contains(key);
    return value != nullptr && value->is_number() ? value->to_number<double>() : 0;
}

std::string format_engines(const boost::json::array& engines) {
    std::string text;
    for (const boost::json::value& item : engines) {
        const boost::json::object& engine = json::as_object(item, "engine");
        const std::string target = json::get_string_or(engine, "target", "");
        text += fmt::format("    {:<20} {:<10} {:<8} {}{}\n", json::get_string(engine, "name"),
                            json::get_string(engine, "zone"), json::get_string(engine, "role"),
                            json::get_string(engine, "state"), target.empty() ? "" : ", changing to " + target);
    }
    return text;
}

std::string format_last_orders(const boost::json::object& model) {
    const boost::json::array& orders = json::get_array(model, "last_orders");
    if (orders.empty()) {
        return "    last role change    none\n";
    }
    const auto moment =
        std::chrono::system_clock::time_point(std::chrono::seconds(json::get_unsigned_or(model, "last_ordered_at", 0)));
    std::string text = fmt::format("    last role change    {:%Y-%m-%d %H:%M:%S} UTC:",
                                   fmt::gmtime(std::chrono::system_clock::to_time_t(moment)));
    for (const boost::json::value& item : orders) {
        const boost::json::object& order = json::as_object(item, "order");
        text += fmt::format(" {} {} to {}", json::get_string(order, "engine"), json::get_string(order, "from"),
                            json::get_string(order, "to"));
    }
    return text + "\n";
}

std::string format_spending(const boost::json::object& spending) {
    std::string text =
        fmt::format("    spending            {:.2f} an hour, wanted {} regular and {} cheap: {}\n",
                    get_number(spending, "price_per_hour"), json::get_unsigned_or(spending, "wanted_regular", 0),
                    json::get_unsigned_or(spending, "wanted_cheap", 0), json::get_string(spending, "reason"));
    for (const boost::json::value& item : json::get_array(spending, "proposed")) {
        const boost::json::object& order = json::as_object(item, "proposal");
        text += fmt::format("      proposed          {} {} {} {}\n", json::get_string(order, "action"),
                            json::get_bool_or(order, "cheap", false) ? "cheap" : "regular",
                            json::get_string(order, "zone"), json::get_string(order, "server"));
    }
    return text;
}

std::string format_model(std::string_view name, const boost::json::object& model) {
    std::string text = fmt::format("  model {}\n", name);
    text += fmt::format("    demand              {} ({})\n", format_demand(json::get_object(model, "demand")),
                        json::get_string(model, "freshness"));
    text += fmt::format("    forecast            {}, error {:.0f}%\n",
                        format_demand(json::get_object(model, "forecast")), get_number(model, "forecast_error") * 100);
    text += fmt::format("    last decision       {}\n", json::get_string(model, "reason"));
    text += format_last_orders(model);
    text += format_spending(json::get_object(model, "spending"));
    return text + format_engines(json::get_array(model, "engines"));
}

} // namespace

std::string format_status(const boost::json::object& status) {
    if (status.contains("error")) {
        return fmt::format("{}: {}\n", json::get_string_or(status, "address", ""), json::get_string(status, "error"));
    }
    std::string text = fmt::format("{} in {}: {}, configuration version {}\n", json::get_string_or(status, "host", ""),
                                   json::get_string_or(status, "zone", ""),
                                   json::get_bool_or(status, "ready", false) ? "ready" : "not ready",
                                   json::get_unsigned_or(status, "configuration_version", 0));
    if (!status.contains("fleet")) {
        return text;
    }
    const boost::json::object& fleet = json::get_object(status, "fleet");
    text += fmt::format(
        "  {}, log {}, {} changes completed, {} abandoned, {} orders with an unknown outcome\n",
        json::get_bool_or(fleet, "authority", false) ? "controls its zone" : "does not control its zone",
        json::get_bool_or(fleet, "log_reachable", false) ? "reachable" : "NOT REACHABLE",
        json::get_unsigned_or(fleet, "completed_changes", 0), json::get_unsigned_or(fleet, "given_up_changes", 0),
        json::get_unsigned_or(fleet, "unresolved_orders", 0));
    for (const auto& [name, model] : json::get_object(fleet, "models")) {
        text += format_model(name, json::as_object(model, "model"));
    }
    return text;
}

} // namespace dragonflywell::ctl
