#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace dragonflywell::servers {

/// To which request a response belongs, as far as its header says.
struct response_owner {
    /// Empty if the response names no request.
    std::string_view request_id;
    /// Whether a response that names no request may belong to one that has an id.
    bool may_omit_id{true};
};

/// Whether a response belongs to the newest request on its connection.
enum class response_match : std::uint8_t {
    own,
    /// It belongs to another request.
    foreign,
    /// It may also be a copy of the response to an earlier request on the connection.
    ambiguous,
};

/// The requests that one connection has carried. Not thread safe.
///
/// A server may send an earlier response once more where the next one is due, under the id of its request. So the id of
/// a response proves something of the newest request only if the connection has carried that id once, and a response
/// without an id only if the connection has carried nothing else.
class exchange_history {
public:
    /// Number of requests after which a connection carries no more, so that the history stays small.
    static constexpr std::size_t max_requests = 256;

    /// Returns whether the response to a request could be told from all copies of earlier responses. `request_id`:
    /// empty for a request without an id. Always false when the history is full.
    [[nodiscard]] bool may_carry(std::string_view request_id) const;

    /// Records that the connection carries a request. Precondition: the history is not full.
    void record(std::string_view request_id);

    /// Returns whether a response belongs to the newest request. Precondition: `request_id` was recorded last.
    [[nodiscard]] response_match match(std::string_view request_id, const response_owner& owner) const;

    [[nodiscard]] bool is_empty() const noexcept { return m_requests.empty(); }
    [[nodiscard]] bool is_full() const noexcept { return m_requests.size() >= max_requests; }

private:
    /// Hashes of the ids. Two ids with the same hash cost a new connection.
    std::vector<std::size_t> m_requests;
};

} // namespace dragonflywell::servers
