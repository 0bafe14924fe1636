#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <boost/system/error_code.hpp>

namespace dragonflywell::servers {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;

using http_request = http::request<http::string_body>;
using http_response = http::response<http::string_body>;

/// Completion token that resumes the coroutine and stores the error instead of throwing it.
inline auto store_error(error_code& fault) {
    return asio::redirect_error(asio::use_awaitable, fault);
}

} // namespace dragonflywell::servers
