#pragma once

#include <map>
#include <optional>
#include <string>

#include "coordination/record.hpp"

namespace dragonflywell::coordination {

/// Whether a record is valid. Every reader of the stream gets the same result.
enum class record_status {
    valid,
    /// An earlier record has the same writer and the same or a higher sequence number.
    duplicate,
    /// Its condition does not hold: another record of the subject came first.
    superseded,
    /// Its fencing token is not current: the lease was never acquired, was released, or has a newer holder.
    fenced,
};

/// The state of a lease according to the log alone.
struct lease_record {
    writer_id holder;
    fencing_token token;
    /// Offset of the newest acquisition, renewal or release. The next acquisition must supersede exactly this record.
    log_offset newest{};
    /// Sequence number of that record. The holder uses it to recognise its own record if the response was lost.
    std::uint64_t sequence{};
    bool is_released{false};

    friend bool operator==(const lease_record&, const lease_record&) = default;
};

/// Types of the records that the fold itself interprets.
inline constexpr std::string_view lease_acquisition_type = "lease.claim";
inline constexpr std::string_view lease_renewal_type = "lease.renewal";
inline constexpr std::string_view lease_release_type = "lease.release";

/// The number of writers whose newest sequence number the fold remembers. If there are more, it drops the one whose
/// newest record has the lowest offset, so that all readers drop the same one. A copy of a record of a dropped writer
/// is then checked only by its condition or fencing token. A record with neither must therefore be harmless if it is
/// applied twice.
inline constexpr std::size_t max_tracked_writers = 4096;

/// Returns the subject on which the acquisitions of the lease of `scope` compete.
[[nodiscard]] std::string get_lease_subject(std::string_view scope);

/// Folds the records of a stream in offset order: decides which of them are valid and who holds which lease.
///
/// It is a pure function, so all readers of the same records get the same result. Not thread safe.
class record_fold {
public:
    /// Applies the record at `offset` and returns whether it is valid. Precondition: the offsets of successive calls
    /// ascend.
    /// Does not throw for any content.
    record_status apply(log_offset offset, const record& value);

    /// Returns the offset of the newest valid record of a subject.
    [[nodiscard]] std::optional<log_offset> get_newest(const std::string& subject) const;

    /// Returns the lease of a scope, or null before it was first acquired. The pointer is valid until the next `apply`.
    [[nodiscard]] const lease_record* get_lease(const std::string& scope) const;

    [[nodiscard]] std::size_t get_writer_count() const noexcept { return m_writers.size(); }

    /// Returns the whole state. Equal states give equal objects.
    [[nodiscard]] boost::json::object save() const;

    /// Returns a fold with the state that `save` returned. Throws `malformed_message_error`.
    [[nodiscard]] static record_fold restore(const boost::json::object& state);

    friend bool operator==(const record_fold&, const record_fold&) = default;

private:
    struct writer_position {
        std::uint64_t sequence{};
        /// Offset of the writer's newest record.
        log_offset offset{};

        friend bool operator==(const writer_position&, const writer_position&) = default;
    };

    [[nodiscard]] bool is_duplicate(log_offset offset, const record& value);
    [[nodiscard]] bool is_fenced(const record& value) const;
    [[nodiscard]] bool is_superseded(const record& value) const;
    void update_writer(log_offset offset, const record& value);
    void apply_lease_acquisition(log_offset offset, const record& value);
    void apply_lease_change(log_offset offset, const record& value);

    std::map<writer_id, writer_position> m_writers;
    std::map<log_offset, writer_id> m_writers_by_offset;
    std::map<std::string, log_offset> m_newest;
    std::map<std::string, lease_record> m_leases;
};

} // namespace dragonflywell::coordination
