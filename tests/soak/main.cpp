#include <boost/program_options.hpp>
#include <filesystem>
#include <fmt/format.h>
#include <iostream>

#include "core/log.hpp"
#include "soak/soak_run.hpp"

namespace {

namespace options = boost::program_options;
using namespace dragonflywell;

constexpr int exit_ok = 0;
constexpr int exit_violated = 1;
constexpr int exit_usage = 2;

void print(std::uint64_t seed, const soak::soak_result& result) {
    std::string faults;
    for (const auto& [name, count] : result.faults) {
        faults += fmt::format("{}{} x{}", faults.empty() ? "" : ", ", name, count);
    }
    std::cout << fmt::format("seed {}: {} requests, {} served, {} reports, {} violations; {}\n", seed, result.requests,
                             result.served, result.reports, result.violations.size(), faults);
    for (const std::string& violation : result.violations) {
        std::cout << "  " << violation << "\n";
    }
    std::cout.flush();
}

int run(int argc, char** argv) {
    options::options_description description("Usage: dragonflywell-soak [options]\n\nOptions");
    auto add = description.add_options();
    add("seed", options::value<std::uint64_t>()->default_value(1), "first seed");
    add("seeds", options::value<std::uint64_t>()->default_value(1), "number of seeds, one run each");
    add("seconds", options::value<unsigned>()->default_value(16), "duration of fault injection in each run");
    add("hosts", options::value<std::size_t>()->default_value(4), "number of daemons");
    add("engines", options::value<std::size_t>()->default_value(6), "number of engines");
    add("callers", options::value<std::size_t>()->default_value(12), "number of callers");
    add("restores", options::value<std::size_t>()->default_value(0),
        "number of returns of the store from an older copy");
    add("daemon", options::value<std::string>()->required(), "path of the daemon program");
    add("folder", options::value<std::string>()->default_value("/tmp/dragonflywell-soak"),
        "folder for settings and logs");
    add("help,h", "print this help and exit");
    options::variables_map values;
    options::store(options::parse_command_line(argc, argv, description), values);
    if (values.contains("help")) {
        std::cout << description
                  << "\nExit codes: 0 no violation was found, 1 at least one violation or an error, 2 wrong usage.\n";
        return exit_ok;
    }
    options::notify(values);
    set_log_options({.level = "error"});
    const auto first = values["seed"].as<std::uint64_t>();
    bool is_violated = false;
    for (std::uint64_t seed = first; seed < first + values["seeds"].as<std::uint64_t>(); ++seed) {
        const std::string folder = fmt::format("{}/{}", values["folder"].as<std::string>(), seed);
        std::filesystem::remove_all(folder);
        std::filesystem::create_directories(folder);
        soak::soak_run one({.seed = seed,
                            .faults = std::chrono::seconds(values["seconds"].as<unsigned>()),
                            .hosts = values["hosts"].as<std::size_t>(),
                            .engines = values["engines"].as<std::size_t>(),
                            .callers = values["callers"].as<std::size_t>(),
                            .restores = values["restores"].as<std::size_t>(),
                            .program = values["daemon"].as<std::string>(),
                            .folder = folder});
        const soak::soak_result result = one.run();
        print(seed, result);
        is_violated = is_violated || !result.violations.empty();
    }
    return is_violated ? exit_violated : exit_ok;
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
        return exit_violated;
    }
}
