#include <doctest/doctest.h>

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include "support/small_deployment.hpp"

using namespace dragonflywell;
using dragonflywell::testing::small_deployment;

namespace {

/// Sends the bytes and returns everything that is received until the daemon closes the connection.
std::string send_raw(const small_deployment& deployment, const std::string& bytes) {
    boost::asio::io_context context;
    boost::beast::tcp_stream stream = deployment.connect(context);
    boost::asio::write(stream.socket(), boost::asio::buffer(bytes));
    stream.socket().shutdown(boost::asio::ip::tcp::socket::shutdown_send);
    std::string answer;
    boost::system::error_code ignored;
    boost::asio::read(stream.socket(), boost::asio::dynamic_buffer(answer), ignored);
    return answer;
}

struct malformed_case {
    const char* name;
    std::string bytes;
    const char* status_line;
    const char* reason;
};

} // namespace

TEST_CASE("malformed and oversized requests are refused as not run and counted, and later requests still succeed") {
    small_deployment deployment;
    const std::vector<malformed_case> cases{
        {.name = "broken HTTP",
         .bytes = "this is not HTTP\r\n\r\n",
         .status_line = "HTTP/1.1 400",
         .reason = "malformed_request"},
        {.name = "oversized header",
         .bytes = "GET /maps/1 HTTP/1.1\r\nX-Long: " + std::string(20000, 'x') + "\r\n\r\n",
         .status_line = "HTTP/1.1 431",
         .reason = "header_too_large"},
        {.name = "oversized body",
         .bytes = "POST /subscriptions HTTP/1.1\r\nContent-Length: 9000000\r\n\r\nx",
         .status_line = "HTTP/1.1 413",
         .reason = "body_too_large"},
    };
    for (const malformed_case& item : cases) {
        CAPTURE(item.name);
        const std::string answer = send_raw(deployment, item.bytes);
        CHECK(answer.starts_with(item.status_line));
        CHECK(answer.find("x-dragonflywell-outcome: not_run") != std::string::npos);
        const std::string counted = std::string("dragonflywell_refusals_total{reason=\"") + item.reason + "\"} 1\n";
        CHECK(deployment.get_metrics().find(counted) != std::string::npos);
    }
    CHECK(deployment.service.handler.get_runs() == 0);
    const auto good = deployment.call(boost::beast::http::verb::get, "/maps/1", "", "k1.secret");
    CHECK(good.result_int() == 200);
}
