#include "servers/exchange_history.hpp"

#include <algorithm>
#include <functional>

namespace dragonflywell::servers {

namespace {

std::size_t get_hash(std::string_view request_id) {
    return std::hash<std::string_view>{}(request_id);
}

} // namespace

bool exchange_history::may_carry(std::string_view request_id) const {
    if (request_id.empty()) {
        return is_empty();
    }
    return !is_full() && std::find(m_requests.begin(), m_requests.end(), get_hash(request_id)) == m_requests.end();
}

void exchange_history::record(std::string_view request_id) {
    m_requests.push_back(get_hash(request_id));
}

response_match exchange_history::match(std::string_view request_id, const response_owner& owner) const {
    if (!owner.request_id.empty()) {
        return owner.request_id == request_id ? response_match::own : response_match::foreign;
    }
    if (!owner.may_omit_id && !request_id.empty()) {
        return response_match::foreign;
    }
    return m_requests.size() > 1 ? response_match::ambiguous : response_match::own;
}

} // namespace dragonflywell::servers
