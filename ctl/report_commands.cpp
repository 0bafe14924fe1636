#include "ctl/report_commands.hpp"

#include <boost/beast/http/verb.hpp>
#include <boost/json.hpp>
#include <fmt/format.h>
#include <fstream>
#include <ostream>

#include "core/error.hpp"
#include "core/json.hpp"
#include "ctl/operator_streams.hpp"
#include "ctl/report_page.hpp"
#include "ctl/status_text.hpp"
#include "platform/blocking_http_client.hpp"

namespace dragonflywell::ctl {

namespace {

class usage_command final : public command {
public:
    [[nodiscard]] std::string get_name() const override { return "usage"; }
    [[nodiscard]] std::string get_summary() const override { return "print the usage of each organisation per window"; }

    int run(const command_context& context, const std::vector<std::string>& /*arguments*/) override {
        operator_streams streams(context);
        streams.usage_stream.poll();
        const coordination::usage_table totals = streams.usage.get_totals();
        if (context.is_json) {
            print_json(context, totals);
        } else {
            print_table(context, totals);
        }
        return exit_ok;
    }

private:
    static void print_json(const command_context& context, const coordination::usage_table& totals) {
        boost::json::array rows;
        for (const auto& [key, counts] : totals) {
            rows.push_back({{"organisation", key.organisation.value()},
                            {"window", key.window},
                            {"requests", counts.requests},
                            {"prompt_tokens", counts.prompt_tokens},
                            {"completion_tokens", counts.completion_tokens}});
        }
        context.out << boost::json::serialize(boost::json::object{{"usage", std::move(rows)}}) << "\n";
    }

    static void print_table(const command_context& context, const coordination::usage_table& totals) {
        context.out << fmt::format("{:<24} {:>12} {:>10} {:>14} {:>18}\n", "ORGANISATION", "WINDOW", "REQUESTS",
                                   "PROMPT TOKENS", "COMPLETION TOKENS");
        for (const auto& [key, counts] : totals) {
            context.out << fmt::format("{:<24} {:>12} {:>10} {:>14} {:>18}\n", key.organisation.value(), key.window,
                                       counts.requests, counts.prompt_tokens, counts.completion_tokens);
        }
    }
};

/// Writes the service report from the counts that all hosts have written to the log.
class report_command final : public command {
public:
    [[nodiscard]] std::string get_name() const override { return "report"; }
    [[nodiscard]] std::string get_summary() const override {
        return "--html FILE  write the trends of service quality and spending as a page with plots";
    }

    int run(const command_context& context, const std::vector<std::string>& /*arguments*/) override {
        if (context.html_file.empty()) {
            throw invalid_input_error(
                std::vector<input_problem>{{.location = "--html", .message = "does not name a file"}});
        }
        platform::http_log log({.server = context.platform_log, .deadline = context.deadline});
        coordination::folded_stream stream(log, std::string(fleet::history_stream), {.host = "report"});
        fleet::service_history history;
        stream.add_observer(history);
        stream.poll();
        const bool has_hours = history.get_hours().size() >= hourly_report_hours;
        const fleet::service_history::series& spans = has_hours ? history.get_hours() : history.get_fine();
        if (spans.empty()) {
            context.errors << "the log does not contain service counts of any host yet\n";
            return exit_failed;
        }
        std::ofstream file(context.html_file);
        file << make_report_page(spans, has_hours ? fleet::service_history::hour_seconds
                                                  : fleet::service_history::fine_seconds);
        file.close();
        if (!file) {
            throw invalid_input_error(
                std::vector<input_problem>{{.location = context.html_file, .message = "cannot be written"}});
        }
        return print_trends(context, get_report_metrics(spans));
    }

private:
    /// From this many recorded hours on, the report shows one point per hour instead of finer spans.
    static constexpr std::size_t hourly_report_hours = 48;

    static int print_trends(const command_context& context, const std::vector<report_metric>& metrics) {
        for (const report_metric& metric : metrics) {
            context.out << fmt::format("{:<40} {:>8.2f}  {}\n", metric.title, metric.values.back(),
                                       metric.is_decline ? "DECLINING" : "steady");
        }
        return exit_ok;
    }
};

class status_command final : public command {
public:
    [[nodiscard]] std::string get_name() const override { return "status"; }
    [[nodiscard]] std::string get_summary() const override { return "print the state of each daemon"; }

    int run(const command_context& context, const std::vector<std::string>& /*arguments*/) override {
        boost::json::array states;
        int exit_code = exit_ok;
        for (const endpoint& daemon : context.daemons) {
            boost::json::object state = request_status(context, daemon);
            if (state.contains("error")) {
                exit_code = exit_failed;
            }
            states.push_back(std::move(state));
        }
        if (context.is_json) {
            context.out << boost::json::serialize(boost::json::object{{"daemons", std::move(states)}}) << "\n";
            return exit_code;
        }
        for (const boost::json::value& state : states) {
            context.out << format_status(json::as_object(state, "status"));
        }
        return exit_code;
    }

private:
    static boost::json::object request_status(const command_context& context, const endpoint& daemon) {
        platform::blocking_http_client client({.server = daemon, .deadline = context.deadline});
        try {
            const platform::http_client_response response = client.exchange(boost::beast::http::verb::get, "/status");
            return json::as_object(json::parse(response.body), "status");
        } catch (const error& fault) {
            return {{"address", format_endpoint(daemon)}, {"error", fault.what()}};
        }
    }
};

} // namespace

std::vector<std::unique_ptr<command>> make_report_commands() {
    std::vector<std::unique_ptr<command>> commands;
    commands.push_back(std::make_unique<status_command>());
    commands.push_back(std::make_unique<usage_command>());
    commands.push_back(std::make_unique<report_command>());
    return commands;
}

} // namespace dragonflywell::ctl
