#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/program_options.hpp>
#include <iostream>
#include <memory>

#include "core/log.hpp"
#include "servers/http_server.hpp"
#include "standin/engine_standin.hpp"
#include "standin/fault_plan.hpp"
#include "standin/platform_standin.hpp"
#include "standin/service_standin.hpp"

namespace {

namespace options = boost::program_options;
using namespace dragonflywell;

std::unique_ptr<servers::http_handler> make_standin(const options::variables_map& values) {
    const auto kind = values["kind"].as<std::string>();
    if (kind == "platform") {
        return std::make_unique<standin::platform_standin>();
    }
    if (kind == "engine") {
        return std::make_unique<standin::engine_standin>(standin::engine_standin_options{
            .model = values["model"].as<std::string>(),
            .role = values["role"].as<std::string>(),
            .checks_fencing = values.count("checks-fencing") != 0,
            .generated_token_time = std::chrono::microseconds(values["token-microseconds"].as<unsigned>())});
    }
    if (kind == "service") {
        return std::make_unique<standin::service_standin>();
    }
    throw std::invalid_argument("kind must be platform, engine or service");
}

int run(int argc, char** argv) {
    options::options_description description("dragonflywell-standin KIND --listen ADDRESS:PORT");
    auto add = description.add_options();
    add("kind", options::value<std::string>(), "platform, engine or service");
    add("listen", options::value<std::string>()->required(), "IP address and port");
    add("model", options::value<std::string>()->default_value("model"), "model of an engine");
    add("role", options::value<std::string>()->default_value("mixed"), "role of an engine");
    add("checks-fencing", "the engine refuses orders with a stale fencing number");
    add("token-microseconds", options::value<unsigned>()->default_value(2000), "time per generated token");
    options::positional_options_description positional;
    positional.add("kind", 1);
    options::variables_map values;
    options::store(options::command_line_parser(argc, argv).options(description).positional(positional).run(), values);
    options::notify(values);
    const std::optional<endpoint> listen = parse_endpoint(values["listen"].as<std::string>());
    if (!listen) {
        throw std::invalid_argument("listen must be an IP address with a port");
    }
    set_log_options({.level = "warn"});
    boost::asio::io_context context(1);
    const std::unique_ptr<servers::http_handler> inner = make_standin(values);
    standin::faulty_handler handler(*inner);
    servers::http_server server({&context}, handler, {.listen = *listen});
    server.start();
    boost::asio::signal_set signals(context, SIGINT, SIGTERM);
    signals.async_wait([&context](const boost::system::error_code&, int) { context.stop(); });
    context.run();
    return 0;
}

} // namespace

int main(int argc, char** argv) {
    try {
        return run(argc, argv);
    } catch (const std::exception& fault) {
        std::cerr << fault.what() << "\n";
        return 2;
    }
}
