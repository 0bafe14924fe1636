#pragma once

#include <map>
#include <optional>
#include <string>

#include "coordination/folded_stream.hpp"
#include "core/clock.hpp"

namespace dragonflywell::coordination {

struct lease_options {
    std::string scope;
    /// How long a claim or renewal lasts, counted by the holder from before it sent it.
    duration length{std::chrono::seconds(10)};
    /// How long before expiry the holder renews.
    duration renew_before{std::chrono::seconds(6)};
    /// What a challenger waits beyond the length, to cover the drift of both clocks.
    duration drift_margin{std::chrono::seconds(1)};
    /// The longest time an order may be on its way. Authority ends this long before the lease does.
    duration order_deadline{std::chrono::seconds(2)};
};

/// Throws `invalid_input_error` that lists every option which would let authority lapse or overlap. Thread safe.
void check_lease_options(const lease_options& options);

/// One candidate for the lease of a scope.
///
/// Authority comes from the log alone; clocks only decide when to try and when to stop early. Not thread safe.
class lease_candidate {
public:
    /// Preconditions: `stream` and `time` outlive the holder; `stream` folds the records of the scope and has no other
    /// holder for it. Throws `invalid_input_error` as `check_lease_options` does.
    lease_candidate(folded_stream& stream, const clock_source& time, lease_options options);

    /// Reads the stream, then renews the own lease or claims one that has lapsed.
    /// Throws `log_unavailable_error`; the lease then runs out unless a later tick succeeds.
    void tick();

    /// Gives the lease up for a graceful stop, so that another host need not wait. Authority ends at once, also when
    /// this throws `log_unavailable_error`; it may then be called again.
    void release();

    /// Returns the fencing token while orders may be sent, else nothing.
    [[nodiscard]] std::optional<fencing_token> get_authority() const;

    /// Returns the longest time an order may be on its way.
    [[nodiscard]] duration get_order_deadline() const noexcept { return m_options.order_deadline; }

private:
    [[nodiscard]] bool is_own() const;
    [[nodiscard]] bool is_lapsed() const;
    void observe();
    void renew();
    void claim();
    void submit_attempt(const record_draft& draft);

    folded_stream* m_stream;
    const clock_source* m_time;
    lease_options m_options;
    /// When the newest record of the lease was first read here, and which one that was.
    std::optional<log_offset> m_observed;
    steady_time m_observed_at{};
    /// When the newest own claim or renewal that took effect was about to be sent.
    steady_time m_sent_at{};
    std::optional<fencing_token> m_held;
    /// Fencing number of the own lease that was released; never taken up again, even if the release was lost.
    std::optional<log_offset> m_given_up;
    /// When claims and renewals without a known effect were about to be sent, by sequence. Their answer may be lost
    /// after the effect, which a later poll then shows.
    std::map<std::uint64_t, steady_time> m_pending;
};

} // namespace dragonflywell::coordination
