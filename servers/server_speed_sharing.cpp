#include "servers/server_speed_sharing.hpp"

#include <algorithm>
#include <map>

#include "servers/serving_state.hpp"

namespace dragonflywell::servers {

namespace {

/// Sums of less than this weight are not sent.
constexpr double min_sent_weight = 0.25;

} // namespace

digest_speeds speed_announcer::take(serving_state& state) {
    const steady_time now = state.time.now();
    digest_speeds known;
    for_each_speed_estimator(state, [&](policy::server_speed_estimator& estimator) {
        for (auto& [server, sums] : estimator.get_own_sums(now)) {
            if (sums.weight >= min_sent_weight && find_speed_estimator(state, server) == &estimator) {
                known.emplace(server, sums);
            }
        }
    });
    digest_speeds chosen;
    auto next = known.upper_bound(m_last);
    while (chosen.size() < std::min(max_servers, known.size())) {
        if (next == known.end()) {
            next = known.begin();
        }
        m_last = next->first;
        chosen.insert(*next++);
    }
    return chosen;
}

void for_each_speed_estimator(serving_state& state, const std::function<void(policy::server_speed_estimator&)>& use) {
    for (auto& [service, speeds] : state.speeds) {
        use(speeds.estimator);
    }
    for (auto& [service, engines] : state.get_engines()) {
        use(engines.speeds.get(fleet::engine_stage::prefill));
        use(engines.speeds.get(fleet::engine_stage::decode));
    }
}

policy::server_speed_estimator* find_speed_estimator(serving_state& state, const backend_server_name& server) {
    const fleet::listed_server* listed = state.eligibility.get_list().find(server);
    if (!state.options.learns_server_speeds || listed == nullptr) {
        return nullptr;
    }
    service_engines* engines = state.find_engines(listed->record.service);
    if (engines != nullptr && listed->record.stage) {
        return &engines->speeds.get(*listed->record.stage);
    }
    return engines == nullptr ? &state.speeds[listed->record.service].estimator : nullptr;
}

void merge_speeds(serving_state& state, const std::string& host, const digest_speeds& speeds, duration delay) {
    std::map<policy::server_speed_estimator*, digest_speeds> by_estimator;
    for (const auto& [server, sums] : speeds) {
        if (policy::server_speed_estimator* estimator = find_speed_estimator(state, server); estimator != nullptr) {
            by_estimator[estimator].emplace(server, sums);
        }
    }
    for (const auto& [estimator, known] : by_estimator) {
        estimator->merge(host, known, state.time.now() - delay);
    }
}

} // namespace dragonflywell::servers
