#pragma once

#include <atomic>
#include <cstdint>

#include "servers/http_handler.hpp"

namespace dragonflywell::standin {

/// A stand-in for a plain service. Its responses contain the number of the request and the request body. Thread safe.
class service_standin final : public servers::http_handler {
public:
    servers::asio::awaitable<void> handle(servers::http_request request, servers::caller_channel& caller) override;
    void on_malformed(servers::http::status /*status*/) override {}

    [[nodiscard]] std::uint64_t get_runs() const noexcept { return m_runs; }
    [[nodiscard]] std::uint64_t get_authorization_headers_seen() const noexcept { return m_keys_seen; }

private:
    std::atomic<std::uint64_t> m_runs{0};
    std::atomic<std::uint64_t> m_keys_seen{0};
};

} // namespace dragonflywell::standin
