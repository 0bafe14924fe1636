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

    /// The thread that polls calls this. Throws `malformed_message_error` for a body of the wrong form, which every
    /// reader then ignores in the same way; the observer's state must be unchanged in that case.
    virtual void on_record(log_offset offset, const record& value) = 0;
};

/// An observer whose state is part of snapshots and so outlives the log's retention.
class snapshot_observer : public record_observer {
public:
    /// Returns a name that is unique among the observers of the stream and never changes.
    [[nodiscard]] virtual std::string_view get_state_name() const = 0;

    /// Returns the whole state. Equal states must give equal values, independent of the records that led to them.
    [[nodiscard]] virtual boost::json::value save_state() const = 0;

    /// Replaces the state. Throws `malformed_message_error`; the state must be unchanged in that case.
    virtual void restore_state(const boost::json::value& state) = 0;
};

/// Thrown if retention has deleted records that were not read yet and no snapshot covers them. The state of the stream
/// is then unknown.
class log_gap_error : public error {
public:
    using error::error;
};

/// A record before submission. The stream fills in the writer and the sequence number.
struct record_draft {
    std::string type;
    boost::json::object body;
    std::optional<record_condition> condition;
    std::optional<fencing_token> fence;
};

/// The result of a submitted record after it was read back.
struct submit_result {
    log_offset offset{};
    record_status status{};
};

/// Reads and folds one stream of the log. This process writes to the stream only through this object.
///
/// A submitted record counts only after it was read back as valid. Not thread safe: one control thread owns this
/// object.
class folded_stream {
public:
    /// Preconditions: `log` outlives the stream; no other running process uses `self`.
    folded_stream(append_log& log, std::string name, writer_id self);

    /// Preconditions: the observer outlives the stream and is added before the first poll. If any observer does not
    /// support snapshots, the stream has none and cannot be read once retention has deleted its beginning.
    void add_observer(record_observer& observer);
    void add_observer(snapshot_observer& observer);

    /// Makes `poll` continue at the oldest record that the log keeps if retention has deleted the next one.
    /// Precondition: no observer's state depends on a record as old as the log's retention.
    void allow_gaps() noexcept { m_allows_gaps = true; }

    /// Reads and folds all records up to the end of the stream. If retention has deleted the next record, restores the
    /// newest snapshot in the log first. Throws `log_unavailable_error`, and `log_gap_error` if no snapshot covers the
    /// gap.
    void poll();

    /// Returns whether every observer supports snapshots.
    [[nodiscard]] bool has_snapshots() const noexcept { return m_observers.size() == m_snapshot_observers.size(); }

    /// Returns the state before the record at the next offset. Precondition: `has_snapshots()`.
    [[nodiscard]] fold_snapshot take_snapshot() const;

    /// Restores a snapshot if it is newer than the current state; returns whether it was.
    /// Precondition: `has_snapshots()`. Throws `malformed_message_error`; the state is unchanged in that case.
    bool restore(const fold_snapshot& snapshot);

    /// Restores the snapshot that `source` has, so that a process can start while the log is unavailable; returns
    /// whether that snapshot was newer. Precondition and errors are those of `restore`.
    bool start_from(snapshot_source& source);

    /// Appends the drafts and reads them back; returns a result for each.
    /// Throws `log_unavailable_error` if some could not be read back: it is then unknown whether they take effect, and
    /// a later poll may still find them.
    std::vector<submit_result> submit(std::span<const record_draft> drafts);

    [[nodiscard]] const record_fold& get_fold() const noexcept { return m_fold; }
    [[nodiscard]] const std::string& get_name() const noexcept { return m_name; }
    [[nodiscard]] const writer_id& get_writer() const noexcept { return m_writer; }
    /// Returns the offset that the next read starts from.
    [[nodiscard]] log_offset get_next_offset() const noexcept { return m_next_offset; }
    /// Returns the sequence number of the newest record that was submitted here.
    [[nodiscard]] std::uint64_t get_last_sequence() const noexcept { return m_last_sequence; }
    /// Returns how many records could not be decoded.
    [[nodiscard]] std::uint64_t get_malformed_count() const noexcept { return m_malformed_count; }

private:
    void apply(const log_entry& entry);
    void recover_from_gap(log_offset oldest);
    void restore_observers(const boost::json::object& states);

    append_log* m_log;
    std::string m_name;
    writer_id m_writer;
    record_fold m_fold;
    std::vector<record_observer*> m_observers;
    std::vector<snapshot_observer*> m_snapshot_observers;
    log_offset m_next_offset{0};
    bool m_allows_gaps{false};
    std::uint64_t m_last_sequence{0};
    std::uint64_t m_malformed_count{0};
    /// Results of the records that the current call of `submit` waits for, by sequence number.
    std::map<std::uint64_t, submit_result> m_own_results;
};

} // namespace dragonflywell::coordination
