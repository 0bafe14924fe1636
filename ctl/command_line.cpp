#include "ctl/command_line.hpp"

#include <boost/json.hpp>
#include <boost/program_options.hpp>
#include <fmt/format.h>
#include <ostream>

#include "coordination/configuration.hpp"
#include "core/error.hpp"
#include "core/version.hpp"
#include "ctl/explain_command.hpp"
#include "ctl/manifest_commands.hpp"
#include "ctl/report_commands.hpp"

namespace dragonflywell::ctl {

namespace {

namespace options = boost::program_options;

/// Creates all commands. Commands are registered only here.
std::vector<std::unique_ptr<command>> make_commands() {
    std::vector<std::unique_ptr<command>> commands = make_manifest_commands();
    for (auto make : {make_report_commands, make_explain_commands}) {
        for (std::unique_ptr<command>& item : make()) {
            commands.push_back(std::move(item));
        }
    }
    return commands;
}

options::options_description make_options() {
    options::options_description description("Options");
    auto add = description.add_options();
    add("log", options::value<std::string>()->default_value("127.0.0.1:7000"),
        "address of the platform's append-only log");
    add("daemon", options::value<std::vector<std::string>>()->composing(),
        "operator address of a daemon; can be given several times");
    add("json", "print JSON");
    add("html", options::value<std::string>()->default_value(""), "file to which report writes its page");
    add("version", "print the version and exit");
    add("help,h", "print this help and exit");
    return description;
}

void print_help(std::ostream& out) {
    out << "Usage: dragonflywellctl COMMAND [ARGUMENTS] [OPTIONS]\n\nCommands\n";
    for (const std::unique_ptr<command>& item : make_commands()) {
        out << fmt::format("  {:<18} {}\n", item->get_name(), item->get_summary());
    }
    out << "\n" << make_options();
    out << "\nExit codes: 0 success, 1 no response or nothing found, 2 wrong usage or invalid input,\n"
           "3 another operator published a newer manifest first.\n";
}

endpoint require_endpoint(const std::string& text) {
    const std::optional<endpoint> parsed = parse_endpoint(text);
    if (!parsed) {
        throw invalid_input_error({{.location = text, .message = "is not an IP address with a port"}});
    }
    return *parsed;
}

int run_selected(const std::vector<std::string>& positional, const command_context& context) {
    for (const std::unique_ptr<command>& item : make_commands()) {
        const std::string words = item->get_name();
        const std::size_t count = words.find(' ') == std::string::npos ? 1 : 2;
        if (positional.size() < count) {
            continue;
        }
        const std::string given = count == 1 ? positional[0] : positional[0] + " " + positional[1];
        if (given == words) {
            return item->run(context, {positional.begin() + static_cast<std::ptrdiff_t>(count), positional.end()});
        }
    }
    context.errors << "unknown command; see --help for the list of commands\n";
    return exit_usage;
}

int run_parsed(const std::vector<std::string>& words, std::ostream& out, std::ostream& errors) {
    options::options_description all;
    all.add(make_options()).add_options()("words", options::value<std::vector<std::string>>());
    options::positional_options_description positional;
    positional.add("words", -1);
    options::variables_map values;
    options::store(options::command_line_parser(words).options(all).positional(positional).run(), values);
    if (values.contains("version")) {
        out << "dragonflywellctl " << version << "\n";
        return exit_ok;
    }
    if (values.contains("help")) {
        print_help(out);
        return exit_ok;
    }
    if (!values.contains("words")) {
        print_help(errors);
        return exit_usage;
    }
    command_context context{.platform_log = require_endpoint(values["log"].as<std::string>()),
                            .daemons = {},
                            .is_json = values.contains("json"),
                            .html_file = values["html"].as<std::string>(),
                            .out = out,
                            .errors = errors};
    if (values.contains("daemon")) {
        for (const std::string& text : values["daemon"].as<std::vector<std::string>>()) {
            context.daemons.push_back(require_endpoint(text));
        }
    }
    return run_selected(values["words"].as<std::vector<std::string>>(), context);
}

} // namespace

int run_command_line(const std::vector<std::string>& words, std::ostream& out, std::ostream& errors) {
    try {
        return run_parsed(words, out, errors);
    } catch (const options::error& fault) {
        errors << fault.what() << "\n";
        return exit_usage;
    } catch (const invalid_input_error& fault) {
        errors << fault.what();
        return exit_usage;
    } catch (const coordination::configuration_conflict_error& fault) {
        errors << fault.what() << "\n";
        return exit_conflict;
    } catch (const std::exception& fault) {
        errors << fault.what() << "\n";
        return exit_failed;
    }
}

} // namespace dragonflywell::ctl
