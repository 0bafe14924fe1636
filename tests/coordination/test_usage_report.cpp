#include <doctest/doctest.h>

#include <array>
#include <functional>
#include <memory>

#include "coordination/usage_flusher.hpp"
#include "coordination/usage_report.hpp"
#include "support/billing_checker.hpp"
#include "support/fake_log.hpp"
#include "support/fake_receiver.hpp"

using namespace dragonflywell;
using namespace dragonflywell::coordination;

namespace {

constexpr std::chrono::seconds window_length{60};
constexpr usage_reporter_options reporter_options{.window_length = window_length,
                                                  .max_wait = std::chrono::seconds(120)};

struct metering_host {
    metering_host(testing::fake_log& log, const clock_source& time, const char* host)
        : stream(log, std::string(usage_stream), {.host = host, .incarnation = 1}), flusher(stream, time, meter),
          m_time(&time) {}

    void record_usage(const char* organisation, std::uint64_t tokens) {
        const auto now = std::chrono::duration_cast<std::chrono::seconds>(m_time->wall_now().time_since_epoch());
        meter.add({.organisation = organisation_name(organisation),
                   .window = static_cast<window_number>(now / window_length)},
                  {.requests = 1, .completion_tokens = tokens});
    }

    folded_stream stream;
    usage_meter meter;
    usage_flusher flusher;

private:
    const clock_source* m_time;
};

struct reporting_host {
    reporting_host(testing::fake_log& log, const clock_source& time, order_receiver& receiver,
                   const host_liveness& liveness, const char* host, std::uint64_t incarnation)
        : stream(log, std::string(usage_stream), {.host = host, .incarnation = incarnation}),
          reporter(stream, time, receiver, liveness, reporter_options) {}

    folded_stream stream;
    usage_reporter reporter;
};

/// Two hosts that record usage and one or two that report it, driven step by step.
struct billing_session {
    billing_session() { replace_reporter(); }

    void replace_reporter() {
        reporters.clear();
        reporters.push_back(std::make_unique<reporting_host>(log, time, checker, liveness, "reporter", ++incarnation));
    }

    void record_usage(metering_host& host, const char* organisation, std::uint64_t tokens) {
        host.record_usage(organisation, tokens);
        expected_usage[organisation] += tokens;
    }

    static void attempt(const std::function<void()>& action) {
        try {
            action();
        } catch (const log_unavailable_error&) { // The next step tries again, as a control thread does.
        }
    }

    void step() {
        attempt([this] { first.flusher.flush(window_length); });
        attempt([this] { second.flusher.flush(window_length); });
        for (const auto& host : reporters) {
            attempt([&host] { host->reporter.tick(); });
        }
        time.advance(std::chrono::seconds(5));
    }

    testing::fake_log log;
    virtual_clock time;
    testing::billing_checker checker;
    testing::fake_liveness liveness;
    metering_host first{log, time, "host-1"};
    metering_host second{log, time, "host-2"};
    std::uint64_t incarnation{0};
    std::vector<std::unique_ptr<reporting_host>> reporters;
    std::map<std::string, std::uint64_t> expected_usage;
};

void run_with_usage(billing_session& session, int steps, const std::function<void(int)>& before_step) {
    for (int step = 0; step < steps; ++step) {
        before_step(step);
        if (step < 30) {
            session.record_usage(session.first, "rovers", 3);
            session.record_usage(session.second, step % 2 == 0 ? "rovers" : "surveyors", 5);
        }
        session.step();
    }
}

constexpr int session_steps = 120;
constexpr int fault_steps = 45;

} // namespace

TEST_CASE("under every fault at every step all usage is in exactly one report with the same numbers") {
    struct fault {
        const char* name;
        std::function<void(billing_session&)> inject;
    };
    const std::array<fault, 7> faults{{
        {"none", [](billing_session&) {}},
        {"reporter replaced", [](billing_session& session) { session.replace_reporter(); }},
        {"log answer lost", [](billing_session& session) { session.log.drops_next_answer = true; }},
        {"append takes effect late", [](billing_session& session) { session.log.delays_next_append = true; }},
        {"report lost", [](billing_session& session) { session.checker.loses_next_report = true; }},
        {"report answer lost", [](billing_session& session) { session.checker.drops_next_answer = true; }},
        {"report answer lost and reporter replaced",
         [](billing_session& session) {
             session.checker.drops_next_answer = true;
             session.step();
             session.replace_reporter();
         }},
    }};
    for (const fault& item : faults) {
        for (int fault_step = 0; fault_step < fault_steps; ++fault_step) {
            CAPTURE(item.name);
            CAPTURE(fault_step);
            billing_session session;
            run_with_usage(session, session_steps, [&](int step) {
                if (step == fault_step) {
                    item.inject(session);
                }
                if (step == fault_step + 3) {
                    session.log.deliver_delayed_appends();
                }
            });
            CHECK(session.checker.get_faults(session.expected_usage) == std::vector<std::string>{});
        }
    }
}

TEST_CASE("windows that end during an outage of the log are reported after it, with no usage lost or counted twice") {
    for (int begin = 0; begin < 30; ++begin) {
        CAPTURE(begin);
        billing_session session;
        run_with_usage(session, session_steps,
                       [&](int step) { session.log.is_down = step >= begin && step < begin + 25; });
        CHECK(session.checker.get_faults(session.expected_usage) == std::vector<std::string>{});
    }
}

TEST_CASE("concurrent and paused reporters never report different numbers") {
    billing_session session;
    session.reporters.push_back(
        std::make_unique<reporting_host>(session.log, session.time, session.checker, session.liveness, "other", 1));
    std::unique_ptr<reporting_host> paused;
    run_with_usage(session, session_steps, [&](int step) {
        if (step == 10) {
            paused = std::move(session.reporters.front());
            session.reporters.erase(session.reporters.begin());
        }
        if (step > 10 && step % 7 == 0) {
            billing_session::attempt([&] { paused->reporter.tick(); });
        }
    });
    CHECK(session.checker.get_faults(session.expected_usage) == std::vector<std::string>{});
}

TEST_CASE("usage that arrives after its window was closed is a late line of the next report") {
    billing_session session;
    session.record_usage(session.first, "rovers", 3);
    const usage_key closed{.organisation = organisation_name("rovers"), .window = 60};
    session.time.advance(window_length + std::chrono::seconds(3));
    session.step();
    session.first.meter.add(closed, {.requests = 1, .completion_tokens = 4});
    session.expected_usage["rovers"] += 4;
    run_with_usage(session, 60, [](int) {});
    CHECK(session.checker.get_faults(session.expected_usage) == std::vector<std::string>{});
    const boost::json::object& next = session.checker.get_reports().at(get_report_key(61));
    CHECK(boost::json::serialize(next).find("\"late_from\":60") != std::string::npos);
}

TEST_CASE("a terminated host does not delay its window, and reported counters are dropped") {
    billing_session session;
    session.record_usage(session.second, "rovers", 5);
    session.second.flusher.flush(window_length);
    session.liveness.gone.insert("host-2");
    session.time.advance(window_length);
    for (int round = 0; round < 6; ++round) {
        session.reporters.front()->reporter.tick();
    }
    CHECK(session.checker.get_faults(session.expected_usage) == std::vector<std::string>{});
    CHECK(session.reporters.front()->reporter.get_fold().get_size() == 0);
}

TEST_CASE("the number of stored counters does not grow with the number of windows") {
    billing_session session;
    run_with_usage(session, 600, [&](int) { session.record_usage(session.first, "rovers", 1); });
    run_with_usage(session, 60, [](int) {});
    CHECK(session.first.meter.get_all().size() <= 2);
    CHECK(session.reporters.front()->reporter.get_fold().get_size() <= 4);
}

TEST_CASE("the checker detects a duplicate, a missing and a changed report") {
    const std::map<std::string, std::uint64_t> expected_usage{{"rovers", 3}};
    const auto make_body = [](std::uint64_t tokens) {
        return encode_window_report({.window = 1,
                                     .lines = {{.organisation = organisation_name("rovers"),
                                                .late_from = {},
                                                .totals = {.completion_tokens = tokens}}}});
    };
    testing::billing_checker missing;
    CHECK_FALSE(missing.get_faults(expected_usage).empty());
    testing::billing_checker doubled;
    doubled.receive("usage-1", make_body(3), 1);
    CHECK(doubled.get_faults(expected_usage).empty());
    doubled.receive("usage-2", make_body(3), 1);
    CHECK_FALSE(doubled.get_faults(expected_usage).empty());
    testing::billing_checker changed;
    changed.receive("usage-1", make_body(3), 1);
    changed.receive("usage-1", make_body(4), 2);
    CHECK_FALSE(changed.get_faults(expected_usage).empty());
}
