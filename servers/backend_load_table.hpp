#pragma once

#include <cstdint>
#include <map>
#include <mutex>

#include "core/identifiers.hpp"

namespace dragonflywell::servers {

/// In-flight tokens of this daemon on each backend server. Thread safe.
class backend_load_table {
public:
    [[nodiscard]] std::uint64_t get(const backend_server_name& server) const;

    /// Counts work on a server during its lifetime.
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
