#include <boost/asio/io_context.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <thread>
#include <vector>

#include "core/log.hpp"
#include "support/small_deployment.hpp"

// Measures throughput and latency of a plain service through one daemon, compared with direct calls. The callers, the
// daemon and the service share one process.

namespace {

using namespace dragonflywell;
using dragonflywell::testing::small_deployment;
namespace http = boost::beast::http;

constexpr std::size_t requests_per_caller = 3000;
constexpr std::array<std::size_t, 4> caller_counts{1, 4, 16, 64};

struct load_result {
    double requests_per_second{};
    double median_microseconds{};
    double p99_microseconds{};
};

std::vector<double> run_caller(boost::beast::tcp_stream stream) {
    std::vector<double> latencies;
    for (std::size_t count = 0; count < requests_per_caller; ++count) {
        const auto start = std::chrono::steady_clock::now();
        const auto response = small_deployment::exchange(stream, http::verb::get, "/maps/52N", "", "k1.secret");
        if (response.result_int() != 200) {
            throw std::runtime_error("request to /maps/52N was not answered with status 200");
        }
        const std::chrono::duration<double, std::micro> taken = std::chrono::steady_clock::now() - start;
        latencies.push_back(taken.count());
    }
    return latencies;
}

load_result run_load(const endpoint& server, std::size_t callers) {
    boost::asio::io_context context;
    std::vector<std::vector<double>> latencies(callers);
    std::vector<std::thread> threads;
    const auto start = std::chrono::steady_clock::now();
    for (std::size_t caller = 0; caller < callers; ++caller) {
        boost::beast::tcp_stream stream(context);
        stream.connect({boost::asio::ip::make_address(server.address), server.port});
        threads.emplace_back([&latencies, caller, stream = std::move(stream)]() mutable {
            latencies[caller] = run_caller(std::move(stream));
        });
    }
    for (std::thread& thread : threads) {
        thread.join();
    }
    const std::chrono::duration<double> taken = std::chrono::steady_clock::now() - start;
    std::vector<double> all;
    for (const std::vector<double>& some : latencies) {
        all.insert(all.end(), some.begin(), some.end());
    }
    std::ranges::sort(all);
    return {.requests_per_second = static_cast<double>(all.size()) / taken.count(),
            .median_microseconds = all[all.size() / 2],
            .p99_microseconds = all[all.size() * 99 / 100]};
}

void print(const char* path, std::size_t callers, const load_result& result) {
    fmt::print("| {} | {} | {:.0f} | {:.0f} | {:.0f} |\n", path, callers, result.requests_per_second,
               result.median_microseconds, result.p99_microseconds);
}

} // namespace

int main() {
    set_log_options({.level = "error"});
    small_deployment deployment;
    fmt::print("| path | callers | requests/s | p50 us | p99 us |\n| --- | --- | --- | --- | --- |\n");
    for (const std::size_t callers : caller_counts) {
        print("direct", callers, run_load(deployment.service.get_endpoint(), callers));
        print("daemon, 2 workers", callers, run_load(deployment.get_caller_endpoint(), callers));
    }
    return 0;
}
