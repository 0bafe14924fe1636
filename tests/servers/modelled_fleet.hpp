#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <queue>
#include <random>
#include <vector>

#include "policy/group_load.hpp"
#include "servers/service_engines.hpp"

namespace dragonflywell::testing {

/// A kind of request to a model.
struct modelled_kind {
    /// The part of the prompt that other requests have, too, of which there are as many different ones, and the rest.
    std::uint64_t shared_tokens{};
    std::size_t shared_prefixes{1};
    std::uint64_t own_tokens{};
    std::uint64_t output_tokens{};
    /// Time for the first event, and the time after which the caller leaves without one.
    duration target{};
    duration patience{};
    std::uint32_t priority{0};
    /// Requests a second of the whole fleet, outside of the burst.
    double rate{};
};

/// A time in which more requests come, and in which some engines that generate are lost.
struct modelled_burst {
    duration begin{};
    duration length{};
    double factor{1};
    std::size_t lost_prefill_engines{0};
    std::size_t lost_decode_engines{6};
};

struct modelled_fleet_options {
    std::vector<modelled_kind> kinds;
    /// Hosts exchange their load within a group. Of other groups they know the sum. Each group has an equal share of
    /// the engines.
    std::size_t groups{4};
    std::size_t hosts_in_group{3};
    std::size_t prefill_engines{28};
    std::size_t decode_engines{6};
    modelled_burst burst;
    /// Speed of an engine, by its number, at a time since the start. Prefill engines have the lowest numbers.
    std::function<double(std::size_t, duration)> get_speed{[](std::size_t, duration) { return 1.0; }};
    /// Whether hosts learn the speeds of engines. They tell those of their group what they have learned.
    bool learns_speeds{true};
    duration length{};
    std::uint64_t seed{1};
};

/// What the callers got whose requests came in one second.
struct modelled_second {
    std::size_t asked{0};
    std::size_t in_time{0};
    std::size_t late{0};
    std::size_t rejected{0};
    std::size_t abandoned{0};
    /// Prompts that an engine that generates was to read itself.
    std::size_t direct{0};
    /// Times to the first event, and of callers that left without one, and times from it to the end of a stream.
    std::vector<double> first_event_ms;
    std::vector<double> stream_ms;
};

/// Hosts in front of the engines of one service, in virtual time. The hosts place prompts and learn with the code of
/// the daemon; each knows of the prompts of its group with a delay. An engine for prefills reads one prompt after
/// another; one that generates does a step of all its streams at a time, and reads prompts piece by piece between the
/// steps, at half the speed. Callers leave when no event comes. Not thread safe.
class modelled_fleet {
public:
    explicit modelled_fleet(modelled_fleet_options options);
    modelled_fleet(const modelled_fleet&) = delete;
    modelled_fleet& operator=(const modelled_fleet&) = delete;
    modelled_fleet(modelled_fleet&&) = delete;
    modelled_fleet& operator=(modelled_fleet&&) = delete;
    ~modelled_fleet();

    /// Plays the load. Returns the results by second.
    [[nodiscard]] std::vector<modelled_second> run();

private:
    class host;
    class engine;
    struct request;
    class fleet_clock;
    using request_ptr = std::shared_ptr<request>;

    static constexpr duration network_time{std::chrono::microseconds(1500)};

    struct event {
        steady_time at;
        std::uint64_t number{};
        std::function<void()> action;

        bool operator>(const event& other) const noexcept {
            return std::tie(at, number) > std::tie(other.at, other.number);
        }
    };

    void post(duration delay, std::function<void()> action);
    [[nodiscard]] double draw() { return std::uniform_real_distribution<double>(0, 1)(m_random); }
    void schedule_arrival(std::size_t kind);
    void begin_burst();
    void end_burst();
    void exchange_loads();
    void exchange_group_loads();
    void exchange_speeds();
    void share_prefix(std::size_t from_host, const backend_server_name& engine,
                      std::vector<policy::prefix_block> parts);
    [[nodiscard]] std::size_t get_group(std::size_t host) const { return host % m_options.groups; }
    [[nodiscard]] std::size_t get_engine_group(const backend_server_name& name) const;
    void update_engines();
    [[nodiscard]] engine& find_engine(const backend_server_name& name);
    [[nodiscard]] modelled_second& get_second(const request& of);

    modelled_fleet_options m_options;
    std::mt19937_64 m_random;
    const steady_time m_began_at{std::chrono::hours(1)};
    steady_time m_now{m_began_at};
    std::priority_queue<event, std::vector<event>, std::greater<>> m_events;
    std::uint64_t m_event_number{0};
    std::uint64_t m_request_number{0};
    bool m_is_burst{false};
    std::unique_ptr<fleet_clock> m_clock;
    std::vector<std::unique_ptr<host>> m_hosts;
    std::vector<std::unique_ptr<engine>> m_engines;
    std::vector<policy::group_load> m_group_loads;
    std::vector<modelled_second> m_seconds;
};

} // namespace dragonflywell::testing
