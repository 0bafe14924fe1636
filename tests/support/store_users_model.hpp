#pragma once

#include <algorithm>
#include <array>
#include <cstdint>
#include <optional>
#include <random>
#include <vector>

#include "core/clock.hpp"
#include "policy/circuit_breaker.hpp"
#include "policy/wait_queue.hpp"

namespace dragonflywell::testing {

/// What happens to calls during a network fault on the path to the store.
enum class network_fault : std::uint8_t {
    /// No call gets a response before its timeout.
    silent,
    /// Each call is refused at once.
    refused,
    /// Each call is refused or times out, at random.
    mixed,
    /// Calls time out; after the recovery responses are slow.
    slow,
    /// Calls time out; after the recovery some calls are lost.
    lossy,
};

struct store_users_options {
    network_fault fault{network_fault::silent};
    duration call_limit{std::chrono::milliseconds(700)};
    policy::circuit_breaker_options breaker{};
    /// Whether each user needs a second call, such as a listing, before it can use what it reads.
    bool needs_two_calls{false};
};

struct store_users_result {
    /// Time from the recovery of the path until each user has its data.
    duration recovery_time{};
    /// Number of calls during the fault, and the length of the fault.
    std::uint64_t calls_during_fault{};
    duration fault{};
};

/// Simulates, in virtual time, the users of one store that share its circuit breaker and wait queue. The path fails
/// once, for a random time.
class store_users_model {
public:
    store_users_model(std::uint64_t seed, store_users_options options) : m_random(seed), m_options(options) {
        for (std::size_t number = 0; number < users; ++number) {
            m_users.push_back({.period = draw(250, 1500), .next_at = m_clock.now() + draw(0, 1500)});
        }
        m_failed_at = m_clock.now() + draw(2000, 4000);
        m_recovered_at = m_failed_at + draw(500, 15000);
    }

    [[nodiscard]] store_users_result run() {
        const steady_time end = m_recovered_at + std::chrono::seconds(20);
        while (m_clock.now() < end && !has_recovered()) {
            for (user& one : m_users) {
                step(one);
            }
            m_clock.advance(std::chrono::milliseconds(1));
        }
        return {.recovery_time = m_clock.now() - m_recovered_at,
                .calls_during_fault = m_calls_during_fault,
                .fault = m_recovered_at - m_failed_at};
    }

private:
    static constexpr std::size_t users = 5;
    static constexpr duration answer_time = std::chrono::milliseconds(6);
    static constexpr duration slow_answer_time = std::chrono::milliseconds(250);
    static constexpr double lossy_share = 0.1;

    struct user {
        duration period{};
        steady_time next_at{};
        std::optional<policy::wait_queue::ticket> turn;
        std::optional<steady_time> sent_at;
        steady_time ends_at{};
        bool will_be_answered{false};
        int responses_since_recovery{0};
    };

    [[nodiscard]] duration draw(int min_ms, int max_ms) {
        return std::chrono::milliseconds(std::uniform_int_distribution<int>(min_ms, max_ms)(m_random));
    }

    [[nodiscard]] bool has_recovered() const {
        const int needed = m_options.needs_two_calls ? 2 : 1;
        return m_clock.now() >= m_recovered_at && std::all_of(m_users.begin(), m_users.end(), [&](const user& one) {
                   return one.responses_since_recovery >= needed;
               });
    }

    void step(user& one) {
        const steady_time now = m_clock.now();
        if (one.sent_at) {
            if (now >= one.ends_at) {
                end_call(one);
            }
            return;
        }
        if (one.turn) {
            const std::optional<steady_time> turn = m_turns.get_wait_end(*one.turn, m_breaker);
            if (!turn || now < *turn) {
                return;
            }
            m_turns.leave(*one.turn);
            one.turn.reset();
        } else if (now < one.next_at) {
            return;
        }
        if (m_breaker.may_call(now)) {
            send(one);
        } else {
            one.turn = m_turns.join();
        }
    }

    void send(user& one) {
        const steady_time now = m_clock.now();
        const bool is_lost = now >= m_failed_at && now < m_recovered_at;
        m_calls_during_fault += is_lost ? 1 : 0;
        one.sent_at = now;
        one.will_be_answered = !is_lost;
        one.ends_at = now + (is_lost ? get_failure_time() : answer_time);
        if (!is_lost && now >= m_recovered_at && m_options.fault == network_fault::slow) {
            one.ends_at = now + slow_answer_time;
        }
        const bool may_be_lost = now >= m_recovered_at && m_options.fault == network_fault::lossy;
        if (may_be_lost && std::bernoulli_distribution(lossy_share)(m_random)) {
            one.will_be_answered = false;
            one.ends_at = now + m_options.call_limit;
        }
    }

    [[nodiscard]] duration get_failure_time() {
        const bool is_refused = m_options.fault == network_fault::refused ||
                                (m_options.fault == network_fault::mixed && std::bernoulli_distribution(0.5)(m_random));
        return is_refused ? answer_time : m_options.call_limit;
    }

    void end_call(user& one) {
        const steady_time now = m_clock.now();
        if (!one.will_be_answered) {
            m_breaker.on_failure(*one.sent_at, now);
            one.turn = m_turns.join();
            one.sent_at.reset();
            return;
        }
        m_breaker.on_success(now);
        if (*one.sent_at >= m_recovered_at) {
            ++one.responses_since_recovery;
        }
        one.sent_at.reset();
        const bool needs_next_call = m_options.needs_two_calls && one.responses_since_recovery == 1;
        one.next_at = needs_next_call ? now : now + one.period;
    }

    virtual_clock m_clock;
    std::mt19937_64 m_random;
    store_users_options m_options;
    policy::circuit_breaker m_breaker{m_options.breaker};
    policy::wait_queue m_turns;
    std::vector<user> m_users;
    steady_time m_failed_at{};
    steady_time m_recovered_at{};
    std::uint64_t m_calls_during_fault{0};
};

} // namespace dragonflywell::testing
