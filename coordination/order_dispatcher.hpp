#pragma once

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "coordination/lease.hpp"
#include "coordination/order_fold.hpp"

namespace dragonflywell::coordination {

/// What a receiver said to one send.
enum class order_reply {
    applied,
    /// Certainly without effect, now and later.
    rejected,
    /// The receiver has seen a newer fencing number; without effect.
    stale_fencing_number,
    /// No answer, or one that says nothing: the order may take effect at any later time.
    unknown,
};

/// What a receiver holds under an idempotency key.
enum class order_query_result { applied, not_seen, unknown };

/// Gives orders to engines or to an interface of the platform.
///
/// Thread safety: the ledger calls it from its own thread only.
class order_receiver {
public:
    order_receiver() = default;
    order_receiver(const order_receiver&) = delete;
    order_receiver& operator=(const order_receiver&) = delete;
    order_receiver(order_receiver&&) = delete;
    order_receiver& operator=(order_receiver&&) = delete;
    virtual ~order_receiver() = default;

    /// Sends once, without any retry of its own, and returns within `deadline`. Reports faults as `unknown`.
    virtual order_reply send(const order& value, const fencing_token& token, duration deadline) = 0;

    /// Asks what the receiver holds under the order's idempotency key. Has no effect.
    virtual order_query_result query(const order& value) = 0;
};

/// Knows which processes can never again send anything. Not thread safe.
class host_liveness {
public:
    host_liveness() = default;
    host_liveness(const host_liveness&) = delete;
    host_liveness& operator=(const host_liveness&) = delete;
    host_liveness(host_liveness&&) = delete;
    host_liveness& operator=(host_liveness&&) = delete;
    virtual ~host_liveness() = default;

    /// Returns true only when that incarnation is gone for good and all it sent has arrived or never will. A silent or
    /// unreachable one is not gone.
    [[nodiscard]] virtual bool has_terminated(const writer_id& sender) const = 0;
};

/// What became of a submitted order.
enum class order_status {
    applied,
    rejected,
    stale_fencing_number,
    /// Sent, without a known outcome. The subject is held until `reconcile` finds one.
    unknown,
    /// Not sent: this process does not hold the lease, or too little of it is left.
    no_authority,
    /// Not sent: another send on the subject may still take effect.
    blocked,
    /// Not sent: the intent could not be read back.
    log_unavailable,
};

struct order_result {
    order_status status{};
    /// The intent that was sent, when one was.
    std::optional<log_offset> intent;
};

/// Gives orders under a lease, each of which is in the log before it is sent.
///
/// A new holder thereby knows every order of its predecessors that may still take effect. Not thread safe.
class order_dispatcher {
public:
    order_dispatcher(const order_dispatcher&) = delete;
    order_dispatcher& operator=(const order_dispatcher&) = delete;
    order_dispatcher(order_dispatcher&&) = delete;
    order_dispatcher& operator=(order_dispatcher&&) = delete;
    virtual ~order_dispatcher() = default;

    /// Preconditions: all arguments outlive the ledger; `stream` folds the records of the lease's scope and has not
    /// been polled yet.
    order_dispatcher(folded_stream& stream, lease_candidate& lease, order_receiver& receiver,
                     const host_liveness& hosts);

    /// Records the order, sends it at most once and records the outcome.
    ///
    /// An order with the key of the subject's unresolved one completes that one as it was logged. An unreachable log is
    /// a status and no exception. Precondition: a key is not used again once its order was resolved. Throws
    /// `malformed_message_error` for a body with fractions.
    order_result submit(const order& value);

    /// Returns the orders that may still take effect, whoever sent them, as of the last poll of the stream.
    [[nodiscard]] std::vector<unresolved_order> get_unresolved() const;

    /// Records every outcome that can be known: own answers not yet logged, intents never sent, orders seen at their
    /// receiver, senders gone for good. Call it regularly while the lease is held.
    void reconcile();

protected:
    // Each of these is one safeguard. They are virtual so that the fault matrix can take one out and show that its
    // checker notices.

    /// Returns whether an order may be sent beside what is unresolved on its subject.
    [[nodiscard]] virtual bool may_send(const order& value, const unresolved_order* existing,
                                        const fencing_token& token) const;

    /// Returns whether an intent that was read back holds its subject.
    [[nodiscard]] virtual bool is_accepted(const order& value, const submit_result& intent) const;

    /// Returns whether the lease still allows to send under `token`.
    [[nodiscard]] virtual bool has_authority(const fencing_token& token) const;

    /// Returns whether an effect that is seen at the receiver shows that nothing of the order is on its way any more.
    [[nodiscard]] virtual bool is_resolved_by_sight(const unresolved_order& existing) const;

private:
    /// An outcome that the log has not confirmed yet. Own sends are facts and need no fence.
    struct unlogged_outcome {
        order_outcome content;
        std::optional<fencing_token> fence;
    };

    [[nodiscard]] order_query_result query_existing(const unresolved_order& existing, const fencing_token& token);
    order_result append_and_send(const order& value, const fencing_token& token);
    order_result send_once(const order& value, log_offset intent, const fencing_token& token);
    void resolve(const unresolved_order& existing, const fencing_token& token);
    void note_unsent_intents();
    void forget_resolved_sends();
    bool flush_outcomes();

    folded_stream* m_stream;
    lease_candidate* m_lease;
    order_receiver* m_receiver;
    const host_liveness* m_hosts;
    order_fold m_fold;
    /// Intents that were handed to the receiver by this process and are still unresolved in the log.
    std::set<log_offset> m_sent;
    std::map<log_offset, unlogged_outcome> m_unlogged;
};

} // namespace dragonflywell::coordination
