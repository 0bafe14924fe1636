#include <doctest/doctest.h>

#include "ctl/report_page.hpp"

using namespace dragonflywell;
using namespace dragonflywell::ctl;

namespace {

fleet::service_history::series make_series(std::uint64_t lost_more_each_hour) {
    fleet::service_history::series spans;
    for (std::uint64_t hour = 0; hour < 60; ++hour) {
        fleet::service_counts& counts = spans[hour * 3600];
        const std::uint64_t lost = hour * lost_more_each_hour;
        counts.organisations[organisation_name("rovers & <co>")] = {.requested = 5000, .completed = 5000 - lost};
        counts.organisations[organisation_name("yard")] = {.requested = 5000, .completed = 4990};
        counts.refusals["queue_full"] = lost;
        counts.delivered_tokens = 1000000;
        counts.spend_milli = 2000;
    }
    return spans;
}

} // namespace

TEST_CASE("the report shows a slow decline and does not report one for a steady service") {
    const std::string falling = make_report_page(make_series(3), 3600);
    CHECK(falling.find("Slow decline found.") != std::string::npos);
    CHECK(falling.find("Goodput — declining") != std::string::npos);
    CHECK(falling.find("queue_full") != std::string::npos);
    const std::string steady = make_report_page(make_series(0), 3600);
    CHECK(steady.find("No slow decline found") != std::string::npos);
    CHECK(steady.find("declining") == std::string::npos);
}

TEST_CASE("the page refers to no other file, and names are escaped") {
    const std::string page = make_report_page(make_series(1), 3600);
    CHECK(page.find("http") == std::string::npos);
    CHECK(page.find("<script") == std::string::npos);
    CHECK(page.find("<svg") != std::string::npos);
    CHECK(page.find("<co>") == std::string::npos);
    CHECK(page.find("rovers &amp; &lt;co&gt;") != std::string::npos);
    CHECK(page.find("nan") == std::string::npos);
}

TEST_CASE("a single span makes a page that states that it is too short to detect a trend") {
    fleet::service_history::series one;
    one[0] = {};
    CHECK(make_report_page(one, 300).find("Too short a time") != std::string::npos);
}
