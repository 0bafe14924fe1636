#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "core/clock.hpp"
#include "core/log_position.hpp"

namespace dragonflywell::coordination {

/// One record in the topic of a lease.
struct store_lease_record {
    std::string holder;
    /// Incarnation number of the holder's process; it grows with each start.
    std::uint64_t incarnation{};
    /// Fencing number of the acquisition that this record renews or releases; absent in an acquisition.
    std::optional<std::uint64_t> renewed_fencing_number;
    bool is_release{false};
    /// Era of the store that its writer knew. In the log of a later era the record grants nothing: either it was copied
    /// from the earlier era, or it arrived late and was appended because the offsets happened to agree.
    std::uint64_t era{};

    friend bool operator==(const store_lease_record&, const store_lease_record&) = default;
};

[[nodiscard]] std::string encode_store_lease_record(const store_lease_record& record);
/// Throws `malformed_message_error`.
[[nodiscard]] store_lease_record decode_store_lease_record(std::string_view text);

/// Returns the fencing number of the acquisition at a position of the lease topic. It grows with era and offset, so
/// that no acquisition gets the number of another one, even where a later era assigns the offset again. Returns nothing
/// for a position whose number would not survive as a JSON number; no lease can be held there.
[[nodiscard]] std::optional<std::uint64_t> make_fencing_number(const log_position& acquired_at);

/// A record together with its offset in the topic.
struct lease_topic_entry {
    std::uint64_t offset{};
    store_lease_record record;
};

struct store_lease_options {
    std::string holder;
    std::uint64_t incarnation{};
    /// How long an acquisition or a renewal lasts. The holder counts from the moment before it sent the record.
    duration length{};
    /// A new holder does not act until this long after the last moment at which the previous holder may have acted, so
    /// that two holders never alternate within this time.
    duration takeover_delay{};
    /// A challenger waits this much longer than `length`, which covers clock drift and the time that a response
    /// travels.
    duration margin{std::chrono::milliseconds(500)};
    /// If no heartbeat of the holder arrives for this long, the candidate reads the topic again. One lost heartbeat
    /// causes no read.
    duration holder_timeout{std::chrono::milliseconds(1300)};
    /// How much longer a candidate in reserve waits for a heartbeat before it reads the topic.
    duration reserve_delay{std::chrono::seconds(2)};
    /// How long a candidate leaves a free lease to the other candidates. Each candidate has a different delay, so that
    /// they do not all try to acquire the lease at once: every call has a cost and all but one would fail.
    duration acquisition_delay{};
    /// Authority is given only while at least this much of the lease is left, so that a call ends before the lease
    /// expires.
    duration min_time_left{std::chrono::milliseconds(300)};
};

/// A candidate for a lease that is stored as a topic of the store, using conditional appends.
///
/// The order of records in the topic decides who holds the lease: a record is appended only if the topic still ends
/// where the candidate last read it. Clocks only decide when a candidate tries to acquire the lease and when a holder
/// stops using it early. The fencing number of an acquisition follows from its position in the topic; it fences off all
/// earlier ones.
///
/// When the store returns from an older copy, the newest records of the topic are gone, and nobody can read who held
/// the lease. Only the holder whose lease has not expired knows that nobody else did, and acquires it anew at once. All
/// other candidates wait as if an unknown holder had renewed the lease just before they first read the topic in the new
/// era. Pure state without I/O; not thread safe.
class store_lease {
public:
    /// Precondition: `time` outlives the lease.
    store_lease(const clock_source& time, store_lease_options options);

    /// The next action that the caller has to take.
    enum class action : std::uint8_t { nothing, read, append };

    /// Returns the action to take now. After `read`, the caller calls `on_read`, or nothing if the read failed. After
    /// `append`, it sends the record that `start_append` returns and then calls exactly one of `on_appended`,
    /// `on_conflict` and `on_result_unknown`.
    [[nodiscard]] action get_next_action() const;

    /// Returns the position from which to read. While its offset is zero, or when the store no longer keeps the records
    /// from there on, the newest record of the topic is enough.
    [[nodiscard]] const log_position& get_end() const noexcept { return m_end; }

    /// Applies the records that were read from `get_end()` on, or the newest record; `end` is the end of the topic at
    /// that time. A result of an earlier era is ignored, one of a later era begins that era.
    void on_read(std::span<const lease_topic_entry> records, const log_position& end);

    /// The store has begun a new era. The lease remains held until it expires, but only a new acquisition extends it.
    /// Does nothing if the era is known.
    void on_era_changed(std::uint64_t era);

    /// Returns the record to append at `get_end()` and remembers that it is about to be sent.
    [[nodiscard]] store_lease_record start_append();
    /// The record was appended at `get_end()`.
    void on_appended();
    /// The topic did not end at `get_end()`; nothing was appended.
    void on_conflict();
    /// It is unknown whether the record was appended.
    void on_result_unknown();

    /// Records a heartbeat in which the holder states that it holds the lease. While heartbeats arrive, this candidate
    /// neither reads nor tries to acquire; a heartbeat can only make it wait longer.
    void record_holder_heartbeat();

    /// Sets whether this candidate leaves a lease whose holder has become silent to other candidates for a while, so
    /// that in a large fleet not every host reads the topic at that moment.
    void set_reserve(bool is_reserve) noexcept { m_is_reserve = is_reserve; }

    /// Releases the lease with the next append, and never tries to acquire it again.
    void resign() noexcept { m_is_resigning = true; }
    /// Stops using the lease at once, because a receiver has seen a newer fencing number.
    void on_superseded();

    /// Returns the fencing number under which this candidate may act now, or nothing if it may not act.
    [[nodiscard]] std::optional<std::uint64_t> get_fencing_number() const;
    /// Returns whether this candidate holds the lease, even if it may not act yet.
    [[nodiscard]] bool is_held() const;
    /// Returns the fencing number with which the uninterrupted holding of the lease began, or nothing if the lease is
    /// not held. It stays the same when the holder acquires the lease anew in a new era, since no other candidate has
    /// held it in between.
    [[nodiscard]] std::optional<std::uint64_t> get_term() const;

private:
    [[nodiscard]] bool is_own(const store_lease_record& record) const;
    /// Returns whether the newest known record of this era was written by this incarnation, so that nobody else has
    /// held the lease since.
    [[nodiscard]] bool is_latest_own() const;
    /// Returns whether a holder of which no record is left may still hold the lease.
    [[nodiscard]] bool is_holder_unknown() const;
    /// Returns whether the lease is held by an acquisition of an earlier era.
    [[nodiscard]] bool is_held_from_earlier_era() const;
    /// Returns since when the lease is free as far as this candidate knows; nothing while it is held.
    [[nodiscard]] std::optional<steady_time> get_vacant_since() const;
    /// Returns how long a new holder still has to wait before it acts, counted from the last moment at which the
    /// previous holder may have acted.
    [[nodiscard]] duration get_takeover_delay_left() const;
    void apply_record(const lease_topic_entry& placed);
    void apply_own_record(std::uint64_t offset, const store_lease_record& record);

    const clock_source* m_time;
    store_lease_options m_options;
    log_position m_end;
    bool m_needs_read{true};
    /// When the topic was first read in the current era.
    std::optional<steady_time> m_first_read_at;
    std::optional<steady_time> m_last_read_at;
    std::optional<steady_time> m_heartbeat_at;
    bool m_has_read_earlier_era{false};
    /// The newest record of the current era.
    std::optional<lease_topic_entry> m_latest;
    /// When the newest record, or a heartbeat of the holder, was first received here, or when it was sent from here.
    /// For an unknown holder, when the topic was first read in the current era.
    steady_time m_latest_at{};
    /// When this candidate sent its newest record.
    std::optional<steady_time> m_last_sent_at;

    struct held_lease {
        std::uint64_t fencing_number{};
        /// Fencing number with which the uninterrupted holding began.
        std::uint64_t term{};
        std::uint64_t era{};
        steady_time expires_at{};
        steady_time may_act_from{};
    };
    struct pending_append {
        store_lease_record record;
        /// Measured by the clock that includes suspension, like all times of a lease that this candidate holds.
        steady_time sent_at{};
        /// The lease of an earlier era that this acquisition continues.
        std::optional<held_lease> continued;
    };
    std::optional<pending_append> m_pending;

    std::optional<held_lease> m_held;
    bool m_is_resigning{false};
    bool m_is_reserve{false};
};

} // namespace dragonflywell::coordination
