#include "servers/server_speed_digest.hpp"

#include <boost/json/array.hpp>
#include <cmath>

#include "core/error.hpp"
#include "core/json.hpp"
#include "servers/digest_items.hpp"

namespace dragonflywell::servers {

namespace {

using boost::json::array;
using boost::json::object;

/// Sums are sent in hundredths.
constexpr double hundredths = 100;
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

} // namespace dragonflywell::servers
