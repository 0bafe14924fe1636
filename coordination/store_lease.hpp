#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "core/clock.hpp"

namespace dragonflywell::coordination {

/// What a record of the lease's topic says.
struct store_lease_record {
    std::string holder;
    /// Life of the holder's process.
    std::uint64_t incarnation{};
    /// Number of the claim that this record renews; nothing for a claim.
    std::optional<std::uint64_t> renewed_fencing_number;
    bool is_release{false};

    friend bool operator==(const store_lease_record&, const store_lease_record&) = default;
};

[[nodiscard]] std::string encode_store_lease_record(const store_lease_record& record);
/// Throws `malformed_message_error`.
[[nodiscard]] store_lease_record decode_store_lease_record(std::string_view text);

/// A record and where it stands in the topic.
struct lease_topic_entry {
    std::uint64_t offset{};
    store_lease_record record;
};

struct store_lease_options {
    std::string holder;
    std::uint64_t incarnation{};
    /// How long a claim or renewal lasts, counted by the holder from before it was sent.
    duration length{};
    /// How long after the holder before can have acted last a new one acts, so that they don't take turns within it.
    duration takeover_delay{};
    /// What a challenger waits beyond the length, for clocks that run apart and for the way of an answer.
    duration margin{std::chrono::milliseconds(500)};
    /// How long the holder may not be heard before the topic is read again.
    duration holder_timeout{std::chrono::milliseconds(800)};
    /// How long a free lease is left to others. Differs from candidate to candidate, so that not all claim it at once,
    /// where each call costs and all but one are in vain.
    duration acquisition_delay{};
    /// Time that must be left for authority to be given, so that a call is over before the lease is.
    duration min_time_left{std::chrono::milliseconds(300)};
};

/// One candidate for a lease that is kept as a topic of the store with conditional appends.
///
/// The topic's order decides who holds it: each record is appended only where the topic still ends as the candidate has
/// read it. Clocks decide only when to try and when to stop early. The number of a claim, its offset plus one, fences
/// those before it. Pure state without I/O; not thread safe.
class store_lease {
public:
    /// Precondition: `time` outlives the lease.
    store_lease(const clock_source& time, store_lease_options options);

    /// What is to be done next.
    enum class action : std::uint8_t { nothing, read, append };

    /// Returns what to do now. After `read`, call `on_read` or nothing at all; after `append`, send `get_draft()` and
    /// call one of the three functions for its result.
    [[nodiscard]] action get_next_action() const;

    /// Returns where to read on.
    [[nodiscard]] std::uint64_t get_end() const noexcept { return m_end; }

    /// Takes what was read from `get_end()` on, and where the topic ended.
    void on_read(std::span<const lease_topic_entry> records, std::uint64_t end);

    /// Returns the record to append at `get_end()`, and notes that it is about to be sent.
    [[nodiscard]] store_lease_record start_append();
    /// The record stands at `get_end()`.
    void on_appended();
    /// The topic ended elsewhere; nothing was appended.
    void on_conflict();
    /// Nobody knows whether it was appended.
    void on_result_unknown();

    /// Notes that the holder says that it holds the lease. While it does so, there is nothing to read or to claim; that
    /// it is heard only makes this candidate wait longer.
    void record_holder_heartbeat();

    /// Gives the lease up at the next append, and makes no further claim.
    void resign() noexcept { m_is_resigning = true; }
    /// Gives the lease up at once, because a receiver has seen a newer holder.
    void on_superseded();

    /// Returns the fence under which the holder may act now, or nothing.
    [[nodiscard]] std::optional<std::uint64_t> get_fencing_number() const;
    /// Returns whether this candidate holds the lease, also while it may not act yet.
    [[nodiscard]] bool is_held() const;

private:
    [[nodiscard]] bool is_own(const store_lease_record& record) const;
    /// Returns whether the newest record known is of this life of the candidate, so that nobody else has held the lease
    /// since.
    [[nodiscard]] bool is_latest_own() const;
    /// Returns since when the lease is free, as far as known; nothing while someone holds it.
    [[nodiscard]] std::optional<steady_time> get_vacant_since() const;
    /// Returns how much longer a new holder keeps still, counted from when the one before can have acted last.
    [[nodiscard]] duration get_quiet_left() const;
    void take(const lease_topic_entry& placed);
    void hold(std::uint64_t offset, const store_lease_record& record);

    const clock_source* m_time;
    store_lease_options m_options;
    std::uint64_t m_end{0};
    bool m_has_read{false};
    bool m_needs_read{true};
    std::optional<steady_time> m_first_read_at;
    std::optional<steady_time> m_last_read_at;
    std::optional<steady_time> m_holder_heard_at;
    std::optional<lease_topic_entry> m_latest;
    /// When the latest record was first seen here, or sent from here.
    steady_time m_latest_seen_at{};
    /// When this candidate sent its newest record.
    std::optional<steady_time> m_last_sent_at;

    struct pending_append {
        store_lease_record record;
        /// By the clock that counts suspension, like all times of the own lease.
        steady_time sent_at{};
    };
    std::optional<pending_append> m_pending;

    struct held_lease {
        std::uint64_t fence{};
        steady_time expires_at{};
        steady_time acts_from{};
    };
    std::optional<held_lease> m_held;
    bool m_is_resigning{false};
};

} // namespace dragonflywell::coordination
