#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <span>
#include <unordered_map>

#include "coordination/claim.hpp"
#include "coordination/folded_stream.hpp"
#include "core/clock.hpp"

namespace dragonflywell::coordination {

/// One batch: how earlier claims ended, then new claims. Settlements count first.
struct claim_batch {
    /// Wall time of the writer, in seconds.
    std::uint64_t written_at{};
    std::vector<claim_settlement> settlements;
    std::vector<claim_request> claims;
};

[[nodiscard]] record_draft make_claim_batch_record(const claim_batch& batch);

/// Throws `malformed_message_error`.
[[nodiscard]] claim_batch parse_claim_batch(const boost::json::object& body);

/// What the log says about one claim that lies within the window.
struct claim_entry {
    std::uint64_t digest{};
    /// Offset of the batch that won the claim.
    log_offset offset{};
    std::uint64_t claimed_at{};
    std::uint32_t owner{};
    /// Absent while the owner has not settled it. Never `released`: such an entry is removed.
    std::optional<claim_outcome> outcome;
    std::unique_ptr<const recorded_response> response;
};

/// Pure function of the claim stream: the first valid claim of an identifier in log order wins.
///
/// Validity depends on records alone, never on the reader's clock, so all hosts agree. A claim is forgotten once the
/// newest time written in the stream is a window later, and its identifier is then free again. Not thread safe.
class claim_fold final : public record_observer {
public:
    /// Precondition: every writer of the stream uses the same window, and the log keeps records for longer than that.
    explicit claim_fold(std::chrono::seconds window);

    void on_record(log_offset offset, const record& value) override;

    /// Returns the entry, or null when the identifier is free. Valid until the next record.
    [[nodiscard]] const claim_entry* find(const claim_id& id) const;

    /// Returns who won the claim. Precondition: the entry is of this fold.
    [[nodiscard]] const writer_id& get_owner(const claim_entry& entry) const { return m_writers[entry.owner]; }

    /// Returns whether a later incarnation of the owner's host has written, so that the owner cannot be running.
    [[nodiscard]] bool is_owner_replaced(const claim_entry& entry) const;

    [[nodiscard]] std::size_t get_size() const noexcept { return m_entries.size(); }

private:
    struct aging_claim {
        std::uint64_t claimed_at{};
        claim_id id;
        log_offset offset{};
    };

    std::uint32_t intern(const writer_id& writer);
    void advance(std::uint64_t written_at);
    void settle(const claim_settlement& settlement, std::uint32_t writer);

    std::chrono::seconds m_window;
    std::uint64_t m_newest_time{0};
    std::vector<writer_id> m_writers;
    std::map<writer_id, std::uint32_t> m_writer_indices;
    std::map<std::string, std::uint64_t> m_newest_incarnations;
    std::unordered_map<claim_id, claim_entry> m_entries;
    std::deque<aging_claim> m_aging;
};

} // namespace dragonflywell::coordination
