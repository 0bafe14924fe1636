#pragma once

#include <boost/beast/http/buffer_body.hpp>
#include <cstddef>

#include "servers/backend_connection_pool.hpp"

namespace dragonflywell::servers {

using response_parser = http::response_parser<http::buffer_body>;

/// Reads the header of a response, and nothing behind it. Returns its size. Sets `fault` if the connection ends before
/// it is complete, if it is malformed, or if it has a folded line: one that begins with a blank and continues the field
/// before it in obsolete HTTP, so that it would change that field. Precondition: the parser has read nothing yet, and
/// both outlive the call. Used on the event loop of the connection.
asio::awaitable<std::size_t> read_response_head(backend_connection& connection, response_parser& parser,
                                                error_code& fault);

} // namespace dragonflywell::servers
