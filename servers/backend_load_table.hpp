#pragma once

#include <cstdint>
#include <map>
#include <mutex>

#include "core/identifiers.hpp"

namespace dragonflywell::servers {

/// Tokens that this daemon has in work on each backend server. Thread safe.
class backend_load_table {
public:
    [[nodiscard]] std::uint64_t get(const backend_server_name& server) const;

    /// Counts work for as long as it lives.
    class reservation {
    public:
        reservation(backend_load_table& table, backend_server_name server, std::uint64_t tokens);
        reservation(const reservation&) = delete;
        reservation& operator=(const reservation&) = delete;
        reservation(reservation&&) = delete;
        reservation& operator=(reservation&&) = delete;
        ~reservation();

    private:
        backend_load_table* m_table;
        backend_server_name m_server;
        std::uint64_t m_tokens;
    };

private:
    mutable std::mutex m_mutex;
    std::map<backend_server_name, std::uint64_t> m_tokens;
};

} // namespace dragonflywell::servers
