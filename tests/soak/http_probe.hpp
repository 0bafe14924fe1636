#pragma once

#include <boost/asio/awaitable.hpp>
#include <optional>
#include <string>

#include "core/clock.hpp"
#include "core/endpoint.hpp"
#include "servers/http_types.hpp"

namespace dragonflywell::soak {

/// Returns the body of the page, or nothing if there is no whole response with status 200 in time.
[[nodiscard]] servers::asio::awaitable<std::optional<std::string>> get_page(endpoint address, std::string path,
                                                                            duration timeout);

} // namespace dragonflywell::soak
