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

struct counting_host {
    counting_host(testing::fake_log& log, const clock_source& time, const char* host)
        : stream(log, std::string(usage_stream), {.host = host, .incarnation = 1}), flusher(stream, time, meter),
          m_time(&time) {}

    void use(const char* organisation, std::uint64_t tokens) {
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

/// Two hosts that count and one or two that report, driven step by step.
struct billing_session {
    billing_session() { replace_reporter(); }

    void replace_reporter() {
        reporters.clear();
        reporters.push_back(std::make_unique<reporting_host>(log, time, checker, liveness, "reporter", ++incarnation));
    }

    void use(counting_host& host, const char* organisation, std::uint64_t tokens) {
        host.use(organisation, tokens);
        used[organisation] += tokens;
    }

    static void attempt(const std::function<void()>& action) {
        try {
            action();
        } catch (const log_unavailable_error&) { // The next round tries again, as a control thread does.
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
    counting_host first{log, time, "host-1"};
    counting_host second{log, time, "host-2"};
    std::uint64_t incarnation{0};
    std::vector<std::unique_ptr<reporting_host>> reporters;
    std::map<std::string, std::uint64_t> used;
};

void use_and_run(billing_session& session, int steps, const std::function<void(int)>& before_step) {
    for (int step = 0; step < steps; ++step) {
        before_step(step);
        if (step < 30) {
            session.use(session.first, "rovers", 3);
            session.use(session.second, step % 2 == 0 ? "rovers" : "surveyors", 5);
        }
        session.step();
    }
}

constexpr int whole_session = 120;
constexpr int fault_steps = 45;

} // namespace

TEST_CASE("every fault at every step leaves each use in exactly one report with one set of figures") {
    struct fault {
        const char* name;
        std::function<void(billing_session&)> strike;
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
        for (int struck = 0; struck < fault_steps; ++struck) {
            CAPTURE(item.name);
            CAPTURE(struck);
            billing_session session;
            use_and_run(session, whole_session, [&](int step) {
                if (step == struck) {
                    item.strike(session);
                }
                if (step == struck + 3) {
                    session.log.deliver_delayed_appends();
                }
            });
            CHECK(session.checker.get_faults(session.used) == std::vector<std::string>{});
        }
    }
}

TEST_CASE("windows that end during an outage are closed and reported after it, with nothing lost or doubled") {
    for (int begin = 0; begin < 30; ++begin) {
        CAPTURE(begin);
        billing_session session;
        use_and_run(session, whole_session,
                    [&](int step) { session.log.is_down = step >= begin && step < begin + 25; });
        CHECK(session.checker.get_faults(session.used) == std::vector<std::string>{});
    }
}

TEST_CASE("two reporters at once and a paused one never report other figures") {
    billing_session session;
    session.reporters.push_back(
        std::make_unique<reporting_host>(session.log, session.time, session.checker, session.liveness, "other", 1));
    std::unique_ptr<reporting_host> paused;
    use_and_run(session, whole_session, [&](int step) {
        if (step == 10) {
            paused = std::move(session.reporters.front());
            session.reporters.erase(session.reporters.begin());
        }
        if (step > 10 && step % 7 == 0) {
            billing_session::attempt([&] { paused->reporter.tick(); });
        }
    });
    CHECK(session.checker.get_faults(session.used) == std::vector<std::string>{});
}

TEST_CASE("use that comes after a host has closed its window is a late line of the next one") {
    billing_session session;
    session.use(session.first, "rovers", 3);
    const usage_key closed{.organisation = organisation_name("rovers"), .window = 60};
    session.time.advance(window_length + std::chrono::seconds(3));
    session.step();
    session.first.meter.add(closed, {.requests = 1, .completion_tokens = 4});
    session.used["rovers"] += 4;
    use_and_run(session, 60, [](int) {});
    CHECK(session.checker.get_faults(session.used) == std::vector<std::string>{});
    const boost::json::object& next = session.checker.get_reports().at(get_report_key(61));
    CHECK(boost::json::serialize(next).find("\"late_from\":60") != std::string::npos);
}

TEST_CASE("a host that is gone for good does not hold its window up, and reported counters are forgotten") {
    billing_session session;
    session.use(session.second, "rovers", 5);
    session.second.flusher.flush(window_length);
    session.liveness.gone.insert("host-2");
    session.time.advance(window_length);
    for (int round = 0; round < 6; ++round) {
        session.reporters.front()->reporter.tick();
    }
    CHECK(session.checker.get_faults(session.used) == std::vector<std::string>{});
    CHECK(session.reporters.front()->reporter.get_fold().get_size() == 0);
}

TEST_CASE("memory does not grow with the windows") {
    billing_session session;
    use_and_run(session, 600, [&](int) { session.use(session.first, "rovers", 1); });
    use_and_run(session, 60, [](int) {});
    CHECK(session.first.meter.get_all().size() <= 2);
    CHECK(session.reporters.front()->reporter.get_fold().get_size() <= 4);
}

TEST_CASE("the checker finds a doubled, a missing and a changed report") {
    const std::map<std::string, std::uint64_t> used{{"rovers", 3}};
    const auto make_body = [](std::uint64_t tokens) {
        return encode_window_report({.window = 1,
                                     .lines = {{.organisation = organisation_name("rovers"),
                                                .late_from = {},
                                                .figures = {.completion_tokens = tokens}}}});
    };
    testing::billing_checker missing;
    CHECK_FALSE(missing.get_faults(used).empty());
    testing::billing_checker doubled;
    doubled.receive("usage-1", make_body(3), 1);
    CHECK(doubled.get_faults(used).empty());
    doubled.receive("usage-2", make_body(3), 1);
    CHECK_FALSE(doubled.get_faults(used).empty());
    testing::billing_checker changed;
    changed.receive("usage-1", make_body(3), 1);
    changed.receive("usage-1", make_body(4), 2);
    CHECK_FALSE(changed.get_faults(used).empty());
}
