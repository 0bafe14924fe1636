#include <doctest/doctest.h>

#include "coordination/order_dispatcher.hpp"
#include "support/fake_log.hpp"
#include "support/fake_receiver.hpp"

using namespace dragonflywell;
using namespace dragonflywell::coordination;

namespace {

struct control_host {
    control_host(testing::fake_log& log, const clock_source& time, order_receiver& receiver, const host_liveness& hosts,
                 const char* host)
        : stream(log, "control/a", {.host = host, .incarnation = 1}), lease(stream, time, {.scope = "control/a"}),
          dispatcher(stream, lease, receiver, hosts) {}

    folded_stream stream;
    lease_candidate lease;
    order_dispatcher dispatcher;
};

struct two_hosts {
    testing::fake_log log;
    virtual_clock time;
    testing::fake_receiver receiver;
    testing::fake_liveness hosts;
    control_host first{log, time, receiver, hosts, "host-1"};
    control_host second{log, time, receiver, hosts, "host-2"};

    two_hosts() {
        first.lease.tick();
        second.lease.tick();
    }

    /// The first host stops renewing, and the second one acquires the lease.
    void pass_lease_to_second() {
        time.advance(std::chrono::seconds(11));
        second.lease.tick();
        REQUIRE(second.lease.get_authority().has_value());
    }
};

order make_order(const char* key, receiver_kind receiver,
                 duplicate_handling duplicates = duplicate_handling::idempotent) {
    return {.subject = "engine/e1",
            .kind = "set_role",
            .body = {{"role", key}},
            .idempotency_key = key,
            .receiver = receiver,
            .duplicates = duplicates};
}

const order to_prefill = make_order("prefill", receiver_kind::ignores_fencing);
const order to_decode = make_order("decode", receiver_kind::ignores_fencing);

} // namespace

TEST_CASE("an order is sent under the lease only, and nothing stays unresolved once the receiver has replied") {
    two_hosts hosts;
    CHECK(hosts.first.dispatcher.submit(to_prefill).status == order_status::applied);
    CHECK(hosts.first.dispatcher.get_unresolved().empty());
    CHECK(hosts.receiver.applied == std::vector<std::string>{"prefill"});
    CHECK(hosts.second.dispatcher.submit(to_decode).status == order_status::no_authority);
}

TEST_CASE("no order is sent while the log is down or the lease is about to end") {
    two_hosts hosts;
    hosts.log.is_down = true;
    CHECK(hosts.first.dispatcher.submit(to_prefill).status == order_status::log_unavailable);
    hosts.log.is_down = false;
    hosts.time.advance(std::chrono::seconds(8));
    CHECK(hosts.first.dispatcher.submit(to_prefill).status == order_status::no_authority);
    CHECK(hosts.receiver.applied.empty());
}

TEST_CASE("an intent whose append took effect too late is never sent and does not block its subject") {
    two_hosts hosts;
    hosts.log.delays_next_append = true;
    CHECK(hosts.first.dispatcher.submit(to_prefill).status == order_status::log_unavailable);
    hosts.log.deliver_delayed_appends();
    CHECK(hosts.first.dispatcher.submit(to_decode).status == order_status::applied);
    CHECK(hosts.receiver.applied == std::vector<std::string>{"decode"});
}

TEST_CASE("a receiver that ignores fencing numbers gets no other order until the old one is found there") {
    two_hosts hosts;
    hosts.receiver.loses_next_order = true;
    CHECK(hosts.first.dispatcher.submit(to_prefill).status == order_status::unknown);
    hosts.pass_lease_to_second();
    REQUIRE(hosts.second.dispatcher.get_unresolved().size() == 1);
    hosts.second.dispatcher.reconcile();
    CHECK(hosts.second.dispatcher.submit(to_decode).status == order_status::blocked);
    hosts.receiver.deliver_late();
    hosts.second.dispatcher.reconcile();
    CHECK(hosts.second.dispatcher.submit(to_decode).status == order_status::applied);
    CHECK(hosts.receiver.applied == std::vector<std::string>{"prefill", "decode"});
}

TEST_CASE("a subject stays blocked by an unresponsive sender and is free once the sender has terminated") {
    two_hosts hosts;
    hosts.receiver.loses_next_order = true;
    hosts.first.dispatcher.submit(to_prefill);
    hosts.receiver.late.clear();
    hosts.pass_lease_to_second();
    hosts.second.dispatcher.reconcile();
    CHECK(hosts.second.dispatcher.submit(to_decode).status == order_status::blocked);
    hosts.hosts.gone.insert("host-1");
    hosts.second.dispatcher.reconcile();
    CHECK(hosts.second.dispatcher.submit(to_decode).status == order_status::applied);
}

TEST_CASE("completing an order of a predecessor does not unblock its subject while the first send may still arrive") {
    two_hosts hosts;
    hosts.receiver.loses_next_order = true;
    hosts.first.dispatcher.submit(to_prefill);
    hosts.pass_lease_to_second();
    CHECK(hosts.second.dispatcher.submit(to_prefill).status == order_status::applied);
    hosts.second.dispatcher.reconcile();
    CHECK(hosts.second.dispatcher.submit(to_decode).status == order_status::blocked);
}

TEST_CASE("a receiver that checks fencing numbers accepts a new holder's order at once and refuses the late one") {
    two_hosts hosts;
    hosts.receiver.loses_next_order = true;
    hosts.first.dispatcher.submit(make_order("prefill", receiver_kind::checks_fencing));
    hosts.pass_lease_to_second();
    const order next = make_order("decode", receiver_kind::checks_fencing);
    CHECK(hosts.second.dispatcher.submit(next).status == order_status::applied);
    hosts.receiver.deliver_late();
    CHECK(hosts.receiver.applied == std::vector<std::string>{"decode"});
    CHECK(hosts.second.dispatcher.get_unresolved().empty());
}

TEST_CASE("an order whose reply was lost is found by its key and is not sent twice") {
    two_hosts hosts;
    const order buy = make_order("buy-7", receiver_kind::ignores_fencing, duplicate_handling::deduplicated);
    hosts.receiver.drops_next_answer = true;
    CHECK(hosts.first.dispatcher.submit(buy).status == order_status::unknown);
    CHECK(hosts.first.dispatcher.submit(buy).status == order_status::applied);
    CHECK(hosts.receiver.applied == std::vector<std::string>{"buy-7"});
    CHECK(hosts.first.dispatcher.get_unresolved().empty());
}

TEST_CASE("a new holder sends nothing to the platform while a send of its predecessor may still arrive") {
    two_hosts hosts;
    const order buy = make_order("buy-7", receiver_kind::ignores_fencing, duplicate_handling::deduplicated);
    hosts.receiver.loses_next_order = true;
    hosts.first.dispatcher.submit(buy);
    hosts.pass_lease_to_second();
    hosts.second.dispatcher.reconcile();
    CHECK(hosts.second.dispatcher.submit(buy).status == order_status::blocked);
    hosts.receiver.deliver_late();
    CHECK(hosts.second.dispatcher.submit(buy).status == order_status::blocked);
    hosts.second.dispatcher.reconcile();
    CHECK(hosts.second.dispatcher.get_unresolved().empty());
}

TEST_CASE("an order that must not be repeated is never sent again") {
    two_hosts hosts;
    const order once = make_order("swap", receiver_kind::checks_fencing, duplicate_handling::never);
    hosts.receiver.loses_next_order = true;
    hosts.first.dispatcher.submit(once);
    hosts.pass_lease_to_second();
    CHECK(hosts.second.dispatcher.submit(once).status == order_status::blocked);
}

TEST_CASE("an order that could change when it is encoded again is refused") {
    two_hosts hosts;
    order half = to_prefill;
    half.body["share"] = 0.5;
    CHECK_THROWS_AS(hosts.first.dispatcher.submit(half), malformed_message_error);
    CHECK(hosts.receiver.applied.empty());
}
