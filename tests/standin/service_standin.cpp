#include "standin/service_standin.hpp"

#include <boost/json.hpp>

#include "standin/fault_plan.hpp"

namespace dragonflywell::standin {

servers::asio::awaitable<void> service_standin::handle(servers::http_request request, servers::caller_channel& caller) {
    if (request.count(servers::http::field::authorization) != 0) {
        ++m_keys_seen;
    }
    const std::uint64_t run = ++m_runs;
    const std::string body = boost::json::serialize(boost::json::object{
        {"run", run}, {"method", request.method_string()}, {"path", request.target()}, {"body", request.body()}});
    co_await caller.send(make_json_response(200, body));
}

} // namespace dragonflywell::standin
