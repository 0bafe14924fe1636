#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/program_options.hpp>
#include <cstdlib>
#include <iostream>

#include "core/error.hpp"
#include "core/log.hpp"
#include "core/read_file.hpp"
#include "core/version.hpp"
#include "daemon/daemon.hpp"
#include "daemon/host_daemon.hpp"
#include "daemon/quota_settings.hpp"
#include "daemon/server_speed_settings.hpp"

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

/// Capacity for log lines that wait to be written: some seconds of a host at ten times its usual load.
constexpr std::size_t log_ring_bytes = 512 * 1024;

void run_host(daemon::settings_file file, bool learns_server_speeds) {
    daemon::host_settings settings = file.read();
    settings.quota_tolerance = daemon::read_quota_tolerance_from_environment();
    settings.caller_limits = daemon::read_caller_limits_from_environment();
    const auto ring = std::make_shared<log_buffer>(log_ring_bytes);
    settings.log.buffer = ring;
    set_log_options(settings.log);
    settings.learns_server_speeds = learns_server_speeds;
    daemon::host_daemon host(std::move(settings), std::move(file), ring);
    host.run();
}

/// Returns the path of the settings file. Throws `options::error` when the options contain none.
std::string get_settings_path(const options::variables_map& values) {
    if (values.contains("config")) {
        return values["config"].as<std::string>();
    }
    if (!values.contains("config-from")) {
        throw options::error("--config is missing; see --help");
    }
    const auto name = values["config-from"].as<std::string>();
    const char* path = std::getenv(name.c_str());
    if (path == nullptr) {
        throw options::error("environment variable " + name + " is not set");
    }
    return path;
}

int run(int argc, char** argv) {
    options::options_description description("Usage: dragonflywelld --config FILE [--check]\n\nOptions");
    auto add = description.add_options();
    add("config,c", options::value<std::string>(), "settings file (TOML)");
    add("config-from", options::value<std::string>(), "environment variable that holds the path of the settings file");
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
    const std::string path = get_settings_path(values);
    const std::string text = read_file(path);
    const bool is_check_only = values.contains("check");
    if (daemon::is_host_settings(text)) {
        daemon::settings_file file(path, daemon::read_capacity_from_environment());
        const bool learns_server_speeds = daemon::read_speed_learning_from_environment();
        if (!is_check_only) {
            run_host(std::move(file), learns_server_speeds);
            return exit_ok;
        }
        static_cast<void>(file.read());
        static_cast<void>(daemon::read_quota_tolerance_from_environment());
        static_cast<void>(daemon::read_caller_limits_from_environment());
    } else {
        daemon::daemon_settings settings = daemon::parse_daemon_settings(text, path);
        if (!is_check_only) {
            run_until_signal(std::move(settings));
            return exit_ok;
        }
    }
    std::cout << path << ": ok\n";
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
