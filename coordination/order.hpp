#pragma once

#include <boost/json/object.hpp>
#include <string>
#include <vector>

#include "coordination/record.hpp"

namespace dragonflywell::coordination {

/// Whether a receiver refuses an order whose fencing number is older than one it has seen.
enum class receiver_kind { checks_fencing, ignores_fencing };

/// What a second arrival of the same order does.
enum class duplicate_handling {
    /// It does harm: the order is sent once and never again.
    never,
    /// Applying it twice equals applying it once, but the receiver keeps no keys.
    idempotent,
    /// The receiver keeps idempotency keys, drops repeats and answers queries, as the platform's interfaces do.
    deduplicated,
};

/// One order to an engine or to an interface of the platform.
struct order {
    /// What may have only one order on its way: one engine, or one ordering or reporting subject.
    std::string subject;
    std::string kind;
    /// Holds no fractions, so that every send is the same to the letter: see `has_no_fractions`.
    boost::json::object body;
    /// Two orders with the same key are the same order.
    std::string idempotency_key;
    receiver_kind receiver{receiver_kind::ignores_fencing};
    duplicate_handling duplicates{duplicate_handling::never};
};

/// One send of an order that may still take effect.
struct order_send {
    /// Offset of the intent; identifies the send.
    log_offset intent{};
    writer_id sender;
    fencing_token token;

    friend bool operator==(const order_send&, const order_send&) = default;
};

/// An order of which at least one send has no known outcome.
struct unresolved_order {
    order value;
    std::vector<order_send> sends;
    /// How many sends were ever recorded, resolved ones included. A query tells nothing about a single one of several.
    std::size_t total_sends{};
};

/// What the log says about one send.
enum class send_outcome {
    /// The receiver answered that it has taken effect.
    applied,
    /// The receiver answered that it has no effect.
    rejected,
    /// The receiver had seen a newer fencing number; no effect.
    stale_fencing_number,
    /// The sender decided not to send; no effect.
    not_sent,
    /// The receiver holds the order under its key, though no answer to the send was seen.
    seen_applied,
    /// The sender is gone for good, so nothing of it can arrive any more.
    sender_gone,
};

inline constexpr std::string_view order_intent_type = "order.intent";
inline constexpr std::string_view order_outcome_type = "order.outcome";

/// An outcome record's content.
struct order_outcome {
    std::string subject;
    log_offset intent{};
    send_outcome outcome{};
};

/// Codecs of record bodies. Decoders throw `malformed_message_error`, and so does `encode_order` for a body with
/// fractions. Thread safe.
[[nodiscard]] boost::json::object encode_order(const order& value);
[[nodiscard]] order decode_order(const boost::json::object& body);
[[nodiscard]] boost::json::object encode_outcome(const order_outcome& value);
[[nodiscard]] order_outcome decode_outcome(const boost::json::object& body);

} // namespace dragonflywell::coordination
