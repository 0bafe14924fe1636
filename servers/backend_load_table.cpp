#include "servers/backend_load_table.hpp"

#include <utility>

namespace dragonflywell::servers {

std::uint64_t backend_load_table::get(const backend_server_name& server) const {
    const std::scoped_lock lock(m_mutex);
    const auto found = m_tokens.find(server);
    return found == m_tokens.end() ? 0 : found->second;
}

backend_load_table::reservation::reservation(backend_load_table& table, backend_server_name server,
                                             std::uint64_t tokens)
    : m_table(&table), m_server(std::move(server)), m_tokens(tokens) {
    const std::scoped_lock lock(m_table->m_mutex);
    m_table->m_tokens[m_server] += m_tokens;
}

backend_load_table::reservation::~reservation() {
    const std::scoped_lock lock(m_table->m_mutex);
    const auto found = m_table->m_tokens.find(m_server);
    found->second -= m_tokens;
    if (found->second == 0) {
        m_table->m_tokens.erase(found);
    }
}

} // namespace dragonflywell::servers
