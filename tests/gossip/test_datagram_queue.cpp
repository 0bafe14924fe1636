#include "gossip/datagram_queue.hpp"

#include <algorithm>
#include <doctest/doctest.h>

using namespace dragonflywell;
using boost::asio::ip::udp;
using gossip::datagram_kind;
using gossip::datagram_receivers;
using namespace std::chrono_literals;

namespace {

/// Keeps what is sent, or refuses it.
class fake_transport final : public gossip::datagram_transport {
public:
    bool send(std::string_view text, const udp::endpoint& receiver) override {
        if (is_refusing) {
            return false;
        }
        texts.emplace_back(text);
        ports.push_back(receiver.port());
        return true;
    }

    bool is_refusing{false};
    std::vector<std::string> texts;
    std::vector<std::uint16_t> ports;
};

struct fixture {
    /// The budget is 20,000 bytes a second, and 2,000 at once.
    static constexpr std::uint64_t link = 100'000;

    fake_transport transport;
    virtual_clock clock;
    metrics_registry metrics;
    gossip::datagram_queue queue{transport, clock, metrics, link};

    static datagram_receivers make_receivers(std::size_t count) {
        datagram_receivers receivers;
        for (std::size_t index = 0; index < count; ++index) {
            receivers.emplace_back(boost::asio::ip::make_address("127.0.0.1"), static_cast<std::uint16_t>(index + 1));
        }
        return receivers;
    }

    /// Sends until nothing waits.
    void drain() {
        while (const std::optional<duration> wait = queue.flush()) {
            clock.advance(*wait);
        }
    }

    std::uint64_t get_dropped(const char* kind, const char* reason) {
        return metrics.get_counter("dragonflywell_datagrams_dropped_total", {{"kind", kind}, {"reason", reason}}).get();
    }
};

} // namespace

TEST_CASE_FIXTURE(fixture,
                  "a datagram that is too large is counted as dropped, and others are counted with their bytes") {
    CHECK_FALSE(queue.put(datagram_kind::records, std::string(gossip::max_datagram_bytes + 1, 'a'), make_receivers(2)));
    CHECK(queue.put(datagram_kind::records, "four", make_receivers(2)));
    CHECK_FALSE(queue.flush());
    const metric_label kind{.name = "kind", .value = "records"};
    CHECK(metrics.get_counter("dragonflywell_datagrams_sent_total", {kind}).get() == 2);
    CHECK(metrics.get_counter("dragonflywell_datagram_bytes_total", {kind}).get() == 8);
    CHECK(get_dropped("records", "too_large") == 1);
    CHECK(get_dropped("records", "socket") == 0);
    CHECK(metrics.get_gauge("dragonflywell_datagram_peak_bytes_per_second").get() == 8);
    CHECK(transport.ports == std::vector<std::uint16_t>{1, 2});
}

TEST_CASE_FIXTURE(fixture, "a datagram that the socket does not take is counted") {
    transport.is_refusing = true;
    CHECK(queue.put(datagram_kind::group_digest, "text", make_receivers(2)));
    CHECK_FALSE(queue.flush());
    CHECK(get_dropped("group_digest", "socket") == 2);
}

TEST_CASE_FIXTURE(fixture, "datagrams beyond the burst wait, and are sent at the rate of the budget") {
    queue.put(datagram_kind::group_digest, std::string(1000, 'a'), make_receivers(12));
    CHECK(queue.flush());
    CHECK(transport.texts.size() == 2);
    CHECK(queue.is_waiting(datagram_kind::group_digest));
    const steady_time start = clock.now();
    drain();
    CHECK(transport.texts.size() == 12);
    CHECK(clock.now() - start >= 450ms);
    CHECK(clock.now() - start <= 500ms);
}

TEST_CASE_FIXTURE(fixture,
                  "records that cannot be sent in time are refused and counted, so that the receivers read the store") {
    CHECK(queue.put(datagram_kind::records, std::string(1000, 'a'), make_receivers(20)));
    CHECK_FALSE(queue.put(datagram_kind::records, std::string(100, 'b'), make_receivers(10)));
    CHECK(get_dropped("records", "budget") == 1);
    drain();
    CHECK(transport.texts.size() == 20);
    CHECK(queue.put(datagram_kind::records, std::string(100, 'b'), make_receivers(10)));
}

TEST_CASE_FIXTURE(fixture, "records are sent before digests that wait already, and no kind waits for ever") {
    queue.put(datagram_kind::intergroup_digest, std::string(500, 'i'), make_receivers(40));
    queue.put(datagram_kind::group_digest, std::string(500, 'g'), make_receivers(40));
    queue.flush();
    const std::size_t sent_before = transport.texts.size();
    queue.put(datagram_kind::records, std::string(500, 'r'), make_receivers(20));
    drain();
    const auto count = [&](char kind, std::size_t end) {
        return std::count_if(transport.texts.begin(), transport.texts.begin() + static_cast<std::ptrdiff_t>(end),
                             [&](const std::string& text) { return text.front() == kind; });
    };
    // All records are sent while they get four of seven bytes.
    const std::size_t window = sent_before + 36;
    CHECK(count('r', window) == 20);
    CHECK(count('g', window) > count('i', window));
    CHECK(count('i', window) >= 4);
    CHECK(count('g', transport.texts.size()) == 40);
    CHECK(count('i', transport.texts.size()) == 40);
}
