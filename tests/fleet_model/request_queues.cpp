#include "fleet_model/request_queues.hpp"

#include <algorithm>

namespace dragonflywell::fleet_model {

namespace {

constexpr double least_units = 1e-9;

} // namespace

request_queues::request_queues(const deployment& fleet)
    : m_fleet(fleet), m_organisations(fleet.organisation_share.size()) {}

void request_queues::step(std::span<const policy::role_demand> arrivals, const policy::role_capacity& capacity) {
    admit(arrivals, capacity);
    double prefill_waiting = 0;
    double decode_waiting = 0;
    for (const organisation_queues& queues : m_organisations) {
        prefill_waiting += queues.prefill.own;
        decode_waiting += queues.decode.own;
    }
    const double prefill_over = std::max(0.0, prefill_waiting - capacity.prefill);
    const double decode_over = std::max(0.0, decode_waiting - capacity.decode);
    const double prefill_part = prefill_over / std::max(least_units, prefill_over + decode_over);
    std::vector<double> prefill_wanted;
    std::vector<double> decode_wanted;
    for (const organisation_queues& queues : m_organisations) {
        prefill_wanted.push_back(queues.prefill.own);
        decode_wanted.push_back(queues.decode.own);
    }
    const std::vector<double> prefill_done =
        share_out(capacity.prefill + capacity.mixed * prefill_part, prefill_wanted);
    const std::vector<double> decode_done =
        share_out(capacity.decode + capacity.mixed * (1 - prefill_part), decode_wanted);
    for (std::size_t index = 0; index < m_organisations.size(); ++index) {
        organisation_queues& queues = m_organisations[index];
        const double decode_share = decode_done[index] / std::max(least_units, queues.decode.own);
        queues.served += queues.decode.whole * decode_share;
        queues.decode.whole -= queues.decode.whole * decode_share;
        queues.decode.own -= decode_done[index];
        const double prefill_share = prefill_done[index] / std::max(least_units, queues.prefill.own);
        queues.decode.own += queues.prefill.next * prefill_share;
        queues.decode.whole += queues.prefill.whole * prefill_share;
        queues.prefill.next -= queues.prefill.next * prefill_share;
        queues.prefill.whole -= queues.prefill.whole * prefill_share;
        queues.prefill.own -= prefill_done[index];
    }
}

void request_queues::admit(std::span<const policy::role_demand> arrivals, const policy::role_capacity& capacity) {
    double prefill_asked = 0;
    double decode_asked = 0;
    for (const policy::role_demand& arrival : arrivals) {
        prefill_asked += arrival.prefill;
        decode_asked += arrival.decode;
    }
    const double prefill_limit =
        (capacity.prefill + capacity.mixed * prefill_asked / std::max(least_units, prefill_asked + decode_asked)) *
        m_fleet.prefill_patience_seconds;
    const double decode_limit =
        (capacity.decode + capacity.mixed * decode_asked / std::max(least_units, prefill_asked + decode_asked)) *
        m_fleet.decode_patience_seconds;
    for (std::size_t index = 0; index < m_organisations.size(); ++index) {
        organisation_queues& queues = m_organisations[index];
        const policy::role_demand& arrival = arrivals[index];
        const double whole = arrival.prefill + arrival.decode;
        queues.offered += whole;
        const double prefill_room =
            prefill_limit * m_fleet.organisation_share[index] + arrival.prefill - queues.prefill.own;
        const double decode_room =
            decode_limit * m_fleet.organisation_share[index] + arrival.decode - queues.decode.own - queues.prefill.next;
        const double part = std::clamp(std::min(prefill_room / std::max(least_units, arrival.prefill),
                                                decode_room / std::max(least_units, arrival.decode)),
                                       0.0, 1.0);
        queues.prefill.own += arrival.prefill * part;
        queues.prefill.next += arrival.decode * part;
        queues.prefill.whole += whole * part;
        // Capacity that left since the admission makes waiting requests late; they are lost.
        const double late_limit = 2 * decode_limit * m_fleet.organisation_share[index] + arrival.decode;
        if (queues.decode.own > late_limit) {
            queues.decode.whole *= late_limit / queues.decode.own;
            queues.decode.own = late_limit;
        }
    }
}

std::vector<double> request_queues::share_out(double capacity, const std::vector<double>& wanted) const {
    std::vector<double> given(wanted.size(), 0.0);
    for (std::size_t round = 0; round < wanted.size() && capacity > least_units; ++round) {
        double shares = 0;
        for (std::size_t index = 0; index < wanted.size(); ++index) {
            shares += wanted[index] - given[index] > least_units ? m_fleet.organisation_share[index] : 0;
        }
        if (shares <= 0) {
            break;
        }
        double used = 0;
        for (std::size_t index = 0; index < wanted.size(); ++index) {
            const double open = wanted[index] - given[index];
            if (open > least_units) {
                const double part = std::min(open, capacity * m_fleet.organisation_share[index] / shares);
                given[index] += part;
                used += part;
            }
        }
        capacity -= used;
    }
    return given;
}

double request_queues::get_served_units() const {
    double served = 0;
    for (const organisation_queues& queues : m_organisations) {
        served += queues.served;
    }
    return served;
}

double request_queues::get_goodput() const {
    double offered = 0;
    for (const organisation_queues& queues : m_organisations) {
        offered += queues.offered;
    }
    return get_served_units() / std::max(least_units, offered);
}

double request_queues::get_worst_goodput() const {
    double worst = 1;
    for (const organisation_queues& queues : m_organisations) {
        worst = std::min(worst, queues.served / std::max(least_units, queues.offered));
    }
    return worst;
}

} // namespace dragonflywell::fleet_model
