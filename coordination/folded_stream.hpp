#pragma once

#include <map>
#include <span>
#include <string>
#include <vector>

#include "coordination/append_log.hpp"
#include "coordination/record_fold.hpp"
#include "coordination/snapshot.hpp"

namespace dragonflywell::coordination {

/// Receives the valid records of one stream in offset order.
class record_observer {
public:
    record_observer() = default;
    record_observer(const record_observer&) = delete;
    record_observer& operator=(const record_observer&) = delete;
    record_observer(record_observer&&) = delete;
    record_observer& operator=(record_observer&&) = delete;
    virtual ~record_observer() = default;

    /// Called by the thread that polls. Throws `malformed_message_error` for a body of the wrong form,
    /// which every reader then ignores alike; the observer's state must be unchanged in that case.
    virtual void on_record(log_offset offset, const record& value) = 0;
};

/// An observer whose state survives the log's retention as part of snapshots.
class snapshot_observer : public record_observer {
public:
    /// Returns a name that is unique among the observers of the stream and never changes.
    [[nodiscard]] virtual std::string_view get_state_name() const = 0;

    /// Returns the whole state. Equal states must give equal values, whatever the path to them was.
    [[nodiscard]] virtual boost::json::value save_state() const = 0;

    /// Replaces the state. Throws `malformed_message_error`; the state must be unchanged in that case.
    virtual void restore_state(const boost::json::value& state) = 0;
};

/// The log has forgotten records that were not read yet, and no snapshot bridges the gap. The state cannot be known.
class log_gap_error : public error {
public:
    using error::error;
};

/// What a writer has to say; writer and sequence are filled in when it is submitted.
struct record_draft {
    std::string type;
    boost::json::object body;
    std::optional<record_condition> condition;
    std::optional<fencing_token> fence;
};

/// Where a submitted record stands after it was read back.
struct submit_result {
    log_offset offset{};
    record_status status{};
};

/// One stream of the log, folded by this process, and the only way in which it writes to that stream.
///
/// Nothing that was submitted counts before it was read back as valid. Not thread safe: one control thread owns it.
class folded_stream {
public:
    /// Preconditions: `log` outlives the stream; `self` is not used by another living process.
    folded_stream(append_log& log, std::string name, writer_id self);

    /// Preconditions: the observer outlives the stream and is added before the first poll. With an observer that has no
    /// snapshots, the stream has none either and cannot be read once the log forgets its beginning.
    void add_observer(record_observer& observer);
    void add_observer(snapshot_observer& observer);

    /// Goes on at the oldest kept record where the log has forgotten the next one.
    /// Precondition: no observer's state depends on a record as old as the log's retention.
    void allow_gaps() noexcept { m_allows_gaps = true; }

    /// Reads to the end of the log and folds. Where the log has forgotten the next record, goes on from its newest
    /// snapshot. Throws `log_unavailable_error`, and `log_gap_error` without a snapshot that fits.
    void poll();

    /// Returns whether every observer takes part in snapshots.
    [[nodiscard]] bool has_snapshots() const noexcept { return m_observers.size() == m_parts.size(); }

    /// Returns the state as of the next offset. Precondition: `has_snapshots()`.
    [[nodiscard]] fold_snapshot take_snapshot() const;

    /// Goes on from a snapshot if it is newer than what was read; returns whether it was.
    /// Precondition: `has_snapshots()`. Throws `malformed_message_error`; nothing has changed in that case.
    bool restore(const fold_snapshot& snapshot);

    /// Restores the copy that `source` has, for a start while the log is down; returns whether there was a newer one.
    /// Precondition and errors as for `restore`.
    bool start_from(snapshot_source& source);

    /// Appends the drafts and reads them back; returns a result for each.
    /// Throws `log_unavailable_error` when some could not be read back: their effect is then unknown, and a later
    /// poll may still see them.
    std::vector<submit_result> submit(std::span<const record_draft> drafts);

    [[nodiscard]] const record_fold& get_fold() const noexcept { return m_fold; }
    [[nodiscard]] const std::string& get_name() const noexcept { return m_name; }
    [[nodiscard]] const writer_id& get_writer() const noexcept { return m_self; }
    /// Returns the offset that the next read starts from.
    [[nodiscard]] log_offset get_next_offset() const noexcept { return m_next; }
    /// Returns the sequence of the newest record that was submitted here.
    [[nodiscard]] std::uint64_t get_last_sequence() const noexcept { return m_last_sequence; }
    /// Returns how many records could not be decoded.
    [[nodiscard]] std::uint64_t get_malformed_count() const noexcept { return m_malformed; }

private:
    void apply(const log_entry& entry);
    void cross_gap(log_offset oldest);
    void restore_observers(const boost::json::object& states);

    append_log* m_log;
    std::string m_name;
    writer_id m_self;
    record_fold m_fold;
    std::vector<record_observer*> m_observers;
    std::vector<snapshot_observer*> m_parts;
    log_offset m_next{0};
    bool m_allows_gaps{false};
    std::uint64_t m_last_sequence{0};
    std::uint64_t m_malformed{0};
    /// Results of the own records that a submission is waiting for, by sequence.
    std::map<std::uint64_t, submit_result> m_own_results;
};

} // namespace dragonflywell::coordination
