#include <doctest/doctest.h>

#include "support/small_deployment.hpp"

using namespace dragonflywell;
using dragonflywell::testing::small_deployment;
namespace http = boost::beast::http;

namespace {

constexpr const char* good_key = "k1.secret";

unsigned read_map(boost::beast::tcp_stream& caller) {
    return small_deployment::exchange(caller, http::verb::get, "/maps/52N", "", good_key).result_int();
}

} // namespace

TEST_CASE("a revoked key is refused on open and on new connections") {
    small_deployment deployment;
    boost::asio::io_context context;
    boost::beast::tcp_stream caller = deployment.connect(context);
    CHECK(read_map(caller) == 200);
    deployment.change("keys/k1", "");
    while (read_map(caller) == 200) {
    }
    const std::uint64_t runs = deployment.service.handler.get_runs();
    CHECK(read_map(caller) == 401);
    boost::beast::tcp_stream other = deployment.connect(context);
    CHECK(read_map(other) == 401);
    CHECK(deployment.service.handler.get_runs() == runs);
}

TEST_CASE("requests with a key that was reassigned are billed to its new organisation") {
    small_deployment deployment;
    boost::asio::io_context context;
    boost::beast::tcp_stream caller = deployment.connect(context);
    CHECK(read_map(caller) == 200);
    const std::string entry =
        R"({"organisation":"surveyors","salt":"s","sha256":")" + get_sha256_hex("ssecret") + R"("})";
    deployment.change("organisations/surveyors", "{}");
    deployment.change("keys/k1", entry);
    const auto bills_surveyors = [&] {
        for (const auto& [key, figures] : deployment.get_usage()) {
            if (key.organisation == organisation_name("surveyors")) {
                return true;
            }
        }
        return false;
    };
    while (!bills_surveyors()) {
        CHECK(read_map(caller) == 200);
    }
    CHECK(bills_surveyors());
}
