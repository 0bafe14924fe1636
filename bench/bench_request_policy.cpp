// Compares the goodput of queueing and placement policies with that of simple baselines, on a small model of engines in
// virtual time.
#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <fmt/format.h>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <vector>

#include "policy/fair_queue.hpp"
#include "policy/placement.hpp"

namespace {

using namespace dragonflywell;

constexpr std::size_t engine_count = 12;
constexpr std::size_t daemon_count = 6;
constexpr std::size_t organisation_count = 8;
constexpr std::uint64_t capacity_tokens = 2000;
constexpr double first_token_deadline = 1.9;
constexpr double token_deadline = 0.046;
constexpr double prefill_token_seconds = 0.0002;
constexpr double decode_step_seconds = 0.020;
constexpr double decode_batch_seconds = 0.001;
constexpr double run_seconds = 240.0;
constexpr double swing_seconds = 60.0;
constexpr int seeds = 15;

enum class queueing { first_come, fair };
enum class placing { round_robin, min_reported, two_choices };

struct trial_options {
    queueing queue{};
    placing place{};
    double report_lag{};
};

struct trial_result {
    double goodput{};
    double worst_organisation{};
    double ttft_p50{};
    double ttft_p99{};
};

struct request {
    std::size_t organisation{};
    double arrived{};
    double first_token{-1.0};
    double finished{-1.0};
    policy::request_cost cost;
    std::size_t engine{};
};

struct engine_model {
    std::uint64_t tokens{0};
    std::size_t running{0};
    std::deque<std::size_t> waiting;
};

/// Simulates daemons, engines and callers. A daemon queues the requests that exceed its share of the capacity.
class trial {
public:
    trial(const trial_options& options, unsigned seed) : m_options(options), m_random(seed), m_daemons(daemon_count) {}

    trial_result run() {
        for (std::size_t organisation = 0; organisation < organisation_count; ++organisation) {
            schedule_arrival(organisation, 0.0);
        }
        schedule_report(0.0);
        while (!m_events.empty() && m_events.top().time < run_seconds) {
            const event next = m_events.top();
            m_events.pop();
            m_now = next.time;
            next.action();
        }
        return get_result();
    }

private:
    struct event {
        double time{};
        std::uint64_t order{};
        std::function<void()> action;
        friend bool operator<(const event& left, const event& right) {
            return std::pair(left.time, left.order) > std::pair(right.time, right.order);
        }
    };

    struct daemon_model {
        policy::fair_queue fair{0.05};
        std::deque<std::size_t> first_come;
        std::uint64_t admitted{0};
        std::array<std::int64_t, engine_count> reported_own{};
        std::array<std::int64_t, engine_count> own{};
        std::size_t turn{0};
    };

    void at(double time, std::function<void()> action) { m_events.push({time, m_order++, std::move(action)}); }

    double draw_gap(double rate) { return std::exponential_distribution<double>(rate)(m_random); }

    /// Schedules the next request of an organisation. In every other load swing, the first organisation sends five
    /// times its usual rate, and the prompts of all organisations are longer by half.
    void schedule_arrival(std::size_t organisation, double after) {
        const bool is_burst = static_cast<int>(after / swing_seconds) % 2 == 1;
        const double rate = organisation == 0 ? (is_burst ? 20.0 : 4.0) : 1.5;
        at(after + draw_gap(rate), [this, organisation, is_burst] {
            const double prompt = std::exponential_distribution<double>(1.0 / (is_burst ? 450.0 : 300.0))(m_random);
            const double output = std::exponential_distribution<double>(1.0 / 60.0)(m_random);
            m_requests.push_back(
                {.organisation = organisation,
                 .arrived = m_now,
                 .cost = {.prefill_tokens = static_cast<std::uint64_t>(prompt) + 1,
                          .decode_tokens = std::min<std::uint64_t>(500, static_cast<std::uint64_t>(output) + 1)}});
            enqueue(m_requests.size() - 1);
            schedule_arrival(organisation, m_now);
        });
    }

    void enqueue(std::size_t index) {
        const std::size_t daemon_index = index % daemon_count;
        daemon_model& daemon = m_daemons[daemon_index];
        const request& item = m_requests[index];
        if (m_options.queue == queueing::fair) {
            daemon.fair.push(index, organisation_name(std::to_string(item.organisation)), 1, item.cost);
        } else {
            daemon.first_come.push_back(index);
        }
        admit(daemon_index);
    }

    void admit(std::size_t daemon_index) {
        constexpr std::uint64_t part = capacity_tokens * engine_count / daemon_count;
        daemon_model& daemon = m_daemons[daemon_index];
        while (true) {
            std::optional<std::size_t> next;
            if (m_options.queue == queueing::fair) {
                next = daemon.fair.peek();
            } else if (!daemon.first_come.empty()) {
                next = daemon.first_come.front();
            }
            if (!next || (daemon.admitted != 0 && daemon.admitted + m_requests[*next].cost.get_tokens() > part)) {
                return;
            }
            if (m_options.queue == queueing::fair) {
                daemon.fair.serve(*next);
            } else {
                daemon.first_come.pop_front();
            }
            // A request that has waited past its deadline is dropped.
            if (m_now - m_requests[*next].arrived > first_token_deadline) {
                continue;
            }
            daemon.admitted += m_requests[*next].cost.get_tokens();
            place(daemon_index, *next);
        }
    }

    void place(std::size_t daemon_index, std::size_t index) {
        daemon_model& daemon = m_daemons[daemon_index];
        std::vector<policy::placement_candidate> candidates;
        std::vector<std::size_t> engines;
        for (std::size_t engine = 0; engine < engine_count; ++engine) {
            std::int64_t load = m_reported[engine];
            if (m_options.place == placing::two_choices) {
                load += daemon.own[engine] - daemon.reported_own[engine];
            }
            candidates.push_back({.load_tokens = static_cast<std::uint64_t>(std::max<std::int64_t>(0, load))});
            engines.push_back(engine);
        }
        std::size_t chosen = 0;
        if (m_options.place == placing::two_choices) {
            chosen = *m_two_choices.choose(candidates, m_random);
        } else if (m_options.place == placing::round_robin) {
            chosen = daemon.turn++ % engines.size();
        } else {
            const auto less = [](const auto& left, const auto& right) { return left.load_tokens < right.load_tokens; };
            chosen = static_cast<std::size_t>(std::min_element(candidates.begin(), candidates.end(), less) -
                                              candidates.begin());
        }
        const std::size_t engine = engines[chosen];
        m_requests[index].engine = engine;
        daemon.own[engine] += static_cast<std::int64_t>(m_requests[index].cost.get_tokens());
        m_engines[engine].waiting.push_back(index);
        start_work(engine);
    }

    void start_work(std::size_t engine) {
        engine_model& model = m_engines[engine];
        while (!model.waiting.empty()) {
            const std::size_t index = model.waiting.front();
            request& item = m_requests[index];
            if (model.tokens != 0 && model.tokens + item.cost.get_tokens() > capacity_tokens) {
                return;
            }
            model.waiting.pop_front();
            model.tokens += item.cost.get_tokens();
            ++model.running;
            const double first = m_now + prefill_token_seconds * static_cast<double>(item.cost.prefill_tokens) *
                                             static_cast<double>(model.running);
            const double step = decode_step_seconds + decode_batch_seconds * static_cast<double>(model.running);
            const double end = first + step * static_cast<double>(item.cost.decode_tokens);
            at(end, [this, index, engine, first] { finish(index, engine, first); });
        }
    }

    void finish(std::size_t index, std::size_t engine, double first) {
        request& item = m_requests[index];
        if (item.engine != engine) {
            return;
        }
        item.first_token = first;
        item.finished = m_now;
        m_engines[engine].tokens -= item.cost.get_tokens();
        --m_engines[engine].running;
        daemon_model& daemon = m_daemons[index % daemon_count];
        daemon.own[engine] -= static_cast<std::int64_t>(item.cost.get_tokens());
        daemon.admitted -= item.cost.get_tokens();
        start_work(engine);
        admit(index % daemon_count);
    }

    void schedule_report(double time) {
        at(time, [this, time] {
            for (std::size_t engine = 0; engine < engine_count; ++engine) {
                std::int64_t load = static_cast<std::int64_t>(m_engines[engine].tokens);
                for (const std::size_t index : m_engines[engine].waiting) {
                    load += static_cast<std::int64_t>(m_requests[index].cost.get_tokens());
                }
                std::array<std::int64_t, daemon_count> own{};
                for (std::size_t daemon_index = 0; daemon_index < daemon_count; ++daemon_index) {
                    own[daemon_index] = m_daemons[daemon_index].own[engine];
                }
                at(time + m_options.report_lag, [this, engine, load, own] {
                    m_reported[engine] = load;
                    for (std::size_t daemon_index = 0; daemon_index < daemon_count; ++daemon_index) {
                        m_daemons[daemon_index].reported_own[engine] = own[daemon_index];
                    }
                });
            }
            schedule_report(time + 0.5);
        });
    }

    [[nodiscard]] trial_result get_result() const {
        std::array<double, organisation_count> good{};
        std::array<double, organisation_count> all{};
        std::vector<double> waits;
        for (const request& item : m_requests) {
            if (item.arrived > run_seconds - 30.0) {
                continue;
            }
            all[item.organisation] += 1.0;
            if (item.finished < 0) {
                continue;
            }
            const double wait = item.first_token - item.arrived;
            const double per_token = (item.finished - item.first_token) / static_cast<double>(item.cost.decode_tokens);
            waits.push_back(wait);
            good[item.organisation] += wait <= first_token_deadline && per_token <= token_deadline ? 1.0 : 0.0;
        }
        trial_result result{.worst_organisation = 1.0};
        double total_good = 0.0;
        double total = 0.0;
        for (std::size_t organisation = 0; organisation < organisation_count; ++organisation) {
            total_good += good[organisation];
            total += all[organisation];
            result.worst_organisation = std::min(result.worst_organisation, good[organisation] / all[organisation]);
        }
        result.goodput = total_good / total;
        std::sort(waits.begin(), waits.end());
        result.ttft_p50 = waits[waits.size() / 2];
        result.ttft_p99 = waits[waits.size() * 99 / 100];
        return result;
    }

    trial_options m_options;
    std::mt19937_64 m_random;
    double m_now{0.0};
    std::uint64_t m_order{0};
    std::priority_queue<event> m_events;
    std::vector<request> m_requests;
    std::vector<daemon_model> m_daemons;
    std::array<engine_model, engine_count> m_engines{};
    std::array<std::int64_t, engine_count> m_reported{};
    policy::two_choice_placement m_two_choices;
};

std::string get_spread(std::vector<double> values, double scale) {
    std::sort(values.begin(), values.end());
    return fmt::format("{:.1f} ({:.1f}-{:.1f})", values[values.size() / 2] * scale, values.front() * scale,
                       values.back() * scale);
}

void print_row(const std::string& name, const trial_options& options) {
    std::vector<double> goodput;
    std::vector<double> worst;
    std::vector<double> median;
    std::vector<double> tail;
    for (int seed = 1; seed <= seeds; ++seed) {
        const trial_result result = trial(options, static_cast<unsigned>(seed)).run();
        goodput.push_back(result.goodput);
        worst.push_back(result.worst_organisation);
        median.push_back(result.ttft_p50);
        tail.push_back(result.ttft_p99);
    }
    fmt::print("| {} | {} | {} | {} | {} | {} |\n", name, options.report_lag, get_spread(goodput, 100.0),
               get_spread(worst, 100.0), get_spread(median, 1000.0), get_spread(tail, 1000.0));
}

} // namespace

int main() {
    for (const double lag : {0.0, 2.0, 5.0}) {
        print_row("first come, round robin", {queueing::first_come, placing::round_robin, lag});
        print_row("first come, least reported", {queueing::first_come, placing::min_reported, lag});
        print_row("first come, two choices", {queueing::first_come, placing::two_choices, lag});
        print_row("fair, round robin", {queueing::fair, placing::round_robin, lag});
        print_row("fair, two choices", {queueing::fair, placing::two_choices, lag});
    }
}
