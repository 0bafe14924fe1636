#pragma once

#include <algorithm>
#include <string>
#include <utility>

#include "support/serving_fixture.hpp"

namespace dragonflywell::testing {

inline constexpr auto prefill = fleet::engine_stage::prefill;
inline constexpr auto decode = fleet::engine_stage::decode;

/// Returns the events of the given range as a caller receives them.
inline std::string make_events(int first, int last) {
    std::string events;
    for (int number = first; number <= last; ++number) {
        events += serving_fixture::make_event(number);
    }
    return events;
}

/// Sends the events 1 to `last` and then closes the connection, in the middle of the next event if `within_event` is
/// set.
inline standin::raw_server::behaviour break_after(int last, bool within_event = false) {
    return [last, within_event](const servers::http_request& request,
                                standin::raw_connection& connection) -> asio::awaitable<void> {
        std::string bytes = serving_fixture::make_stream_head(request, "first seal");
        bytes += serving_fixture::make_chunk(make_events(1, last));
        if (within_event) {
            bytes += serving_fixture::make_chunk("id: 99\nda");
        }
        co_await connection.write(std::move(bytes));
        connection.close();
    };
}

/// Returns how many generations an engine was asked for, without the releases of KV caches.
inline std::size_t count_runs(const standin::raw_server& server) {
    return static_cast<std::size_t>(
        std::count_if(server.get_requests().begin(), server.get_requests().end(),
                      [](const servers::http_request& request) { return request.method() == http::verb::post; }));
}

} // namespace dragonflywell::testing
