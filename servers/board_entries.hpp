#pragma once

#include <cstdint>
#include <utility>

#include "core/identifiers.hpp"
#include "servers/serving_state.hpp"

namespace dragonflywell::servers {

/// Keeps a prompt on the board while an engine reads it.
class prompt_on_board {
public:
    prompt_on_board(serving_state& state, service_name service, backend_server_name engine, std::uint64_t number)
        : m_state(&state), m_service(std::move(service)), m_engine(std::move(engine)), m_number(number) {}
    prompt_on_board(const prompt_on_board&) = delete;
    prompt_on_board& operator=(const prompt_on_board&) = delete;
    prompt_on_board(prompt_on_board&&) = delete;
    prompt_on_board& operator=(prompt_on_board&&) = delete;
    ~prompt_on_board() {
        if (service_engines* engines = m_state->find_engines(m_service); engines != nullptr) {
            engines->board.end_prompt(m_engine, m_number, m_state->time.now());
        }
        m_state->note_load_change();
    }

private:
    serving_state* m_state;
    service_name m_service;
    backend_server_name m_engine;
    std::uint64_t m_number;
};

/// Keeps a running generation on the board.
class run_on_board {
public:
    run_on_board(serving_state& state, service_name service, backend_server_name engine, std::uint64_t tokens)
        : m_state(&state), m_service(std::move(service)), m_engine(std::move(engine)), m_tokens(tokens) {}
    run_on_board(const run_on_board&) = delete;
    run_on_board& operator=(const run_on_board&) = delete;
    run_on_board(run_on_board&&) = delete;
    run_on_board& operator=(run_on_board&&) = delete;
    ~run_on_board() {
        if (service_engines* engines = m_state->find_engines(m_service); engines != nullptr) {
            engines->board.end_run(m_engine, m_tokens);
        }
        m_state->note_load_change();
    }

private:
    serving_state* m_state;
    service_name m_service;
    backend_server_name m_engine;
    std::uint64_t m_tokens;
};

} // namespace dragonflywell::servers
