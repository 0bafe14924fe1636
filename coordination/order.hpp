#pragma once

#include <boost/json/object.hpp>
#include <string>
#include <vector>

#include "coordination/record.hpp"

namespace dragonflywell::coordination {

/// Whether a receiver refuses an order whose fencing number is lower than one that it has already seen.
enum class receiver_kind { checks_fencing, ignores_fencing };

/// What happens if the same order reaches its receiver a second time.
enum class duplicate_handling {
    /// It does harm, so the order is sent once and never again.
    never,
    /// It has no further effect, but the receiver keeps no idempotency keys.
    idempotent,
    /// The receiver keeps idempotency keys, drops duplicates and answers queries, as the platform's interfaces do.
    deduplicated,
};

/// A command to an engine or to an interface of the platform.
struct order {
    /// Only one order per subject may be in flight. A subject is one engine, or one ordering or reporting task.
    std::string subject;
    std::string kind;
    /// Contains no fractions, so that every send is identical byte for byte: see `is_exact`.
    boost::json::object body;
    /// Two orders with the same key are the same order.
    std::string idempotency_key;
    receiver_kind receiver{receiver_kind::ignores_fencing};
    duplicate_handling duplicates{duplicate_handling::never};
};

/// One attempt to send an order, which may still take effect.
struct order_send {
    /// Offset of the intent record; it identifies the send.
    log_offset intent{};
    writer_id sender;
    fencing_token token;

    friend bool operator==(const order_send&, const order_send&) = default;
};

/// An order that has at least one send without a known outcome.
struct unresolved_order {
    order value;
    std::vector<order_send> sends;
    /// How many sends were recorded in total, including resolved ones but without those that were never sent. If there
    /// are several, a query of the receiver cannot tell which of them took effect.
    std::size_t total_sends{};
};

/// The outcome of one send, as the log records it.
enum class send_outcome {
    /// The receiver replied that the order has taken effect.
    applied,
    /// The receiver replied that the order has no effect.
    rejected,
    /// The receiver had seen a newer fencing number, so the order has no effect.
    stale_fencing_number,
    /// The sender did not send the order, so it has no effect.
    not_sent,
    /// A query found the order at the receiver under its key, although no reply to the send arrived.
    found_applied,
    /// The sender has terminated and nothing that it sent can arrive any more.
    sender_terminated,
};

/// Types of the records that announce a send and that record its outcome.
inline constexpr std::string_view order_intent_type = "order.intent";
inline constexpr std::string_view order_outcome_type = "order.outcome";

/// The content of an outcome record.
struct order_outcome {
    std::string subject;
    log_offset intent{};
    send_outcome outcome{};
};

/// Encode and decode record bodies. The decoders throw `malformed_message_error`, and so does `encode_order` for a body
/// with fractions. Thread safe.
[[nodiscard]] boost::json::object encode_order(const order& value);
[[nodiscard]] order decode_order(const boost::json::object& body);
[[nodiscard]] boost::json::object encode_outcome(const order_outcome& value);
[[nodiscard]] order_outcome decode_outcome(const boost::json::object& body);

} // namespace dragonflywell::coordination
