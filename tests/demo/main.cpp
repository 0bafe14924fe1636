#include <boost/program_options.hpp>
#include <filesystem>
#include <iostream>

#include "core/log.hpp"
#include "demo/platform_demo.hpp"

namespace {

namespace options = boost::program_options;

constexpr int exit_ok = 0;
constexpr int exit_failed = 1;
constexpr int exit_usage = 2;

int run(int argc, char** argv) {
    options::options_description description("Usage: dragonflywell-demo --daemon PROGRAM --folder FOLDER\n\nOptions");
    auto add = description.add_options();
    add("daemon", options::value<std::string>()->required(), "path of the daemon program");
    add("folder", options::value<std::string>()->required(), "folder for settings and logs");
    add("help,h", "print this help and exit");
    options::variables_map values;
    options::store(options::parse_command_line(argc, argv, description), values);
    if (values.contains("help")) {
        std::cout << description
                  << "\nExit codes: 0 all expectations were met, 1 at least one failed, 2 wrong usage.\n";
        return exit_ok;
    }
    options::notify(values);
    dragonflywell::set_log_options({.level = "error"});
    const auto folder = values["folder"].as<std::string>();
    std::filesystem::create_directories(folder);
    dragonflywell::demo::platform_demo demo({.daemon = values["daemon"].as<std::string>(), .folder = folder},
                                            std::cout);
    return demo.run() ? exit_ok : exit_failed;
}

} // namespace

int main(int argc, char** argv) {
    try {
        return run(argc, argv);
    } catch (const options::error& fault) {
        std::cerr << fault.what() << "\n";
        return exit_usage;
    } catch (const std::exception& fault) {
        std::cerr << fault.what() << "\n";
        return exit_failed;
    }
}
