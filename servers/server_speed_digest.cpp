#include "servers/server_speed_digest.hpp"

#include <boost/json/array.hpp>
#include <cmath>
#include <vector>

#include "core/error.hpp"
#include "core/json.hpp"
#include "servers/digest_items.hpp"
#include "servers/serving_state.hpp"

namespace dragonflywell::servers {

namespace {

using boost::json::array;
using boost::json::object;

/// Sums are sent in hundredths.
constexpr double hundredths = 100;
/// Sums of less than this weight are not sent.
constexpr double min_sent_weight = 0.25;
/// Bounds of what another host may report: observations within the memory time, and the mean of each sum.
constexpr double max_weight = 1e5;
constexpr double max_mean = 5;

std::int64_t to_hundredths(double value) {
    return std::llround(value * hundredths);
}

double get_sum(const array& encoded, std::size_t index) {
    if (index >= encoded.size()) {
        throw malformed_message_error("speed of a server in host digest is incomplete");
    }
    return json::to_number(encoded[index], "speed of a server in host digest") / hundredths;
}

} // namespace

object encode_speeds(const digest_speeds& speeds) {
    object encoded;
    for (const auto& [server, sums] : speeds) {
        encoded[server.value()] =
            array{to_hundredths(sums.weight), to_hundredths(sums.load), to_hundredths(sums.squared_load),
                  to_hundredths(sums.slowness), to_hundredths(sums.slowness_by_load)};
    }
    return encoded;
}

digest_speeds decode_speeds(const object& encoded) {
    digest_speeds speeds;
    for (const auto& item : encoded) {
        const array& fields = require_list(item.value());
        policy::speed_sums sums;
        std::size_t index = 0;
        for (double* sum : {&sums.weight, &sums.load, &sums.squared_load, &sums.slowness, &sums.slowness_by_load}) {
            *sum = get_sum(fields, index++);
            // Also refuses what is not a number.
            if (!(std::abs(*sum) <= max_mean * sums.weight) || !(sums.weight <= max_weight)) {
                throw malformed_message_error("speed of a server in host digest is out of range");
            }
        }
        if (sums.load < 0 || sums.squared_load < 0) {
            throw malformed_message_error("load of a server in host digest is negative");
        }
        speeds.emplace(backend_server_name(std::string_view(item.key())), sums);
    }
    return speeds;
}

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
