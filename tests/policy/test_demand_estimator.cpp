#include <doctest/doctest.h>

#include "policy/demand_estimator.hpp"

using namespace dragonflywell;
using namespace dragonflywell::policy;

namespace {

const model_name model("m");
constexpr std::chrono::seconds bucket{5};
constexpr std::uint64_t usual_tokens = 5000;

wall_time at(int second) {
    return wall_time(std::chrono::seconds(1000 + second));
}

demand_report make_report(const char* host, int start, std::uint64_t tokens, std::uint64_t incarnation = 1) {
    return {.host = host_name(host),
            .incarnation = incarnation,
            .start = at(start),
            .length = bucket,
            .rows = {{.key = {.organisation = organisation_name("rovers"), .model = model, .service = {}},
                      .arrivals = 5,
                      .prompt_tokens = tokens,
                      .output_tokens = tokens}}};
}

/// Feeds identical reports of two hosts; returns `to`, the second that was reached.
int feed(demand_estimator& estimator, int from, int to) {
    for (int start = from; start < to; start += 5) {
        estimator.add(make_report("h1", start, usual_tokens), at(start + 5));
        estimator.add(make_report("h2", start, usual_tokens), at(start + 5));
        estimator.advance(at(start + 7));
    }
    return to;
}

double get_prompt_rate(const demand_estimator& estimator) {
    return estimator.forecast(model, duration::zero()).rate.prompt_tokens;
}

} // namespace

TEST_CASE("the demand of all hosts is summed, and a repeated report counts once") {
    demand_estimator estimator({});
    feed(estimator, 0, 60);
    CHECK(get_prompt_rate(estimator) == doctest::Approx(2000));
    CHECK(estimator.forecast(model, duration::zero()).freshness == demand_freshness::fresh);
    estimator.add(make_report("h1", 60, usual_tokens), at(65));
    estimator.add(make_report("h1", 60, usual_tokens), at(65));
    estimator.add(make_report("h2", 60, usual_tokens), at(65));
    estimator.advance(at(68));
    CHECK(get_prompt_rate(estimator) == doctest::Approx(2000));
    CHECK(estimator.get_by_organisation(model).at(organisation_name("rovers")).prompt_tokens == doctest::Approx(2000));
}

TEST_CASE("the last rate of a late host is used until it expires") {
    demand_estimator estimator({});
    int now = feed(estimator, 0, 60);
    estimator.add(make_report("h1", now, usual_tokens), at(now + 5));
    estimator.advance(at(now + 7));
    CHECK(get_prompt_rate(estimator) == doctest::Approx(2000));
    CHECK(estimator.forecast(model, duration::zero()).freshness == demand_freshness::partial);
    for (int start = now + 5; start < now + 60; start += 5) {
        estimator.add(make_report("h1", start, 2 * usual_tokens), at(start + 5));
        estimator.advance(at(start + 7));
    }
    CHECK(estimator.forecast(model, duration::zero()).freshness == demand_freshness::fresh);
    CHECK(get_prompt_rate(estimator) == doctest::Approx(2000).epsilon(0.05));
}

TEST_CASE("without reports, the estimate becomes stale") {
    demand_estimator estimator({});
    CHECK(estimator.forecast(model, duration::zero()).freshness == demand_freshness::stale);
    const int now = feed(estimator, 0, 60);
    estimator.advance(at(now + 60));
    CHECK(estimator.forecast(model, duration::zero()).freshness == demand_freshness::stale);
}

TEST_CASE("an estimate that is mostly assumed is stale") {
    demand_estimator estimator({});
    for (int start = 0; start < 60; start += 5) {
        for (const char* host : {"h1", "h2", "h3"}) {
            estimator.add(make_report(host, start, usual_tokens), at(start + 5));
        }
        estimator.advance(at(start + 7));
    }
    estimator.add(make_report("h1", 60, usual_tokens), at(65));
    estimator.advance(at(68));
    CHECK(estimator.forecast(model, duration::zero()).freshness == demand_freshness::stale);
}

TEST_CASE("the estimator waits longer if all reports lag") {
    demand_estimator estimator({});
    constexpr int lag = 14;
    for (int second = 0; second < 120; ++second) {
        if (second % 5 == 0 && second >= 5 + lag) {
            estimator.add(make_report("h1", second - 5 - lag, usual_tokens), at(second));
        }
        estimator.advance(at(second));
    }
    CHECK(get_prompt_rate(estimator) == doctest::Approx(1000));
    CHECK(estimator.forecast(model, duration::zero()).freshness == demand_freshness::fresh);
}

TEST_CASE("a single outlier is ignored, and accepted if the next report confirms it") {
    demand_estimator estimator({});
    const int now = feed(estimator, 0, 60);
    estimator.add(make_report("h1", now, 100 * usual_tokens), at(now + 5));
    estimator.add(make_report("h2", now, usual_tokens), at(now + 5));
    estimator.advance(at(now + 7));
    CHECK(get_prompt_rate(estimator) == doctest::Approx(2000));
    estimator.add(make_report("h1", now + 5, 100 * usual_tokens), at(now + 10));
    estimator.add(make_report("h2", now + 5, usual_tokens), at(now + 10));
    estimator.advance(at(now + 12));
    CHECK(get_prompt_rate(estimator) > 20000);
}

TEST_CASE("a steady growth is extrapolated with damping: by at least one bucket's growth, at most linearly") {
    constexpr double growth_per_second = 20;
    demand_estimator estimator({});
    for (int start = 0; start < 120; start += 5) {
        estimator.add(make_report("h1", start, usual_tokens + 100 * static_cast<std::uint64_t>(start)), at(start + 5));
        estimator.advance(at(start + 7));
    }
    const double now = get_prompt_rate(estimator);
    const double ahead = estimator.forecast(model, std::chrono::seconds(45)).rate.prompt_tokens;
    CHECK(ahead >= now + growth_per_second * 5);
    CHECK(ahead <= now + growth_per_second * 45);
}

TEST_CASE("reports of an earlier incarnation of a host are ignored") {
    demand_estimator estimator({});
    estimator.add(make_report("h1", 0, usual_tokens, 2), at(5));
    estimator.add(make_report("h1", 0, 50 * usual_tokens, 1), at(5));
    estimator.advance(at(8));
    CHECK(get_prompt_rate(estimator) == doctest::Approx(1000));
}
