#pragma once

#include "modelled_engine.hpp"

namespace dragonflywell::testing {

/// One host, with the decisions of the daemon.
class modelled_fleet::host {
public:
    host(modelled_fleet& fleet, std::size_t number) : m_fleet(&fleet), m_number(number) {
        m_engines.speeds.set_enabled(fleet.m_options.learns_speeds);
        m_engines.set_description({.slots = engine::slots, .kv_capacity_tokens = engine::memory_tokens});
    }

    [[nodiscard]] servers::service_engines& get_engines() noexcept { return m_engines; }

    void handle(const request_ptr& incoming);
    void on_prefilled(const request_ptr& read);
    void on_first_event(const request_ptr& begun);
    /// Some events came, `engine::events_at_once` together.
    void on_events(const request_ptr& of);
    void on_end(const request_ptr& ended);
    /// The engine of a request was lost.
    void on_lost(const request_ptr& lost);
    void on_caller_left(const request_ptr& left);

private:
    [[nodiscard]] const modelled_kind& get_kind(const request& of) const { return m_fleet->m_options.kinds[of.kind]; }
    [[nodiscard]] policy::generation_requirements get_requirements(const request& of) const;
    [[nodiscard]] policy::engine_status get_status(const backend_server_name& name, std::uint64_t prompt_key) const;
    [[nodiscard]] static double get_observed_speed(const request& of) {
        return of.observation != nullptr ? of.observation->get_speed() : 1;
    }
    [[nodiscard]] std::uint64_t get_prompt_tokens(const request& of) const {
        return get_kind(of).shared_tokens + get_kind(of).own_tokens;
    }
    [[nodiscard]] std::uint64_t get_needed_tokens(const request& of) const {
        return get_prompt_tokens(of) + get_kind(of).output_tokens;
    }
    /// Returns whether the request was rejected since its caller would have left.
    bool reject_if_hopeless(const request_ptr& incoming);
    void send(const request_ptr& sent, const backend_server_name& to);
    void start_prefill(const request_ptr& of, const backend_server_name& on);
    void generate(const request_ptr& of, const backend_server_name& on);
    void observe(const request_ptr& of, const backend_server_name& on, duration expected);

    modelled_fleet* m_fleet;
    std::size_t m_number;
    servers::service_engines m_engines;
};

} // namespace dragonflywell::testing
