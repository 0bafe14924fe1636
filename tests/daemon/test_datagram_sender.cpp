#include "daemon/datagram_sender.hpp"

#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>
#include <vector>

using namespace dragonflywell;
using boost::asio::ip::udp;
using daemon::datagram_kind;

TEST_CASE("a datagram that is too large is counted as dropped, and others are counted with their bytes") {
    boost::asio::io_context loop;
    const udp::endpoint any(boost::asio::ip::make_address("127.0.0.1"), 0);
    udp::socket socket(loop, any);
    const udp::socket receiver(loop, any);
    const virtual_clock clock;
    metrics_registry metrics;
    daemon::datagram_sender sender(socket, clock, metrics);
    const std::vector<udp::endpoint> receivers{receiver.local_endpoint(), receiver.local_endpoint()};
    sender.send(datagram_kind::records, std::string(daemon::max_datagram_bytes + 1, 'a'), receivers);
    sender.send(datagram_kind::records, "four", receivers);
    const metric_label kind{.name = "kind", .value = "records"};
    CHECK(metrics.get_counter("dragonflywell_datagrams_sent_total", {kind}).get() == 2);
    CHECK(metrics.get_counter("dragonflywell_datagram_bytes_total", {kind}).get() == 8);
    CHECK(metrics.get_counter("dragonflywell_datagrams_dropped_total", {kind, {"reason", "too_large"}}).get() == 1);
    CHECK(metrics.get_counter("dragonflywell_datagrams_dropped_total", {kind, {"reason", "socket"}}).get() == 0);
    CHECK(metrics.get_gauge("dragonflywell_datagram_peak_bytes_per_second").get() == 8);
}
