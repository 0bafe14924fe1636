#include <doctest/doctest.h>

#include "server_limit_simulation.hpp"

using namespace dragonflywell;
using namespace std::chrono_literals;
using testing::server_limit_simulation;

namespace {

/// A number of hosts, and the time after the first naming from which the rule applies to them.
struct fleet_size {
    std::size_t hosts{};
    duration contact{};
};

constexpr fleet_size sizes[] = {{9, 3s}, {65, 4s}, {295, 5s}};
constexpr double limits[] = {0, 0.3, 2.2, 3.7, 30};
constexpr std::size_t servers = 3;

/// A large fleet is slow to simulate: failures are tried there with a small and a large limit.
bool is_tried(const fleet_size& size, double limit) {
    return size.hosts < 200 || limit == 0.3 || limit == 30;
}

testing::server_limit_simulation_options make_options(const fleet_size& size) {
    return {
        .fleet = {.hosts = size.hosts, .seed = size.hosts}, .servers = servers, .contact = size.contact, .idle = {}};
}

/// Demand at which each server would get far more than its limit.
double get_demand(const fleet_size& size, double limit) {
    return static_cast<double>(size.hosts) + 6 * limit * servers;
}

void set_limits(server_limit_simulation& fleet, std::optional<double> limit) {
    for (std::size_t server = 0; server < servers; ++server) {
        fleet.set_limit(server, limit);
    }
}

/// Begins with demand, and then with limits.
void begin(server_limit_simulation& fleet, const fleet_size& size, double limit) {
    fleet.set_demand(get_demand(size, limit));
    fleet.run_for(1s);
    set_limits(fleet, limit);
}

using action = std::function<void(server_limit_simulation&, std::size_t)>;

/// What happens to a fleet before the limit is named, 6 s after it, and 9 s after it.
struct failure {
    action before{};
    action during{};
    action after{};
};

void check_failure(const failure& tested) {
    const auto act = [](const action& chosen, server_limit_simulation& fleet, std::size_t hosts) {
        if (chosen) {
            chosen(fleet, hosts);
        }
    };
    for (const fleet_size& size : sizes) {
        for (const double limit : limits) {
            if (!is_tried(size, limit)) {
                continue;
            }
            CAPTURE(size.hosts);
            CAPTURE(limit);
            server_limit_simulation fleet(make_options(size));
            fleet.set_demand(get_demand(size, limit));
            fleet.run_for(1s);
            act(tested.before, fleet, size.hosts);
            fleet.run_for(500ms);
            set_limits(fleet, limit);
            fleet.run_for(6s);
            act(tested.during, fleet, size.hosts);
            fleet.run_for(3s);
            act(tested.after, fleet, size.hosts);
            fleet.run_for(6s);
            CHECK(fleet.take_worst_excess() <= 0);
        }
    }
}

void restart_all(server_limit_simulation& fleet, std::size_t hosts) {
    for (std::size_t host = 0; host < hosts; ++host) {
        fleet.restart(host);
    }
}

std::size_t get_first_owner(const server_limit_simulation& fleet) {
    return fleet.get_owner(server_limit_simulation::get_server_name(0));
}

} // namespace

TEST_CASE("server limit: no server gets more than its limit from hosts that were told") {
    // Guards against a bucket on each host, whose sum grows with the number of hosts.
    for (const fleet_size& size : sizes) {
        for (const double limit : limits) {
            CAPTURE(size.hosts);
            CAPTURE(limit);
            server_limit_simulation fleet(make_options(size));
            begin(fleet, size, limit);
            fleet.run_for(10s);
            CHECK(fleet.take_worst_excess() <= 0);
            CHECK(fleet.count_limiting_hosts(0) == size.hosts);
        }
    }
}

TEST_CASE("server limit: use stays within it while datagrams are lost, late and duplicated") {
    // Guards against grants and shares that count twice, and against hosts that never hear of a limit.
    for (const fleet_size& size : sizes) {
        for (const double limit : limits) {
            if (!is_tried(size, limit)) {
                continue;
            }
            CAPTURE(size.hosts);
            CAPTURE(limit);
            testing::server_limit_simulation_options options = make_options(size);
            options.fleet.loss = 0.05;
            options.fleet.late = 0.03;
            options.fleet.duplicated = 0.03;
            server_limit_simulation fleet(options);
            begin(fleet, size, limit);
            fleet.run_for(12s);
            CHECK(fleet.take_worst_excess() <= 0);
            CHECK(fleet.count_limiting_hosts(0) == size.hosts);
        }
    }
}

TEST_CASE("server limit: a host that is frozen over the naming is bound when it goes on") {
    check_failure({.before = [](auto& fleet, auto) { fleet.freeze(1, 2s); }});
}

TEST_CASE("server limit: a zone that is cut off over the naming, and comes back, is bound") {
    check_failure({.before = [](auto& fleet, auto) { fleet.set_cut(1, true); },
                   .after = [](auto& fleet, auto) { fleet.set_cut(1, false); }});
}

TEST_CASE("server limit: a zone that is cut off keeps to its part, and the others to theirs") {
    check_failure({.during = [](auto& fleet, auto) { fleet.set_cut(1, true); },
                   .after = [](auto& fleet, auto) { fleet.set_cut(1, false); }});
}

TEST_CASE("server limit: hosts that all restart twice hold nothing of it") {
    check_failure({.during = restart_all, .after = restart_all});
}

TEST_CASE("server limit: use stays within it while its owner is killed and restarted") {
    check_failure({.during = [](auto& fleet, auto) { fleet.kill(get_first_owner(fleet)); },
                   .after = [](auto& fleet, auto) { fleet.restart(get_first_owner(fleet)); }});
}

TEST_CASE("server limit: use stays within it while its owner is frozen") {
    check_failure({.during = [](auto& fleet, auto) { fleet.freeze(get_first_owner(fleet), 3s); }});
}

TEST_CASE("server limit: a smaller limit is binding after one window") {
    // Guards against hosts that go on with the larger limit that they were told first.
    for (const fleet_size& size : sizes) {
        for (const double first : {3.7, 30.0}) {
            for (const double limit : {0.0, 0.3, 2.2}) {
                if (size.hosts == 295 && (first < 30 || limit != 0.3)) {
                    continue;
                }
                CAPTURE(size.hosts);
                CAPTURE(first);
                CAPTURE(limit);
                server_limit_simulation fleet(make_options(size));
                begin(fleet, size, first);
                fleet.run_for(7s);
                set_limits(fleet, limit);
                fleet.run_for(10s);
                CHECK(fleet.take_worst_excess() <= 0);
            }
        }
    }
}

TEST_CASE("server limit: a limit that ends frees the server, and binds again when it is named again") {
    // Guards against a limit that is kept by reports that hosts pass on, and against one that an old response ends.
    for (const fleet_size& size : sizes) {
        for (const double late : {0.0, 0.05}) {
            CAPTURE(size.hosts);
            CAPTURE(late);
            testing::server_limit_simulation_options options = make_options(size);
            options.fleet.late = late;
            options.late_responses = late;
            server_limit_simulation fleet(options);
            begin(fleet, size, 2.2);
            fleet.run_for(8s);
            set_limits(fleet, std::nullopt);
            fleet.run_for(8s);
            CHECK(fleet.count_limiting_hosts(0) == 0);
            set_limits(fleet, 2.2);
            fleet.run_for(10s);
            CHECK(fleet.count_limiting_hosts(0) == size.hosts);
            CHECK(fleet.take_worst_excess() <= 0);
        }
    }
}

TEST_CASE("server limit: responses that were under way when the limit was named do not end it") {
    // Guards against a limit that is lost, and used up anew, with each response of the time before.
    for (const fleet_size& size : sizes) {
        for (const double limit : limits) {
            if (!is_tried(size, limit)) {
                continue;
            }
            CAPTURE(size.hosts);
            CAPTURE(limit);
            testing::server_limit_simulation_options options = make_options(size);
            options.late_responses = 0.2;
            options.fleet.late = 0.05;
            server_limit_simulation fleet(options);
            begin(fleet, size, limit);
            fleet.run_for(10s);
            CHECK(fleet.take_worst_excess() <= 0);
            CHECK(fleet.count_limiting_hosts(0) == size.hosts);
        }
    }
}

TEST_CASE("server limit: requests that reach the server a second after they were admitted stay within the rule") {
    // Guards against a bucket that leaves no room for requests that wait for a connection.
    for (const fleet_size& size : sizes) {
        for (const double limit : limits) {
            if (!is_tried(size, limit)) {
                continue;
            }
            CAPTURE(size.hosts);
            CAPTURE(limit);
            testing::server_limit_simulation_options options = make_options(size);
            options.late_requests = 0.3;
            server_limit_simulation fleet(options);
            begin(fleet, size, limit);
            fleet.run_for(12s);
            CHECK(fleet.take_worst_excess() <= 0);
        }
    }
}

TEST_CASE("server limit: hosts that were told bind an owner that was not") {
    // Guards against an owner that grants nothing, or anything, of a limit that it has not heard of.
    for (const fleet_size& size : sizes) {
        for (const double limit : limits) {
            if (!is_tried(size, limit)) {
                continue;
            }
            CAPTURE(size.hosts);
            CAPTURE(limit);
            testing::server_limit_simulation_options options = make_options(size);
            options.sends_reports = false;
            server_limit_simulation unused(options);
            for (std::size_t server = 0; server < servers; ++server) {
                options.idle.insert(unused.get_owner(server_limit_simulation::get_server_name(server)));
            }
            server_limit_simulation fleet(options);
            begin(fleet, size, limit);
            fleet.run_for(6s);
            fleet.take_request_counts();
            fleet.run_for(10s);
            CHECK(fleet.take_worst_excess() <= 0);
            const double served = static_cast<double>(fleet.take_request_counts().served);
            CHECK(served > 0);
            // The owners do not know that they have shares to pledge. Small limits allow too few requests to tell.
            const double pledged = static_cast<double>(size.hosts - options.idle.size()) / size.hosts;
            if (limit > 1) {
                CHECK(served >= 0.8 * pledged * limit * servers * 10);
            }
        }
    }
}

TEST_CASE("server limit: with demand above the limits of a zone of servers, four fifths of them are used") {
    // Guards against fractions of requests that hosts hold and none can use.
    constexpr std::size_t many = 20;
    // As for quotas.
    constexpr std::size_t max_datagrams = 4000;
    for (const fleet_size& size : sizes) {
        for (const double limit : {0.3, 2.2, 3.7, 30.0}) {
            // A large fleet with many requests is slow to simulate; small limits are the ones that fractions starve.
            if (static_cast<double>(size.hosts) * limit > 500) {
                continue;
            }
            CAPTURE(size.hosts);
            CAPTURE(limit);
            testing::server_limit_simulation_options options = make_options(size);
            options.servers = many;
            server_limit_simulation fleet(options);
            fleet.set_demand(1.5 * limit * many);
            fleet.run_for(1s);
            for (std::size_t server = 0; server < many; ++server) {
                fleet.set_limit(server, limit);
            }
            fleet.run_for(5s);
            fleet.take_request_counts();
            fleet.run_for(10s);
            CHECK(static_cast<double>(fleet.take_request_counts().served) >= 0.8 * limit * many * 10);
            CHECK(fleet.take_worst_excess() <= 0);
            CHECK(fleet.get_peak_traffic().sent <= max_datagrams);
            CHECK(fleet.get_peak_traffic().received <= max_datagrams);
        }
    }
}

TEST_CASE("server limit: without a limit nothing is sent") {
    server_limit_simulation fleet(make_options(sizes[1]));
    fleet.set_demand(200);
    fleet.run_for(3s);
    CHECK(fleet.get_total_sent() == 0);
    CHECK(fleet.take_request_counts().refused == 0);
}
