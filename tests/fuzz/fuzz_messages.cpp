#include <array>
#include <cstdlib>
#include <string_view>

#include "coordination/store_lease.hpp"
#include "coordination/usage_state.hpp"
#include "core/error.hpp"
#include "core/json.hpp"
#include "gossip/relayed_configuration.hpp"
#include "platform/configuration_decoder.hpp"
#include "platform/server_record_decoder.hpp"
#include "platform/store_listing.hpp"
#include "servers/event_splitter.hpp"
#include "servers/host_digest.hpp"

using namespace dragonflywell;

namespace {

void require(bool holds) {
    if (!holds) {
        std::abort();
    }
}

void check_configuration(std::string_view text) {
    static_cast<void>(platform::decode_configuration(text));
}

void check_server_record(std::string_view text) {
    const fleet::server_record record = platform::decode_server_record("s", text);
    require(record.id == backend_server_name("s"));
}

void check_digest(std::string_view text) {
    const servers::host_digest digest = servers::decode_host_digest(text);
    require(servers::decode_host_digest(servers::encode_host_digest(digest)) == digest);
}

void check_relayed_configuration(std::string_view text) {
    const auto decode = [](std::string_view bytes) {
        const boost::json::value document = json::parse(bytes);
        return gossip::decode_relayed_configuration(json::as_object(document, "datagram"));
    };
    const gossip::relayed_configuration changes = decode(text);
    require(decode(gossip::encode_relayed_configuration(changes)) == changes);
}

void check_lease_record(std::string_view text) {
    const coordination::store_lease_record record = coordination::decode_store_lease_record(text);
    require(coordination::decode_store_lease_record(coordination::encode_store_lease_record(record)) == record);
}

void check_usage_record(std::string_view text) {
    static_cast<void>(coordination::decode_usage_record(text));
}

void check_report_book(std::string_view text) {
    static_cast<void>(coordination::decode_report_state(text));
}

/// A stream is split into the same events regardless of how its bytes are chunked.
void check_events(std::string_view stream) {
    servers::event_splitter whole;
    whole.add_bytes(stream);
    const std::string events = whole.take_events();
    servers::event_splitter pieces;
    std::string passed;
    for (std::size_t start = 0; start < stream.size(); ++start) {
        pieces.add_bytes(stream.substr(start, 1));
        passed += pieces.take_events();
    }
    require(passed == events);
    require(pieces.get_last_id() == whole.get_last_id());
}

/// A page of a listing either names the key after which the next one begins, or is the last one.
void check_listing(std::string_view text) {
    platform::store_listing listing;
    listing.add_page(text, 1);
    require(listing.is_complete() || !listing.get_last_key().empty());
    for (const platform::keyed_record& record : listing.take_page().records) {
        require(!record.key.empty() && record.value.has_value());
    }
}

using check = void (*)(std::string_view);
constexpr std::array<check, 9> checks{check_configuration, check_server_record,         check_digest,
                                      check_lease_record,  check_usage_record,          check_report_book,
                                      check_events,        check_relayed_configuration, check_listing};

} // namespace

/// The first byte of the input selects the check, and the other bytes are its input: a record of the store, a datagram
/// of another host, or a stream of events. The input is either rejected as malformed or satisfies the check.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    if (size == 0) {
        return 0;
    }
    const std::string_view text(reinterpret_cast<const char*>(data) + 1, size - 1);
    // The digits "0" to "8" select the checks in their order.
    constexpr unsigned selectors = 16;
    try {
        checks.at(data[0] % selectors % checks.size())(text);
    } catch (const malformed_message_error&) {
        return 0;
    }
    return 0;
}
