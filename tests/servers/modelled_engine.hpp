#pragma once

#include <algorithm>
#include <list>
#include <utility>

#include "modelled_request.hpp"

namespace dragonflywell::testing {

/// One engine. Calls back when a prefill ends, at the first event of a stream, and at its end.
class modelled_fleet::engine {
public:
    static constexpr std::size_t slots = 64;
    static constexpr std::uint64_t memory_tokens = 520'000;
    /// Events of a stream that a host looks at together, to save time.
    static constexpr std::uint64_t events_at_once = 4;

    engine(modelled_fleet& fleet, std::size_t number, fleet::engine_stage stage)
        : m_fleet(&fleet), m_number(number), m_name(std::to_string(1000 + number)), m_stage(stage) {}

    [[nodiscard]] const backend_server_name& get_name() const noexcept { return m_name; }
    [[nodiscard]] fleet::engine_stage get_stage() const noexcept { return m_stage; }
    [[nodiscard]] bool is_lost() const noexcept { return m_is_lost; }

    /// Accepts a request. Precondition: the engine is not lost.
    void accept(const request_ptr& accepted) {
        m_waiting.push_back(accepted);
        wake();
    }

    /// Drops all requests and the cache, like an engine that has crashed.
    void lose();
    void recover() { m_is_lost = false; }

    /// Uses a shared prefix. Returns whether it is in the cache, which it is afterwards.
    bool use_prefix(std::uint64_t prefix, std::uint64_t tokens);
    [[nodiscard]] bool has_prefix(std::uint64_t prefix) const {
        return std::find_if(m_cache.begin(), m_cache.end(), [&](const auto& item) { return item.first == prefix; }) !=
               m_cache.end();
    }

private:
    void wake() {
        if (!m_is_working) {
            work();
        }
    }
    void work() {
        m_waiting.remove_if([](const request_ptr& item) { return item->has_ended; });
        m_running.remove_if([](const request_ptr& item) { return item->has_ended; });
        m_stage == fleet::engine_stage::prefill ? read_next_prompt() : make_step();
    }
    /// Returns the most urgent request of those that wait, the first among equals.
    [[nodiscard]] std::list<request_ptr>::iterator find_next() {
        return std::min_element(m_waiting.begin(), m_waiting.end(),
                                [](const auto& left, const auto& right) { return left->urgency < right->urgency; });
    }
    [[nodiscard]] bool is_reading() const {
        return std::any_of(m_running.begin(), m_running.end(),
                           [](const request_ptr& item) { return item->unread_tokens > 0; });
    }
    void read_next_prompt();
    void make_step();
    void end_step(const request_ptr& reading, std::uint64_t read_tokens);

    /// Returns how long work takes now that takes the given time at the speed 1.
    [[nodiscard]] duration get_time(duration work) const {
        const double speed = m_fleet->m_options.get_speed(m_number, m_fleet->m_now - m_fleet->m_began_at);
        return std::chrono::duration_cast<duration>(work / speed);
    }

    modelled_fleet* m_fleet;
    std::size_t m_number;
    backend_server_name m_name;
    fleet::engine_stage m_stage;
    bool m_is_working{false};
    bool m_is_lost{false};
    std::list<request_ptr> m_waiting;
    std::list<request_ptr> m_running;
    /// Shared prefixes with their tokens, the one used last at the front.
    std::list<std::pair<std::uint64_t, std::uint64_t>> m_cache;
    std::uint64_t m_cached_tokens{0};
};

} // namespace dragonflywell::testing
