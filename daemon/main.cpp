#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/program_options.hpp>
#include <iostream>

#include "core/error.hpp"
#include "core/log.hpp"
#include "core/read_file.hpp"
#include "core/version.hpp"
#include "daemon/daemon.hpp"

namespace {

namespace options = boost::program_options;
using namespace dragonflywell;

constexpr int exit_ok = 0;
constexpr int exit_failed = 1;
constexpr int exit_usage = 2;

void run_until_signal(daemon::daemon_settings settings) {
    set_log_options(settings.log);
    boost::asio::io_context context(1);
    boost::asio::signal_set signals(context, SIGINT, SIGTERM);
    daemon::daemon daemon(std::move(settings));
    daemon.start();
    signals.async_wait([](const boost::system::error_code&, int) {});
    context.run();
    daemon.stop();
}

int run(int argc, char** argv) {
    options::options_description description("Usage: dragonflywelld --config FILE [--check]\n\nOptions");
    auto add = description.add_options();
    add("config,c", options::value<std::string>(), "settings file (TOML)");
    add("check", "check the settings file and exit");
    add("version", "print the version and exit");
    add("help,h", "print this help and exit");
    options::variables_map values;
    options::store(options::parse_command_line(argc, argv, description), values);
    if (values.contains("help")) {
        std::cout << description << "\nExit codes: 0 success, 1 failed while running, 2 wrong usage or settings.\n";
        return exit_ok;
    }
    if (values.contains("version")) {
        std::cout << "dragonflywelld " << version << "\n";
        return exit_ok;
    }
    if (!values.contains("config")) {
        std::cerr << "--config is missing; see --help\n";
        return exit_usage;
    }
    const auto path = values["config"].as<std::string>();
    daemon::daemon_settings settings = daemon::parse_daemon_settings(read_file(path), path);
    if (values.contains("check")) {
        std::cout << path << ": ok\n";
        return exit_ok;
    }
    run_until_signal(std::move(settings));
    return exit_ok;
}

} // namespace

int main(int argc, char** argv) {
    try {
        return run(argc, argv);
    } catch (const options::error& fault) {
        std::cerr << fault.what() << "\n";
        return exit_usage;
    } catch (const invalid_input_error& fault) {
        std::cerr << fault.what();
        return exit_usage;
    } catch (const std::exception& fault) {
        std::cerr << fault.what() << "\n";
        return exit_failed;
    }
}
