#include "fleet_model/request_queues.hpp"

#include <algorithm>

namespace dragonflywell::fleet_model {

namespace {

constexpr double min_units = 1e-9;

} // namespace

request_queues::request_queues(const deployment& fleet)
    : m_fleet(fleet), m_organisations(fleet.organisation_share.size()) {}

void request_queues::step(std::span<const policy::role_demand> arrivals, const policy::role_capacity& capacity) {
    admit(arrivals, capacity);
    double prefill_waiting = 0;
    double decode_waiting = 0;
    for (const organisation_queues& queues : m_organisations) {
        prefill_waiting += queues.prefill.phase_units;
        decode_waiting += queues.decode.phase_units;
    }
    const double prefill_over = std::max(0.0, prefill_waiting - capacity.prefill);
    const double decode_over = std::max(0.0, decode_waiting - capacity.decode);
    const double prefill_part = prefill_over / std::max(min_units, prefill_over + decode_over);
    std::vector<double> prefill_wanted;
    std::vector<double> decode_wanted;
    for (const organisation_queues& queues : m_organisations) {
        prefill_wanted.push_back(queues.prefill.phase_units);
        decode_wanted.push_back(queues.decode.phase_units);
    }
    const std::vector<double> prefill_done =
        divide_capacity(capacity.prefill + capacity.mixed * prefill_part, prefill_wanted);
    const std::vector<double> decode_done =
        divide_capacity(capacity.decode + capacity.mixed * (1 - prefill_part), decode_wanted);
    for (std::size_t index = 0; index < m_organisations.size(); ++index) {
        organisation_queues& queues = m_organisations[index];
        const double decode_share = decode_done[index] / std::max(min_units, queues.decode.phase_units);
        queues.served += queues.decode.request_units * decode_share;
        queues.decode.request_units -= queues.decode.request_units * decode_share;
        queues.decode.phase_units -= decode_done[index];
        const double prefill_share = prefill_done[index] / std::max(min_units, queues.prefill.phase_units);
        queues.decode.phase_units += queues.prefill.decode_units * prefill_share;
        queues.decode.request_units += queues.prefill.request_units * prefill_share;
        queues.prefill.decode_units -= queues.prefill.decode_units * prefill_share;
        queues.prefill.request_units -= queues.prefill.request_units * prefill_share;
        queues.prefill.phase_units -= prefill_done[index];
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
        (capacity.prefill + capacity.mixed * prefill_asked / std::max(min_units, prefill_asked + decode_asked)) *
        m_fleet.max_prefill_wait_seconds;
    const double decode_limit =
        (capacity.decode + capacity.mixed * decode_asked / std::max(min_units, prefill_asked + decode_asked)) *
        m_fleet.max_decode_wait_seconds;
    for (std::size_t index = 0; index < m_organisations.size(); ++index) {
        organisation_queues& queues = m_organisations[index];
        const policy::role_demand& arrival = arrivals[index];
        const double request_units = arrival.prefill + arrival.decode;
        queues.offered += request_units;
        const double prefill_room =
            prefill_limit * m_fleet.organisation_share[index] + arrival.prefill - queues.prefill.phase_units;
        const double decode_room = decode_limit * m_fleet.organisation_share[index] + arrival.decode -
                                   queues.decode.phase_units - queues.prefill.decode_units;
        const double part = std::clamp(std::min(prefill_room / std::max(min_units, arrival.prefill),
                                                decode_room / std::max(min_units, arrival.decode)),
                                       0.0, 1.0);
        queues.prefill.phase_units += arrival.prefill * part;
        queues.prefill.decode_units += arrival.decode * part;
        queues.prefill.request_units += request_units * part;
        // If the capacity has shrunk since the admission, requests that wait for too long are lost.
        const double late_limit = 2 * decode_limit * m_fleet.organisation_share[index] + arrival.decode;
        if (queues.decode.phase_units > late_limit) {
            queues.decode.request_units *= late_limit / queues.decode.phase_units;
            queues.decode.phase_units = late_limit;
        }
    }
}

std::vector<double> request_queues::divide_capacity(double capacity, const std::vector<double>& wanted) const {
    std::vector<double> given(wanted.size(), 0.0);
    for (std::size_t round = 0; round < wanted.size() && capacity > min_units; ++round) {
        double shares = 0;
        for (std::size_t index = 0; index < wanted.size(); ++index) {
            shares += wanted[index] - given[index] > min_units ? m_fleet.organisation_share[index] : 0;
        }
        if (shares <= 0) {
            break;
        }
        double used = 0;
        for (std::size_t index = 0; index < wanted.size(); ++index) {
            const double missing = wanted[index] - given[index];
            if (missing > min_units) {
                const double part = std::min(missing, capacity * m_fleet.organisation_share[index] / shares);
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
    return get_served_units() / std::max(min_units, offered);
}

double request_queues::get_worst_goodput() const {
    double worst = 1;
    for (const organisation_queues& queues : m_organisations) {
        worst = std::min(worst, queues.served / std::max(min_units, queues.offered));
    }
    return worst;
}

} // namespace dragonflywell::fleet_model
