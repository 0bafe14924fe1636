#include "ctl/explain_command.hpp"

#include <ostream>

#include "core/error.hpp"
#include "core/read_file.hpp"
#include "ctl/request_trace.hpp"

namespace dragonflywell::ctl {

namespace {

/// Explains the outcome of a request from the log files of the hosts.
class explain_command final : public command {
public:
    [[nodiscard]] std::string get_name() const override { return "explain"; }
    [[nodiscard]] std::string get_summary() const override {
        return "ID FILE...  explain the outcome of a request from log files";
    }

    int run(const command_context& context, const std::vector<std::string>& arguments) override {
        if (arguments.size() < 2) {
            throw invalid_input_error(std::vector<input_problem>{
                {.location = "explain", .message = "needs the id of a request and at least one log file"}});
        }
        std::vector<log_line> lines;
        for (std::size_t index = 1; index < arguments.size(); ++index) {
            std::vector<log_line> more = parse_log(read_file(arguments[index]));
            std::move(more.begin(), more.end(), std::back_inserter(lines));
        }
        const std::vector<request_trace> traces = find_request_traces(lines, arguments.front());
        if (traces.empty()) {
            context.errors << "these logs do not contain the end of a request with the id " << arguments.front()
                           << "\n";
            return exit_failed;
        }
        for (const request_trace& trace : traces) {
            context.out << format_request_trace(trace);
        }
        return exit_ok;
    }
};

} // namespace

std::vector<std::unique_ptr<command>> make_explain_commands() {
    std::vector<std::unique_ptr<command>> commands;
    commands.push_back(std::make_unique<explain_command>());
    return commands;
}

} // namespace dragonflywell::ctl
