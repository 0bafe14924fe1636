#pragma once

#include <map>
#include <span>
#include <string>
#include <vector>

#include "coordination/append_log.hpp"
#include "coordination/record_fold.hpp"

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

/// What a writer has to say; writer and sequence are filled in when it is submitted.
struct record_draft {
    std::string type;
    boost::json::object body;
    std::optional<record_condition> condition;
    std::optional<fencing_token> fence;
};

/// Where a submitted record stands after it was read back.
struct submission {
    log_offset offset{};
    record_verdict verdict{};
};

/// One stream of the log, folded by this process, and the only way in which it writes to that stream.
///
/// Nothing that was submitted counts before it was read back as valid. Not thread safe: one control thread owns it.
class folded_stream {
public:
    /// Preconditions: `log` outlives the stream; `self` is not used by another living process.
    folded_stream(append_log& log, std::string name, writer_id self);

    /// Precondition: the observer outlives the stream and is added before the first poll.
    void add_observer(record_observer& observer);

    /// Reads to the end of the log and folds. Throws `log_unavailable_error`.
    void poll();

    /// Appends the drafts and reads them back; returns a result for each.
    /// Throws `log_unavailable_error` when some could not be read back: their effect is then unknown, and a later
    /// poll may still see them.
    std::vector<submission> submit(std::span<const record_draft> drafts);

    [[nodiscard]] const record_fold& get_fold() const noexcept { return m_fold; }
    [[nodiscard]] const std::string& get_name() const noexcept { return m_name; }
    [[nodiscard]] const writer_id& get_writer() const noexcept { return m_self; }
    /// Returns the offset that the next read starts from.
    [[nodiscard]] log_offset get_next_offset() const noexcept { return m_next; }
    /// Returns how many records could not be decoded.
    [[nodiscard]] std::uint64_t get_malformed_count() const noexcept { return m_malformed; }

private:
    void apply(const log_entry& entry);

    append_log* m_log;
    std::string m_name;
    writer_id m_self;
    record_fold m_fold;
    std::vector<record_observer*> m_observers;
    log_offset m_next{0};
    std::uint64_t m_last_sequence{0};
    std::uint64_t m_malformed{0};
    /// Results of the own records that a submission is waiting for, by sequence.
    std::map<std::uint64_t, submission> m_own_results;
};

} // namespace dragonflywell::coordination
