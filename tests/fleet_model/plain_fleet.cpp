#include "plain_fleet.hpp"

#include <algorithm>
#include <map>

#include "concurrency_limits.hpp"
#include "policy/expected_work_times.hpp"
#include "policy/server_speed_estimator.hpp"
#include "policy/service_placement.hpp"

namespace dragonflywell::testing {

namespace {

using namespace std::chrono_literals;

constexpr duration step = 1ms;
constexpr duration patience = 2s;
constexpr duration slow_interval = 600ms;
constexpr double in_time_factor = 4;
constexpr double short_work_ms = 100.0 / 1.8;
constexpr double long_factor = 5;
constexpr double long_share = 0.2;
/// Shape of the gamma distribution of the work of a kind: a variation of 0.5 of the mean.
constexpr double work_shape = 4;

struct request {
    std::size_t host{};
    std::size_t server{};
    std::uint64_t kind{};
    std::uint32_t in_flight{};
    std::uint64_t number{};
    steady_time sent_at{};
    double left_ms{};
    duration expected{};
};

double get_mean_ms(std::uint64_t kind) {
    return kind == 0 ? short_work_ms : short_work_ms * long_factor;
}

struct server_state {
    std::vector<request> requests;
    bool is_slowed{false};
};

struct host_state {
    policy::server_speed_estimator speeds;
    policy::expected_work_times times;
    std::vector<std::uint32_t> own;
    /// Requests of other hosts in flight, as last exchanged.
    std::vector<std::uint32_t> others;
};

class plain_fleet {
public:
    explicit plain_fleet(const plain_fleet_options& options)
        : m_options(options), m_random(options.seed), m_limits(options.method, options.servers),
          m_servers(options.servers.size()), m_hosts(options.hosts + options.joining_hosts),
          m_seconds(static_cast<std::size_t>(options.length / 1s) + 1) {
        for (host_state& host : m_hosts) {
            host.own.resize(m_servers.size());
            host.others.resize(m_servers.size());
        }
        for (std::size_t number = 0; number < m_servers.size(); ++number) {
            m_names.emplace_back("server-" + std::to_string(number));
        }
        for (plain_second& second : m_seconds) {
            second.sent.resize(m_servers.size());
        }
    }

    std::vector<plain_second> play() {
        std::exponential_distribution<double> gap(m_options.rate);
        double next_arrival = gap(m_random);
        for (; get_time() < m_options.length; m_now += step) {
            if (is_due(slow_interval)) {
                for (server_state& server : m_servers) {
                    server.is_slowed = std::bernoulli_distribution(m_options.slow_share)(m_random);
                }
            }
            if (is_due(m_options.load_interval)) {
                exchange_loads();
            }
            if (is_due(m_options.estimate_interval)) {
                exchange_estimates();
            }
            for (; next_arrival <= std::chrono::duration<double>(get_time()).count(); next_arrival += gap(m_random)) {
                send();
            }
            for (std::size_t server = 0; server < m_servers.size(); ++server) {
                work(server);
            }
        }
        return m_seconds;
    }

private:
    [[nodiscard]] duration get_time() const { return m_now - m_began_at; }
    [[nodiscard]] bool is_due(duration interval) const { return interval > 0ms && get_time() % interval < step; }
    [[nodiscard]] plain_second& get_second(const request& of) {
        return m_seconds[static_cast<std::size_t>((of.sent_at - m_began_at) / 1s)];
    }
    [[nodiscard]] std::size_t count_hosts() const {
        return get_time() < m_options.joining_at ? m_options.hosts : m_hosts.size();
    }

    void exchange_loads() {
        for (std::size_t server = 0; server < m_servers.size(); ++server) {
            std::uint32_t all = 0;
            for (const host_state& host : m_hosts) {
                all += host.own[server];
            }
            for (host_state& host : m_hosts) {
                host.others[server] = all - host.own[server];
            }
        }
    }

    void exchange_estimates() {
        for (std::size_t sender = 0; sender < count_hosts(); ++sender) {
            const auto sums = m_hosts[sender].speeds.get_own_sums(m_now);
            for (std::size_t receiver = 0; receiver < count_hosts(); ++receiver) {
                if (receiver != sender) {
                    m_hosts[receiver].speeds.merge(std::to_string(sender), sums, m_now);
                }
            }
        }
    }

    void send() {
        request incoming{.host = std::uniform_int_distribution<std::size_t>(0, count_hosts() - 1)(m_random),
                         .kind = std::bernoulli_distribution(long_share)(m_random) ? 1UL : 0UL,
                         .sent_at = m_now};
        const double mean = get_mean_ms(incoming.kind);
        incoming.left_ms = std::gamma_distribution<double>(work_shape, mean / work_shape)(m_random);
        host_state& host = m_hosts[incoming.host];
        host.speeds.refresh(m_now);
        std::vector<policy::service_candidate> candidates;
        for (std::size_t server = 0; server < m_servers.size(); ++server) {
            candidates.push_back(make_candidate(host, server));
        }
        // Equal instances are not always chosen in the order of their names by all hosts.
        std::rotate(candidates.begin(),
                    candidates.begin() + static_cast<std::ptrdiff_t>(incoming.host % candidates.size()),
                    candidates.end());
        const std::size_t chosen = *policy::choose_instance(candidates);
        incoming.server = (chosen + incoming.host) % m_servers.size();
        incoming.in_flight = host.own[incoming.server] + host.others[incoming.server] + 1;
        incoming.expected = host.times.get(incoming.kind);
        if (incoming.expected > 0ms) {
            const double load = static_cast<double>(incoming.in_flight) / m_options.servers[incoming.server].slots;
            incoming.number = host.speeds.start(m_names[incoming.server], incoming.expected, load, m_now);
        }
        ++host.own[incoming.server];
        plain_second& second = get_second(incoming);
        ++second.asked;
        ++second.sent[incoming.server];
        m_servers[incoming.server].requests.push_back(incoming);
    }

    [[nodiscard]] policy::service_candidate make_candidate(const host_state& host, std::size_t server) const {
        const std::uint32_t in_flight = host.own[server] + host.others[server];
        policy::service_candidate candidate{
            .server = m_names[server], .slots = m_options.servers[server].slots, .in_flight = in_flight};
        if (m_options.method == speed_method::least_squares) {
            candidate.speed =
                host.speeds.get_speed(m_names[server], static_cast<double>(in_flight + 1) / candidate.slots);
        } else if (m_options.method != speed_method::none) {
            candidate.in_flight = in_flight * 1000;
            candidate.slots = static_cast<std::uint32_t>(m_limits.get_limit(server) * 1000);
        }
        return candidate;
    }

    void work(std::size_t number) {
        const modelled_server& server = m_options.servers[number];
        std::vector<request>& requests = m_servers[number].requests;
        const std::size_t running = std::min<std::size_t>(requests.size(), server.slots);
        double speed = server.get_speed(get_time()) / (m_servers[number].is_slowed ? m_options.slow_factor : 1);
        if (static_cast<double>(running) > server.full_speed_requests) {
            speed *= server.full_speed_requests / static_cast<double>(running);
        }
        for (std::size_t index = 0; index < running; ++index) {
            requests[index].left_ms -= speed * std::chrono::duration<double, std::milli>(step).count();
        }
        std::erase_if(requests, [&](const request& item) {
            if (item.left_ms <= 0) {
                end(item, true);
                return true;
            }
            if (m_now - item.sent_at >= patience) {
                end(item, false);
                return true;
            }
            return false;
        });
    }

    void end(const request& ended, bool is_complete) {
        host_state& host = m_hosts[ended.host];
        --host.own[ended.server];
        const duration taken = m_now - ended.sent_at;
        const double milliseconds = std::chrono::duration<double, std::milli>(taken).count();
        plain_second& second = get_second(ended);
        second.milliseconds.push_back(milliseconds);
        second.in_time += is_complete && milliseconds <= in_time_factor * get_mean_ms(ended.kind) ? 1 : 0;
        if (ended.expected > 0ms) {
            is_complete ? host.speeds.finish(ended.number, m_now) : host.speeds.abandon(ended.number, m_now);
            m_limits.observe(ended.server, taken / std::chrono::duration<double, std::nano>(ended.expected),
                             ended.in_flight, m_now);
        }
        const double load = static_cast<double>(ended.in_flight) / m_options.servers[ended.server].slots;
        host.times.observe(ended.kind, taken, host.speeds.get_speed(m_names[ended.server], load));
    }

    plain_fleet_options m_options;
    std::mt19937_64 m_random;
    concurrency_limits m_limits;
    std::vector<server_state> m_servers;
    std::vector<backend_server_name> m_names;
    std::vector<host_state> m_hosts;
    std::vector<plain_second> m_seconds;
    const steady_time m_began_at{1h};
    steady_time m_now{m_began_at};
};

} // namespace

std::vector<plain_second> play_plain_fleet(const plain_fleet_options& options) {
    return plain_fleet(options).play();
}

plain_result summarise(const std::vector<plain_second>& seconds, std::size_t begin, std::size_t end) {
    plain_result result;
    std::vector<double> times;
    double asked = 0;
    for (std::size_t index = begin; index < end; ++index) {
        const plain_second& second = seconds[index];
        asked += static_cast<double>(second.asked);
        result.in_time_share += static_cast<double>(second.in_time);
        times.insert(times.end(), second.milliseconds.begin(), second.milliseconds.end());
        result.sent_shares.resize(second.sent.size());
        for (std::size_t server = 0; server < second.sent.size(); ++server) {
            result.sent_shares[server] += static_cast<double>(second.sent[server]);
        }
    }
    result.in_time_share /= asked;
    for (double& share : result.sent_shares) {
        share /= asked;
    }
    std::sort(times.begin(), times.end());
    result.percentile_99_ms = times.empty() ? 0 : times[times.size() * 99 / 100];
    return result;
}

} // namespace dragonflywell::testing
