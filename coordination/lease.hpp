#pragma once

#include <map>
#include <optional>
#include <string>

#include "coordination/folded_stream.hpp"
#include "core/clock.hpp"

namespace dragonflywell::coordination {

struct lease_options {
    std::string scope;
    /// How long an acquisition or a renewal lasts. The holder counts from the moment before it sent the record.
    duration length{std::chrono::seconds(10)};
    /// The holder renews the lease this long before it expires.
    duration renew_before{std::chrono::seconds(6)};
    /// A challenger waits this much longer than `length`, which covers the drift of both clocks.
    duration drift_margin{std::chrono::seconds(1)};
    /// The longest time that an order may be in flight. Authority ends this long before the lease expires.
    duration order_deadline{std::chrono::seconds(2)};
};

/// Throws `invalid_input_error` listing every option that would let the lease expire between renewals or let the
/// authority of two holders overlap. Thread safe.
void check_lease_options(const lease_options& options);

/// A candidate for the lease of one scope.
///
/// The log alone decides who holds the lease. Clocks only decide when a candidate tries to acquire it and when a holder
/// stops using it early. Not thread safe.
class lease_candidate {
public:
    /// Preconditions: `stream` and `time` outlive this object; `stream` folds the records of the scope and has no other
    /// candidate for it. Throws `invalid_input_error` as `check_lease_options` does.
    lease_candidate(folded_stream& stream, const clock_source& time, lease_options options);

    /// Reads the stream, then renews the lease if this process holds it, or acquires it if it has expired.
    /// Throws `log_unavailable_error`; the lease then expires unless a later tick succeeds.
    void tick();

    /// Releases the lease for a graceful stop, so that another host can acquire it without waiting for it to expire.
    /// Authority ends at once, even if this throws `log_unavailable_error`; the caller may then try again.
    void release();

    /// Returns the fencing token while this process has authority, that is, while it may send orders; otherwise returns
    /// nothing.
    [[nodiscard]] std::optional<fencing_token> get_authority() const;

    /// Returns the longest time that an order may be in flight.
    [[nodiscard]] duration get_order_deadline() const noexcept { return m_options.order_deadline; }

private:
    [[nodiscard]] bool holds_lease() const;
    [[nodiscard]] bool is_vacant() const;
    void observe_lease();
    void renew_lease();
    void acquire_lease();
    void submit_and_observe(const record_draft& draft);

    folded_stream* m_stream;
    const clock_source* m_time;
    lease_options m_options;
    /// Offset of the newest record of the lease that was read here, and the time of that read.
    std::optional<log_offset> m_observed;
    steady_time m_observed_at{};
    /// When this process was about to send its newest acquisition or renewal that took effect.
    steady_time m_sent_at{};
    std::optional<fencing_token> m_held;
    /// Fencing number of the lease that this process released. It is never used again, even if the release record was
    /// lost.
    std::optional<log_offset> m_released_number;
    /// Send times of acquisitions and renewals whose effect is unknown, by sequence number. The response can be lost
    /// after the record took effect; a later poll then finds the record.
    std::map<std::uint64_t, steady_time> m_pending;
};

} // namespace dragonflywell::coordination
