#include "servers/server_call.hpp"

#include <memory>
#include <utility>

namespace dragonflywell::servers {

std::optional<server_call> try_begin_call(serving_state& state, const backend_server_name& server) {
    std::optional<send_permit> permit = state.limits.try_acquire(server);
    if (!permit) {
        return std::nullopt;
    }
    const fleet::listed_server* listed = state.eligibility.get_list().find(server);
    const auto incarnation = static_cast<std::uint64_t>(listed == nullptr ? 0 : listed->record.started_at_ms);
    const steady_time sent_at = state.time.now();
    server_call call;
    call.may_send = [own = std::make_shared<send_permit>(std::move(*permit))] { return own->try_use(); };
    call.on_response_head = [&state, server, incarnation, sent_at](const http::response_header<>& head) {
        // A response of another server says nothing of this one.
        if (state.codec.classify(head) != response_kind::wrong_server) {
            state.apply_notice(server, incarnation, state.codec.decode_notice(head), sent_at);
        }
    };
    return call;
}

} // namespace dragonflywell::servers
