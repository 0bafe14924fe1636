#include "standin/store_standin.hpp"

#include <algorithm>
#include <boost/json.hpp>
#include <charconv>
#include <openssl/evp.h>

#include "platform/store_client.hpp"
#include "servers/sleep.hpp"
#include "standin/fault_plan.hpp"

namespace dragonflywell::standin {

namespace {

namespace asio = servers::asio;

constexpr std::size_t length_bytes = 4;
constexpr std::size_t offset_bytes = 8;
constexpr duration poll_interval = std::chrono::milliseconds(2);

/// Decodes a name or a value of a query as forms encode them: a plus sign is a blank. A percent sign without two
/// hexadecimal digits stands for itself.
std::string decode_form_text(std::string_view text) {
    constexpr int hexadecimal = 16;
    constexpr std::size_t digits = 2;
    std::string decoded;
    while (!text.empty()) {
        unsigned byte = 0;
        const char* begin = text.data() + 1;
        const bool is_escape = text.front() == '%' && text.size() > digits &&
                               std::from_chars(begin, begin + digits, byte, hexadecimal).ptr == begin + digits;
        decoded += is_escape ? static_cast<char>(byte) : (text.front() == '+' ? ' ' : text.front());
        text.remove_prefix(is_escape ? 1 + digits : 1);
    }
    return decoded;
}

std::string get_parameter(const servers::http_request& request, std::string_view name) {
    std::string_view target(request.target().data(), request.target().size());
    target = target.substr(0, target.find('#'));
    const std::size_t query = target.find('?');
    if (query == std::string_view::npos) {
        return {};
    }
    target.remove_prefix(query + 1);
    while (!target.empty()) {
        const std::size_t end = target.find('&');
        const std::string_view pair = target.substr(0, end);
        target.remove_prefix(end == std::string_view::npos ? target.size() : end + 1);
        const std::size_t equals = pair.find('=');
        if (decode_form_text(pair.substr(0, equals)) == name && equals != std::string_view::npos) {
            return decode_form_text(pair.substr(equals + 1));
        }
    }
    return {};
}

std::optional<std::uint64_t> get_number(const servers::http_request& request, std::string_view name) {
    const std::string text = get_parameter(request, name);
    return text.empty() ? std::nullopt : std::optional<std::uint64_t>(std::stoull(text));
}

std::string encode_big_endian(std::uint64_t number, std::size_t bytes) {
    std::string text;
    for (std::size_t index = bytes; index-- > 0;) {
        text.push_back(static_cast<char>((number >> (index * 8)) & 0xffU));
    }
    return text;
}

std::string encode_base64(const std::string& bytes) {
    std::string text(4 * ((bytes.size() + 2) / 3) + 1, '\0');
    const int length =
        EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                        reinterpret_cast<const unsigned char*>(bytes.data()), static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(length));
    return text;
}

bool is_call(const servers::http_request& request, std::string_view path) {
    const std::string_view target(request.target().data(), request.target().size());
    return target.substr(0, target.find('?')) == path;
}

} // namespace

asio::awaitable<void> store_standin::handle(servers::http_request request, servers::caller_channel& caller) {
    // A long poll gets its response as soon as there is a record.
    const std::uint64_t wait_ms = is_call(request, "/-/log-read") ? get_number(request, "waitMs").value_or(0) : 0;
    const auto give_up_at = std::chrono::steady_clock::now() + std::chrono::milliseconds(wait_ms);
    const std::string name = get_parameter(request, "topic");
    const std::uint64_t from = get_number(request, "from").value_or(0);
    const std::uint64_t era = get_era();
    const auto has_news = [&] {
        const std::scoped_lock lock(m_mutex);
        return m_topics[name].records.size() != from || m_era != era;
    };
    while (wait_ms > 0 && !has_news() && std::chrono::steady_clock::now() < give_up_at && !caller.is_disconnected()) {
        co_await servers::sleep_for(poll_interval);
    }
    servers::http_response response = make_response(request);
    co_await caller.send(std::move(response));
}

servers::http_response store_standin::make_response(const servers::http_request& request) {
    const std::scoped_lock lock(m_mutex);
    ++m_calls;
    servers::http_response response = make_call_response(request);
    set_era_header(response);
    return response;
}

servers::http_response store_standin::make_call_response(const servers::http_request& request) {
    if (m_is_refusing) {
        return make_json_response(503, "{}");
    }
    topic& log = m_topics[get_parameter(request, "topic")];
    if (is_call(request, "/-/log-append")) {
        return append(log, request.body(), get_number(request, "at"));
    }
    if (is_call(request, "/-/log-read")) {
        return read(log, get_number(request, "from").value_or(0));
    }
    if (is_call(request, "/-/log-newest")) {
        const auto frozen = m_frozen.find(get_parameter(request, "topic"));
        return list(frozen == m_frozen.end() ? log : frozen->second, get_parameter(request, "after"));
    }
    return make_json_response(404, "{}");
}

servers::http_response store_standin::append(topic& log, const std::string& body, std::optional<std::uint64_t> at) {
    const std::uint64_t end = log.records.size();
    if (at && *at != end) {
        return make_json_response(412, boost::json::serialize(boost::json::object{{"endOffset", end}}));
    }
    std::string_view rest = body;
    while (rest.size() >= length_bytes) {
        std::size_t length = 0;
        for (const char byte : rest.substr(0, length_bytes)) {
            length = (length << 8U) | static_cast<unsigned char>(byte);
        }
        const std::string_view content = rest.substr(length_bytes, length);
        const auto key_length = static_cast<std::size_t>(static_cast<unsigned char>(content.at(0)));
        log.records.push_back(
            {.key = std::string(content.substr(1, key_length)), .value = std::string(content.substr(1 + key_length))});
        rest.remove_prefix(length_bytes + content.size());
    }
    return make_json_response(
        200, boost::json::serialize(boost::json::object{{"offset", end}, {"endOffset", log.records.size()}}));
}

servers::http_response store_standin::read(const topic& log, std::uint64_t from) const {
    if (from < log.first || from > log.records.size()) {
        return make_json_response(410, boost::json::serialize(boost::json::object{{"firstOffset", log.first}}));
    }
    std::string body = encode_big_endian(log.records.size(), offset_bytes) + encode_big_endian(log.first, offset_bytes);
    const std::uint64_t end = std::min<std::uint64_t>(log.records.size(), from + m_page_records);
    for (std::uint64_t offset = from; offset < end; ++offset) {
        body += platform::encode_keyed_record(log.records[offset].key, log.records[offset].value);
    }
    servers::http_response response(servers::http::status::ok, 11);
    response.body() = std::move(body);
    return response;
}

servers::http_response store_standin::list(const topic& log, const std::string& after) const {
    std::map<std::string, std::uint64_t> newest;
    for (std::uint64_t offset = 0; offset < log.records.size(); ++offset) {
        newest[log.records[offset].key] = offset;
    }
    boost::json::array items;
    bool has_more = false;
    for (auto item = after.empty() ? newest.begin() : newest.upper_bound(after); item != newest.end(); ++item) {
        const record& found = log.records[item->second];
        if (found.value.empty()) {
            continue;
        }
        if (items.size() == m_listing_page_keys) {
            has_more = true;
            break;
        }
        items.push_back(
            boost::json::object{{"key", found.key}, {"value", encode_base64(found.value)}, {"offset", item->second}});
    }
    const boost::json::object page{{"items", items}, {"more", has_more}, {"endOffset", log.records.size()}};
    return make_json_response(200, boost::json::serialize(page));
}

void store_standin::put(const std::string& topic, const std::string& key, const std::string& value) {
    const std::scoped_lock lock(m_mutex);
    m_topics[topic].records.push_back({.key = key, .value = value});
}

void store_standin::drop_history(const std::string& topic) {
    const std::scoped_lock lock(m_mutex);
    m_topics[topic].first = m_topics[topic].records.size();
}

void store_standin::take_copy() {
    const std::scoped_lock lock(m_mutex);
    m_copy = m_topics;
}

void store_standin::restore(std::uint64_t eras) {
    const std::scoped_lock lock(m_mutex);
    m_topics = m_copy;
    m_era += eras;
}

void store_standin::restore_to(const std::map<std::string, std::size_t>& kept_records, std::uint64_t eras) {
    const std::scoped_lock lock(m_mutex);
    for (const auto& [name, kept] : kept_records) {
        topic& log = m_topics[name];
        log.records.resize(std::min(log.records.size(), kept));
        log.first = std::min<std::uint64_t>(log.first, kept);
    }
    m_era += eras;
}

void store_standin::set_era(std::uint64_t era) {
    const std::scoped_lock lock(m_mutex);
    m_era = era;
}

void store_standin::set_era_text(std::string text) {
    const std::scoped_lock lock(m_mutex);
    m_era_text = std::move(text);
}

std::uint64_t store_standin::get_era() const {
    const std::scoped_lock lock(m_mutex);
    return m_era;
}

void store_standin::add_era(servers::http_response& response) const {
    const std::scoped_lock lock(m_mutex);
    set_era_header(response);
}

void store_standin::set_era_header(servers::http_response& response) const {
    const std::string text = m_era_text.value_or(std::to_string(m_era));
    if (!text.empty()) {
        response.set("Store-Era", text);
    }
}

void store_standin::set_refusing(bool is_refusing) {
    const std::scoped_lock lock(m_mutex);
    m_is_refusing = is_refusing;
}

void store_standin::freeze_listing(const std::string& topic) {
    const std::scoped_lock lock(m_mutex);
    m_frozen[topic] = m_topics[topic];
}

void store_standin::thaw_listing(const std::string& topic) {
    const std::scoped_lock lock(m_mutex);
    m_frozen.erase(topic);
}

std::optional<std::string> store_standin::get(const std::string& topic, const std::string& key) {
    const std::scoped_lock lock(m_mutex);
    std::optional<std::string> newest;
    for (const record& found : m_topics[topic].records) {
        if (found.key == key) {
            newest = found.value.empty() ? std::nullopt : std::optional(found.value);
        }
    }
    return newest;
}

std::vector<std::string> store_standin::get_history(const std::string& topic) {
    const std::scoped_lock lock(m_mutex);
    std::vector<std::string> values;
    for (const record& found : m_topics[topic].records) {
        values.push_back(found.value);
    }
    return values;
}

std::uint64_t store_standin::get_calls() const noexcept {
    const std::scoped_lock lock(m_mutex);
    return m_calls;
}

} // namespace dragonflywell::standin
