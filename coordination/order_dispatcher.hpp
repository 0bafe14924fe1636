#pragma once

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "coordination/lease.hpp"
#include "coordination/order_fold.hpp"

namespace dragonflywell::coordination {

/// The receiver's reply to one send.
enum class order_reply {
    applied,
    /// The order has no effect and will have none.
    rejected,
    /// The receiver has seen a newer fencing number, so the order has no effect.
    stale_fencing_number,
    /// No reply, or an inconclusive one. The order may take effect at any later time.
    unknown,
};

/// The result of a query for an idempotency key at a receiver.
enum class order_query_result { applied, not_seen, unknown };

/// Sends orders to engines or to an interface of the platform.
///
/// Thread safety: the order dispatcher calls it from its own thread only.
class order_receiver {
public:
    order_receiver() = default;
    order_receiver(const order_receiver&) = delete;
    order_receiver& operator=(const order_receiver&) = delete;
    order_receiver(order_receiver&&) = delete;
    order_receiver& operator=(order_receiver&&) = delete;
    virtual ~order_receiver() = default;

    /// Sends the order once, without retrying, and returns within `deadline`. Reports faults as `unknown`.
    virtual order_reply send(const order& value, const fencing_token& token, duration deadline) = 0;

    /// Asks the receiver whether it has applied the order with this idempotency key. Has no side effect.
    virtual order_query_result query(const order& value) = 0;
};

/// Knows which process incarnations have terminated. Not thread safe.
class host_liveness {
public:
    host_liveness() = default;
    host_liveness(const host_liveness&) = delete;
    host_liveness& operator=(const host_liveness&) = delete;
    host_liveness(host_liveness&&) = delete;
    host_liveness& operator=(host_liveness&&) = delete;
    virtual ~host_liveness() = default;

    /// Returns true only if that incarnation has terminated and everything that it sent has arrived or never will. An
    /// incarnation that is unresponsive or unreachable has not necessarily terminated.
    [[nodiscard]] virtual bool has_terminated(const writer_id& sender) const = 0;
};

/// The status of a submitted order.
enum class order_status {
    applied,
    rejected,
    stale_fencing_number,
    /// The order was sent and its outcome is unknown. The subject stays blocked until `reconcile` finds the outcome.
    unknown,
    /// The order was not sent: this process does not hold the lease, or too little time of it is left.
    no_authority,
    /// The order was not sent: another send on the subject may still take effect.
    blocked,
    /// The order was not sent: its intent could not be read back from the log.
    log_unavailable,
};

/// The result of submitting an order.
struct order_result {
    order_status status{};
    /// Offset of the intent that was sent, if one was.
    std::optional<log_offset> intent;
};

/// Sends orders under a lease, and writes the intent of each to the log before sending it.
///
/// A new holder of the lease therefore knows every order of its predecessors that may still take effect. Not thread
/// safe.
class order_dispatcher {
public:
    order_dispatcher(const order_dispatcher&) = delete;
    order_dispatcher& operator=(const order_dispatcher&) = delete;
    order_dispatcher(order_dispatcher&&) = delete;
    order_dispatcher& operator=(order_dispatcher&&) = delete;
    virtual ~order_dispatcher() = default;

    /// Preconditions: all arguments outlive this object; `stream` folds the records of the lease's scope and was not
    /// polled yet.
    order_dispatcher(folded_stream& stream, lease_candidate& lease, order_receiver& receiver,
                     const host_liveness& hosts);

    /// Records the intent, sends the order at most once and records the outcome.
    ///
    /// If the subject has an unresolved order with the same key, this call completes that one as it was logged. An
    /// unavailable log is reported as a status, not as an exception. Precondition: a key is not used again once its
    /// order is resolved. Throws `malformed_message_error` for a body with fractions.
    order_result submit(const order& value);

    /// Returns the orders that may still take effect, from all senders, as of the last poll of the stream.
    [[nodiscard]] std::vector<unresolved_order> get_unresolved() const;

    /// Records every outcome that can be determined: replies that are not logged yet, intents that were never sent,
    /// orders that a query finds at their receiver, and senders that have terminated. Call it regularly while the lease
    /// is held.
    void reconcile();

protected:
    // Each of these functions is one safeguard. They are virtual so that the fault matrix test can disable one of them
    // and show that its checker detects this.

    /// Returns whether an order may be sent while `existing` is unresolved on its subject.
    [[nodiscard]] virtual bool may_send(const order& value, const unresolved_order* existing,
                                        const fencing_token& token) const;

    /// Returns whether an intent that was read back is valid and is the one that may be sent on its subject.
    [[nodiscard]] virtual bool is_accepted(const order& value, const submit_result& intent) const;

    /// Returns whether this process still has authority under `token`.
    [[nodiscard]] virtual bool has_authority(const fencing_token& token) const;

    /// Returns whether a query that finds the order at its receiver proves that no send of it is still in flight.
    [[nodiscard]] virtual bool is_resolved_by_query(const unresolved_order& existing) const;

private:
    /// An outcome that the log has not confirmed yet. The outcome of a send of this process is a fact and needs no
    /// fencing token.
    struct unconfirmed_outcome {
        order_outcome content;
        std::optional<fencing_token> fence;
    };

    [[nodiscard]] order_query_result query_existing(const unresolved_order& existing, const fencing_token& token);
    order_result append_and_send(const order& value, const fencing_token& token);
    order_result send_once(const order& value, log_offset intent, const fencing_token& token);
    void resolve(const unresolved_order& existing, const fencing_token& token);
    void record_unsent_intents();
    void forget_resolved_sends();
    bool flush_outcomes();

    folded_stream* m_stream;
    lease_candidate* m_lease;
    order_receiver* m_receiver;
    const host_liveness* m_hosts;
    order_fold m_fold;
    /// Intents that this process has sent to the receiver and that are still unresolved in the log.
    std::set<log_offset> m_sent;
    std::map<log_offset, unconfirmed_outcome> m_unconfirmed_outcomes;
};

} // namespace dragonflywell::coordination
