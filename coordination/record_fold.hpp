#pragma once

#include <map>
#include <optional>
#include <string>

#include "coordination/record.hpp"

namespace dragonflywell::coordination {

/// What every reader concludes about one record.
enum class record_status {
    valid,
    /// The same writer and sequence, or an older one of that writer, stood before it.
    duplicate,
    /// Another record won the subject first.
    superseded,
    /// The lease that it was written under had been superseded, released or never won.
    fenced,
};

/// Where a lease stands according to the log alone.
struct lease_record {
    writer_id holder;
    fencing_token token;
    /// Offset of the newest claim, renewal or release. A challenger must name it.
    log_offset newest{};
    /// Sequence that the holder gave that record, by which it recognises its own after a lost answer.
    std::uint64_t sequence{};
    bool is_released{false};

    friend bool operator==(const lease_record&, const lease_record&) = default;
};

/// Record types that the fold itself interprets.
inline constexpr std::string_view lease_acquisition_type = "lease.claim";
inline constexpr std::string_view lease_renewal_type = "lease.renewal";
inline constexpr std::string_view lease_release_type = "lease.release";

/// How many writers the fold remembers the newest sequence of. Beyond that the one silent for longest is forgotten, by
/// offset and hence alike for all readers. A copy that arrives after so many others wrote is judged by its condition or
/// fence alone, so a record without either must be harmless when it is applied twice.
inline constexpr std::size_t max_tracked_writers = 4096;

/// Returns the subject that claims of `scope` compete for.
[[nodiscard]] std::string get_lease_subject(std::string_view scope);

/// Pure function of a stream's records, in offset order: decides which are valid and who holds which lease.
///
/// All readers that fold the same records reach the same verdicts. Not thread safe.
class record_fold {
public:
    /// Precondition: offsets are given in ascending order.
    /// Does not throw for any content.
    record_status apply(log_offset offset, const record& value);

    /// Returns the offset of the newest valid record of a subject.
    [[nodiscard]] std::optional<log_offset> get_newest(const std::string& subject) const;

    /// Returns the lease of a scope, or null before its first claim. Valid until the next `apply`.
    [[nodiscard]] const lease_record* get_lease(const std::string& scope) const;

    [[nodiscard]] std::size_t get_writer_count() const noexcept { return m_writers.size(); }

    /// Returns everything that later verdicts depend on. Equal states give equal objects.
    [[nodiscard]] boost::json::object save() const;

    /// Returns the fold that `save` described. Throws `malformed_message_error`.
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
    void remember_writer(log_offset offset, const record& value);
    void apply_claim(log_offset offset, const record& value);
    void apply_lease_change(log_offset offset, const record& value);

    std::map<writer_id, writer_position> m_writers;
    std::map<log_offset, writer_id> m_writers_by_offset;
    std::map<std::string, log_offset> m_newest;
    std::map<std::string, lease_record> m_leases;
};

} // namespace dragonflywell::coordination
