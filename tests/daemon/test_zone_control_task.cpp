#include <doctest/doctest.h>

#include <algorithm>
#include <boost/json.hpp>
#include <fmt/format.h>

#include "coordination/configuration.hpp"
#include "daemon/zone_control_task.hpp"
#include "standin/engine_standin.hpp"
#include "standin/platform_standin.hpp"
#include "support/running_standin.hpp"

using namespace dragonflywell;
using namespace dragonflywell::daemon;
using dragonflywell::testing::running_standin;

namespace {

const model_name model("m");

/// A zone with four engines and one candidate for its lease. Time advances only when a round runs.
class controlled_zone {
public:
    explicit controlled_zone(bool checks_fencing)
        : m_settings(parse_daemon_settings(
              fmt::format("[host]\nname = \"h1\"\nzone = \"a\"\n[listen]\ncallers = \"127.0.0.1:0\"\n"
                          "operators = \"127.0.0.1:0\"\n[platform]\nlog = \"{}\"\n[log]\nlevel = \"error\"\n",
                          format_endpoint(platform.get_endpoint())),
              "test.toml")) {
        fleet::manifest_entries entries{{"zones/a", R"({"region":"r"})"}, {"models/m", R"({"version":"1"})"}};
        for (std::size_t index = 0; index < 4; ++index) {
            engines.push_back(
                std::make_unique<running_standin<standin::engine_standin>>(standin::engine_standin_options{
                    .model = "m", .role = index < 2 ? "prefill" : "decode", .checks_fencing = checks_fencing}));
            entries[fmt::format("backend_servers/e{}", index)] =
                fmt::format(R"({{"zone":"a","address":"{}","model":"m","checks_fencing":{}}})",
                            format_endpoint(engines.back()->get_endpoint()), checks_fencing);
        }
        m_manifest.set(std::make_shared<servers::active_manifest>(1, fleet::parse_manifest(entries)));
    }

    /// Runs rounds of one second each, with one arrival of the given size per round.
    void run(int rounds, std::uint64_t prompt_tokens, std::uint64_t output_tokens) {
        for (int round = 0; round < rounds; ++round) {
            m_time.advance(std::chrono::seconds(1));
            fleet.demand.add_arrival({.organisation = organisation_name("o"), .model = model, .service = {}},
                                     prompt_tokens, 2 * output_tokens);
            task.run_round();
        }
    }

    [[nodiscard]] std::shared_ptr<const fleet_status> get_status() const { return fleet.status.get(); }

    [[nodiscard]] int count(fleet::engine_role role) const {
        const auto states = fleet.engines.get();
        return static_cast<int>(
            std::count_if(states->begin(), states->end(), [&](const auto& item) { return item.second.role == role; }));
    }

    running_standin<standin::platform_standin> platform;
    std::vector<std::unique_ptr<running_standin<standin::engine_standin>>> engines;
    shared_fleet_state fleet;

private:
    daemon_settings m_settings;
    virtual_clock m_time;
    metrics_registry m_metrics;
    rcu_cell<servers::active_manifest> m_manifest{nullptr};
    coordination::usage_meter m_usage;
    coordination::claim_queue m_claims;
    policy::cut_off_state m_cut_off;

public:
    zone_control_task task{{.settings = m_settings,
                            .time = m_time,
                            .self = {.host = "h1", .incarnation = 1},
                            .metrics = m_metrics,
                            .manifest = m_manifest,
                            .usage = m_usage,
                            .claims = m_claims,
                            .cut_off = m_cut_off,
                            .fleet = fleet}};
};

constexpr std::uint64_t heavy_prefill_tokens = 14000;
constexpr std::uint64_t light_prefill_tokens = 2000;
constexpr std::uint64_t heavy_output_tokens = 5500;
constexpr std::uint64_t light_output_tokens = 3000;

} // namespace

TEST_CASE("a demand shift changes the role of an engine with or without fencing, after the engine was drained") {
    for (const bool checks : {true, false}) {
        CAPTURE(checks);
        controlled_zone zone(checks);
        zone.run(30, heavy_prefill_tokens, light_output_tokens);
        CHECK(zone.get_status()->has_authority);
        CHECK(zone.count(fleet::engine_role::prefill) == 2);
        bool was_drained = false;
        for (int round = 0; round < 60; ++round) {
            zone.run(1, light_prefill_tokens, heavy_output_tokens);
            for (const auto& [name, state] : *zone.fleet.engines.get()) {
                was_drained = was_drained || (!state.takes_new_work && state.role == fleet::engine_role::prefill);
            }
        }
        CHECK(was_drained);
        CHECK(zone.count(fleet::engine_role::decode) == 3);
        CHECK(zone.get_status()->completed_changes >= 1);
        CHECK(zone.get_status()->unresolved_orders == 0);
        const std::string text = boost::json::serialize(encode_fleet_status(*zone.get_status()));
        CHECK(text.find("\"last_orders\":[{") != std::string::npos);
    }
}

TEST_CASE("while the log is down, no role change is ordered and the last known roles stay in use") {
    controlled_zone zone(true);
    zone.run(30, heavy_prefill_tokens, light_output_tokens);
    zone.platform.faults.set_plan({.kind = standin::fault_kind::refuse, .count = 1000000});
    zone.run(60, light_prefill_tokens, heavy_output_tokens);
    CHECK_FALSE(zone.get_status()->has_authority);
    CHECK_FALSE(zone.get_status()->is_log_reachable);
    CHECK(zone.get_status()->models.at(model).roles.reason == policy::role_reason::no_authority);
    CHECK(zone.count(fleet::engine_role::prefill) == 2);
    for (const auto& [name, state] : *zone.fleet.engines.get()) {
        CHECK(state.takes_new_work);
    }
    zone.platform.faults.set_plan({});
    zone.run(60, light_prefill_tokens, heavy_output_tokens);
    CHECK(zone.count(fleet::engine_role::decode) == 3);
}
