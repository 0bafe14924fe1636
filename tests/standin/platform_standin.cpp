#include "standin/platform_standin.hpp"

#include <charconv>

#include "core/json.hpp"
#include "standin/fault_plan.hpp"

namespace dragonflywell::standin {

namespace {

constexpr std::string_view streams_prefix = "/streams/";
constexpr std::string_view records_suffix = "/records";
constexpr std::string_view trim_suffix = "/trim";

std::uint64_t get_query_number(std::string_view query, std::string_view name, std::uint64_t fallback) {
    const std::string key = std::string(name) + "=";
    const std::size_t found = query.find(key);
    if (found == std::string_view::npos) {
        return fallback;
    }
    std::uint64_t value = fallback;
    const std::string_view digits = query.substr(found + key.size());
    std::from_chars(digits.data(), digits.data() + digits.size(), value);
    return value;
}

} // namespace

servers::asio::awaitable<void> platform_standin::handle(servers::http_request request,
                                                        servers::caller_channel& caller) {
    servers::http_response response = make_response(request);
    co_await caller.send(std::move(response));
}

servers::http_response platform_standin::make_response(const servers::http_request& request) {
    const std::string target(request.target());
    const std::size_t question = target.find('?');
    const std::string path = target.substr(0, question);
    const std::string query = question == std::string::npos ? "" : target.substr(question + 1);
    const std::scoped_lock lock(m_mutex);
    if (path.starts_with(streams_prefix) && path.ends_with(records_suffix)) {
        const std::string name =
            path.substr(streams_prefix.size(), path.size() - streams_prefix.size() - records_suffix.size());
        return request.method() == servers::http::verb::post ? append(name, request.body()) : read(name, query);
    }
    if (path.starts_with(streams_prefix) && path.ends_with(trim_suffix)) {
        return trim(path.substr(streams_prefix.size(), path.size() - streams_prefix.size() - trim_suffix.size()),
                    request.body());
    }
    return make_collection_response(request, path);
}

servers::http_response platform_standin::append(const std::string& name, const std::string& body) {
    const boost::json::value document = json::parse(body);
    stream& target = m_streams[name];
    const std::uint64_t first = target.oldest + target.records.size();
    for (const boost::json::value& text : json::get_array(document.as_object(), "records")) {
        target.records.emplace_back(text.as_string());
    }
    return make_json_response(200, boost::json::serialize(boost::json::object{{"first_offset", first}}));
}

servers::http_response platform_standin::read(const std::string& name, std::string_view query) {
    const stream& source = m_streams[name];
    const std::uint64_t end = source.oldest + source.records.size();
    const std::uint64_t most = get_query_number(query, "most", 1000);
    std::uint64_t offset = std::max(get_query_number(query, "from", 0), source.oldest);
    boost::json::array records;
    for (; offset < end && records.size() < most; ++offset) {
        records.push_back({{"offset", offset}, {"data", source.records[offset - source.oldest]}});
    }
    return make_json_response(200, boost::json::serialize(boost::json::object{
                                       {"oldest", source.oldest}, {"end", end}, {"records", std::move(records)}}));
}

servers::http_response platform_standin::trim(const std::string& name, const std::string& body) {
    const boost::json::value document = json::parse(body);
    const std::uint64_t before = json::get_unsigned(document.as_object(), "before");
    stream& target = m_streams[name];
    while (target.oldest < before && !target.records.empty()) {
        target.records.pop_front();
        ++target.oldest;
    }
    return make_json_response(200, "{}");
}

servers::http_response platform_standin::make_collection_response(const servers::http_request& request,
                                                                  const std::string& path) {
    if (request.method() == servers::http::verb::put) {
        const auto [position, is_new] = m_documents.try_emplace(path, request.body());
        if (!is_new && position->second != request.body()) {
            ++m_conflicts;
        }
        return make_json_response(200, m_documents[path]);
    }
    if (request.method() == servers::http::verb::delete_) {
        m_documents.erase(path);
        return make_json_response(200, "{}");
    }
    if (const auto found = m_documents.find(path); found != m_documents.end()) {
        return make_json_response(200, found->second);
    }
    boost::json::object items;
    for (auto item = m_documents.lower_bound(path + "/");
         item != m_documents.end() && item->first.starts_with(path + "/"); ++item) {
        items[item->first.substr(path.size() + 1)] = json::parse(item->second);
    }
    return make_json_response(items.empty() ? 404 : 200, boost::json::serialize(items));
}

} // namespace dragonflywell::standin
