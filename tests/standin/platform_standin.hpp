#pragma once

#include <atomic>
#include <deque>
#include <map>
#include <mutex>
#include <string>

#include "servers/http_handler.hpp"

namespace dragonflywell::standin {

/// A stand-in for the platform with log, host list, provisioning, usage reporting and weight store, all in memory.
/// Thread safe.
class platform_standin final : public servers::http_handler {
public:
    servers::asio::awaitable<void> handle(servers::http_request request, servers::caller_channel& caller) override;
    void on_malformed(servers::http::status /*status*/) override {}

    /// Returns how often a document with different content was stored under a key that was already in use.
    [[nodiscard]] std::uint64_t get_conflicts() const noexcept { return m_conflicts; }
    /// Returns all stored documents by path.
    [[nodiscard]] std::map<std::string, std::string> get_documents() {
        const std::scoped_lock lock(m_mutex);
        return m_documents;
    }

private:
    struct stream {
        std::uint64_t oldest{0};
        std::deque<std::string> records;
    };

    [[nodiscard]] servers::http_response make_response(const servers::http_request& request);
    [[nodiscard]] servers::http_response append(const std::string& name, const std::string& body);
    [[nodiscard]] servers::http_response read(const std::string& name, std::string_view query);
    [[nodiscard]] servers::http_response trim(const std::string& name, const std::string& body);
    /// Stores or returns one document of a collection. A second document under the same key does not replace the first.
    [[nodiscard]] servers::http_response make_collection_response(const servers::http_request& request,
                                                                  const std::string& path);

    std::mutex m_mutex;
    std::map<std::string, stream> m_streams;
    std::map<std::string, std::string> m_documents;
    std::atomic<std::uint64_t> m_conflicts{0};
};

} // namespace dragonflywell::standin
