#pragma once

#include <cstdint>
#include <utility>

#include "core/identifiers.hpp"
#include "servers/serving_state.hpp"

namespace dragonflywell::servers {

/// Counts a prefill in the load of an engine during its lifetime.
class prefill_guard {
public:
    prefill_guard(serving_state& state, service_name service, backend_server_name engine, std::uint64_t number)
        : m_state(&state), m_service(std::move(service)), m_engine(std::move(engine)), m_number(number) {}
    prefill_guard(const prefill_guard&) = delete;
    prefill_guard& operator=(const prefill_guard&) = delete;
    prefill_guard(prefill_guard&&) = delete;
    prefill_guard& operator=(prefill_guard&&) = delete;
    ~prefill_guard() {
        if (service_engines* engines = m_state->find_engines(m_service); engines != nullptr) {
            engines->load_tracker.end_prefill(m_engine, m_number, m_state->time.now());
        }
        m_state->notify_load_change();
    }

private:
    serving_state* m_state;
    service_name m_service;
    backend_server_name m_engine;
    std::uint64_t m_number;
};

/// Counts a running generation in the load of an engine during its lifetime.
class generation_guard {
public:
    generation_guard(serving_state& state, service_name service, backend_server_name engine, std::uint64_t tokens)
        : m_state(&state), m_service(std::move(service)), m_engine(std::move(engine)), m_tokens(tokens) {}
    generation_guard(const generation_guard&) = delete;
    generation_guard& operator=(const generation_guard&) = delete;
    generation_guard(generation_guard&&) = delete;
    generation_guard& operator=(generation_guard&&) = delete;
    ~generation_guard() {
        if (service_engines* engines = m_state->find_engines(m_service); engines != nullptr) {
            engines->load_tracker.end_decode(m_engine, m_tokens);
        }
        m_state->notify_load_change();
    }

private:
    serving_state* m_state;
    service_name m_service;
    backend_server_name m_engine;
    std::uint64_t m_tokens;
};

} // namespace dragonflywell::servers
