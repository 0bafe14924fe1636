#pragma once

#include <map>
#include <optional>
#include <string>

#include "coordination/record.hpp"

namespace dragonflywell::coordination {

/// What every reader concludes about one record.
enum class record_verdict {
    valid,
    /// The same writer and sequence, or an older one of that writer, stood before it.
    duplicate,
    /// Another record won the subject first.
    superseded,
    /// The writer's lease had been superseded, released or never won.
    fenced,
};

/// Where a lease stands according to the log alone.
struct lease_record {
    writer_id holder;
    fencing_token token;
    /// Offset of the newest claim or renewal. A challenger must name it.
    log_offset newest{};
    bool is_released{false};

    friend bool operator==(const lease_record&, const lease_record&) = default;
};

/// Record types that the fold itself interprets.
inline constexpr std::string_view lease_claim_type = "lease.claim";
inline constexpr std::string_view lease_renewal_type = "lease.renewal";
inline constexpr std::string_view lease_release_type = "lease.release";

/// Returns the subject that claims of `scope` compete for.
[[nodiscard]] std::string get_lease_subject(std::string_view scope);

/// Pure function of a stream's records, in offset order: decides which are valid and who holds which lease.
///
/// All readers that fold the same records reach the same verdicts. Not thread safe.
class record_fold {
public:
    /// Precondition: offsets are given in ascending order.
    record_verdict apply(log_offset offset, const record& value);

    /// Returns the offset of the newest valid record of a subject.
    [[nodiscard]] std::optional<log_offset> get_newest(const std::string& subject) const;

    /// Returns the lease of a scope, or null before its first claim. Valid until the next `apply`.
    [[nodiscard]] const lease_record* get_lease(const std::string& scope) const;

private:
    [[nodiscard]] bool is_duplicate(const record& value);
    [[nodiscard]] bool is_fenced(const record& value) const;
    [[nodiscard]] bool is_superseded(const record& value) const;
    void apply_lease_record(log_offset offset, const record& value);

    std::map<writer_id, std::uint64_t> m_sequences;
    std::map<std::string, log_offset> m_newest;
    std::map<std::string, lease_record> m_leases;
};

} // namespace dragonflywell::coordination
