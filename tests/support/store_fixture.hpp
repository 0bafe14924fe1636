#pragma once

#include <boost/asio/io_context.hpp>
#include <optional>

#include "core/metrics.hpp"
#include "platform/store_client.hpp"
#include "servers/http_server.hpp"
#include "standin/store_standin.hpp"

namespace dragonflywell::testing {

/// A stand-in of the store and a client of it, on one event loop.
class store_fixture {
public:
    store_fixture() { server.start(); }
    store_fixture(const store_fixture&) = delete;
    store_fixture& operator=(const store_fixture&) = delete;
    store_fixture(store_fixture&&) = delete;
    store_fixture& operator=(store_fixture&&) = delete;
    ~store_fixture() {
        server.stop();
        pool.clear();
    }

    /// Returns a client of the stand-in, or of another address.
    platform::store_client make_client(std::optional<endpoint> address = std::nullopt) {
        const endpoint own{.address = "127.0.0.1", .port = server.get_port()};
        return {pool, metrics, {.address = address.value_or(own)}};
    }

    boost::asio::io_context loop{1};
    host_clock time;
    servers::backend_connection_pool pool{time, {}};
    metrics_registry metrics;
    standin::store_standin store;
    servers::http_server server{{&loop}, store, {.listen = {.address = "127.0.0.1", .port = 0}, .limits = {}}};
};

} // namespace dragonflywell::testing
